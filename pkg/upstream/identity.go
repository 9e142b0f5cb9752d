package upstream

import (
	"net/http"
	"slices"
)

// Identity tells to which request a response belongs. A faulty server may send a response a second time, at the place of the next
// one.
type Identity int

const (
	// IdentityOwn means that the response carries the ID of the request, or that neither of the two has an ID, if the request is a query,
	// or that the protocol has no IDs.
	IdentityOwn Identity = iota
	// IdentityOther means that the response carries the ID of another request.
	IdentityOther
	// IdentityMissing means that the response carries no ID.
	IdentityMissing

	identities
)

// String implements fmt.Stringer.
func (i Identity) String() string { return [...]string{"own", "other", "missing"}[i] }

// identify returns to which request a response belongs that was read after a request was sent. queried is set if the connection has carried a
// query: then a response without an ID and with status 200 is a copy of the answer to that, as servers leave the ID out of other responses only if
// they reject the request. Connections of queries with another status are not kept.
func (c *Client) identify(r Request, response *http.Response, queried bool) Identity {
	if c.idHeader == "" {
		return IdentityOwn
	}
	identity := IdentityMissing
	for _, id := range response.Header.Values(c.idHeader) {
		switch {
		case id == "":
		case !r.Query && slices.Contains(r.Header.Values(c.idHeader), id):
			return IdentityOwn
		default:
			identity = IdentityOther
		}
	}
	switch {
	case identity == IdentityMissing && r.Query:
		return IdentityOwn
	case identity == IdentityMissing && queried && response.StatusCode == http.StatusOK:
		return IdentityOther
	}
	return identity
}

// copyIsTold reports whether a second copy of a response can be told from the response to the next request on the connection: it has an
// ID, or answers a query with status 200.
func (r *Response) copyIsTold() bool {
	if r.Identity == IdentityMissing {
		return false
	}
	return !r.exchange.query || r.exchange.client.idHeader == "" || r.Status == http.StatusOK
}

// ResponseIdentities returns how many responses were read since the start, by Identity.
func (c *Client) ResponseIdentities() map[string]int64 {
	counts := make(map[string]int64)
	for i := range identities {
		counts[i.String()] = c.identities[i].Load()
	}
	return counts
}
