// Package balancer picks the backend server of a request. It rests on this box's own calls
// and how they ended, on the loads that other boxes report, and on which server has cached
// which part of a prompt. It has no network access: package loadshare exchanges the reports.
package balancer
