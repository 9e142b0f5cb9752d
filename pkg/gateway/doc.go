// Package gateway implements the caller-facing side of a routing box: it reads a request, matches
// it to a route, sends it to backend servers, and returns exactly one response to the caller.
package gateway
