// Package balancer picks the backend server for each request. A choice uses this box's own calls
// and their results, the loads that other boxes report, and the prompt prefixes that each server
// has cached. The package does no network I/O: package loadshare exchanges the reports.
package balancer
