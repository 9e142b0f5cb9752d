// Package metering counts the requests that started to run, by organisation and time window, and
// reports each window once. Every box publishes its counts to the boxes that collect them. The
// holder of the lease closes a window, stores its counts with the lease, and only then reports it,
// so that the next holder repeats the same report. See docs/design/shifted.md for what is counted.
package metering
