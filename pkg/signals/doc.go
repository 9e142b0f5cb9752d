// Package signals tracks what backend servers signal about themselves in the heads of their answers: a
// rate limit for all boxes together, that they drain, and a Retry-After for this box.
//
// A signal holds for one life of a server. Answers may overtake each other, so that one to an earlier
// request proves nothing against a signal that is known already. No answer takes a drain back, or shortens
// a Retry-After.
package signals
