// Package api holds the messages and headers of headhill's two HTTP interfaces:
// the caller's and the operator's.
package api
