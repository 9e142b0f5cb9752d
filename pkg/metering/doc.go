// Package metering counts the requests that began to run, by organisation and window of
// true time, and reports each window once. Every box counts its own and tells a few
// boxes that collect. The box that holds the lease closes a window, has its content
// recorded with the lease, and only then reports it: whoever takes the lease over
// repeats the same content. What is counted and what not: docs/design/shifted.md.
package metering
