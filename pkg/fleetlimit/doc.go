// Package fleetlimit limits the requests that all boxes of a fleet together send to a backend server that
// is warming up or signals a rate limit in its answers.
//
// It works without coordination: for each limited server, a consistent hash of the box names selects a few
// boxes as senders, and each of these gets an equal share of the rate. Boxes with the same member list
// select the same senders; boxes with different lists disagree on few servers.
package fleetlimit
