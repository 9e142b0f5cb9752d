// Package scheduler implements admission control, queueing and dispatch of requests to
// the backend servers of one shard.
//
// A Scheduler is a deterministic state machine. It starts no goroutines, does no I/O
// and reads no clock: the current time is passed as an argument, and decisions are
// returned by TakeDecisions. The caller must serialise access.
package scheduler
