// Package scheduler is the decision core: it decides which request runs on
// which backend server and when, which waits, and which is refused.
//
// A Scheduler is a deterministic state machine for one shard. It starts no
// goroutine, does no I/O and reads no clock: the time comes in as an argument,
// and decisions are collected with Take. The caller serialises access.
package scheduler
