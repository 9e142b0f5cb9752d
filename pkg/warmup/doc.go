// Package warmup bounds what the boxes of a fleet together send to a backend server that warms up.
// A server that has just started bears a few requests a second from all of them, and falls over
// far above that; it looks idle meanwhile, so that every box would choose it.
//
// Boxes do not talk about it: for each server a few of them, its keepers, may send to it while it
// warms up, each at its part of the rate. Who they are follows from the boxes' names alone, by a
// consistent hash, so that boxes which know the same others agree, and those which know others
// differ in few servers.
package warmup
