// Package api defines the messages and headers of headhill's two HTTP interfaces:
// the callers' and the operators'.
package api
