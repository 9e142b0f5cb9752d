// Package claims runs non-repeatable calls with an idempotency key at most once.
//
// Before such a call is dispatched, a claim on the hash of its organisation and
// idempotency key must be committed to the log of its claim shard (package objlog).
// Commits use the platform's conditional write, so two coordinators of one shard, or
// one that was paused, can't both grant a key. While the platform is unavailable no
// key can be claimed and the call is not run.
package claims
