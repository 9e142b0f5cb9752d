// Package claims makes a keyed call that may not be repeated run at most once.
//
// Before such a call goes out, its claim, the hash of organisation and key, must
// stand in the log of its claim shard (package objlog). The platform's
// conditional write is the only arbiter, so two homes of one shard, or one that
// was paused, can't both record a key. Without the platform nothing can be
// claimed, and the call is not run.
package claims
