// Package fleetlimit bounds what the boxes of a fleet together send to a backend server that takes few
// requests from all of them: one that warms up, or one that signals a limit in its answers.
//
// Boxes do not talk about it: for each server some of them, its keepers, may send to it while the limit
// holds, each at its part of the rate. Who they are follows from the boxes' names alone, by a consistent
// hash, so that boxes which know the same others agree, and those which know others differ in few
// servers.
package fleetlimit
