// Package entry serves the callers of a box. It admits requests, queues them until a
// slot is granted, dispatches each to one server at a time, and reports exactly one
// outcome to every caller: done, not run, or unknown.
package entry
