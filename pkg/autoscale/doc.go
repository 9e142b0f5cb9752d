// Package autoscale decides how many backend servers of a service to order, in which hall and of
// which kind. It computes orders from the listed servers, the current load and the time, and
// performs no I/O. On-demand servers stay until they are released; spot servers are cheaper, but
// all spot servers of a hall may be reclaimed at short notice.
package autoscale
