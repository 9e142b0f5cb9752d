// Package backend makes calls to backend servers, and tells for every call that
// failed whether it may have run.
package backend
