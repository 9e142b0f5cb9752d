// Package admission decides which requests to engines are admitted, and when callers of refused
// requests should return. It uses no clock, network or goroutine: times and random numbers are
// parameters.
package admission
