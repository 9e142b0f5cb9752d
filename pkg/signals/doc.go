// Package signals tracks what backend servers report about themselves in response headers: a rate limit
// for all boxes together, that they are draining, and a Retry-After for this box.
//
// A signal applies to one incarnation of a server. Responses may arrive out of order, so a response to a
// request that was sent before a signal arrived does not cancel it. Draining is never revoked, and a
// Retry-After is never shortened.
package signals
