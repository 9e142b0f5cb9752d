package upstream

import (
	"net/http"
	"slices"
)

// Identity tells to which request a response belongs. A faulty server may send a response a second time, at the place of the next
// one.
type Identity int

const (
	// IdentityOwn means that the response carries the ID of the request, or that the protocol has no IDs.
	IdentityOwn Identity = iota
	// IdentityOther means that the response carries the ID of another request.
	IdentityOther
	// IdentityMissing means that the response carries no ID.
	IdentityMissing

	identities
)

// String implements fmt.Stringer.
func (i Identity) String() string { return [...]string{"own", "other", "missing"}[i] }

// identify returns to which request a response belongs that was read after a request was sent.
func (c *Client) identify(request, response http.Header) Identity {
	if c.idHeader == "" {
		return IdentityOwn
	}
	identity := IdentityMissing
	for _, id := range response.Values(c.idHeader) {
		switch {
		case id == "":
		case slices.Contains(request.Values(c.idHeader), id):
			return IdentityOwn
		default:
			identity = IdentityOther
		}
	}
	return identity
}

// ResponseIdentities returns how many responses were read since the start, by Identity.
func (c *Client) ResponseIdentities() map[string]int64 {
	counts := make(map[string]int64)
	for i := range identities {
		counts[i.String()] = c.identities[i].Load()
	}
	return counts
}
