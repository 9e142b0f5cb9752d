// Package entry is the callers' side of a box: it takes requests in, holds them
// while their reservation waits, runs each by one dispatcher, and tells every
// caller exactly one of three things: done, not run, or unknown.
package entry
