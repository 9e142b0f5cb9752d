// Package backend calls backend servers and reports for each failed call whether it
// may have run.
package backend
