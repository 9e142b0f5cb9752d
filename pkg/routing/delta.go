package routing

import (
	"encoding/json"
	"reflect"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Delta is the difference between two versions of the configuration.
type Delta struct {
	From, To uint64
	// Digest is the digest of the table at version To.
	Digest        uint64
	Limits        Limits
	Routes        Changes[Route]
	Services      Changes[Service]
	Organisations Changes[Organisation]
	// KeysRequired is that of the table at version To.
	KeysRequired bool `json:",omitempty"`
}

// Changes are the items of a list that were added, replaced or removed, identified by name.
type Changes[T any] struct {
	Set     []T      `json:",omitempty"`
	Removed []string `json:"Gone,omitempty"`
}

func routeName(r Route) string               { return r.Name }
func serviceName(s Service) string           { return s.Name }
func organisationName(o Organisation) string { return o.Name }

// Diff returns the delta from one table to another.
func Diff(from, to *Table) Delta {
	a, b := from.content, to.content
	return Delta{
		From: a.Version, To: b.Version, Digest: to.digest(), Limits: b.Limits,
		Routes:        diff(a.Routes, b.Routes, routeName),
		Services:      diff(a.Services, b.Services, serviceName),
		Organisations: diff(a.Organisations, b.Organisations, organisationName),
		KeysRequired:  b.KeysRequired,
	}
}

// Apply returns the table that results from applying the delta. It returns false if the
// delta starts at another version or the digest of the result does not match.
func (t *Table) Apply(d Delta) (*Table, bool) {
	if d.From != t.Version || d.To <= d.From {
		return nil, false
	}
	next := NewTable(Content{
		Version: d.To, Limits: d.Limits,
		Routes:        d.Routes.apply(t.content.Routes, routeName),
		Services:      d.Services.apply(t.content.Services, serviceName),
		Organisations: d.Organisations.apply(t.content.Organisations, organisationName),
		KeysRequired:  d.KeysRequired,
	})
	return next, next.digest() == d.Digest
}

func diff[T any](from, to []T, name func(T) string) Changes[T] {
	old := make(map[string]T, len(from))
	for _, x := range from {
		old[name(x)] = x
	}
	var c Changes[T]
	for _, x := range to {
		before, known := old[name(x)]
		delete(old, name(x))
		if !known || !reflect.DeepEqual(before, x) {
			c.Set = append(c.Set, x)
		}
	}
	for gone := range old {
		c.Removed = append(c.Removed, gone)
	}
	return c
}

func (c Changes[T]) apply(list []T, name func(T) string) []T {
	set := make(map[string]T, len(c.Set))
	for _, x := range c.Set {
		set[name(x)] = x
	}
	next := make([]T, 0, len(list)+len(c.Set))
	for _, x := range list {
		changed, ok := set[name(x)]
		delete(set, name(x))
		switch {
		case ok:
			next = append(next, changed)
		case !slices.Contains(c.Removed, name(x)):
			next = append(next, x)
		}
	}
	for _, x := range c.Set {
		if _, added := set[name(x)]; added {
			next = append(next, x)
		}
	}
	return next
}

// digest returns a hash of the content that does not depend on the order of its items.
func (t *Table) digest() uint64 {
	sum := hashJSON(t.content.Limits)
	for _, x := range t.content.Routes {
		sum += hashJSON(x)
	}
	for _, x := range t.content.Services {
		sum += hashJSON(x)
	}
	for _, x := range t.content.Organisations {
		sum += hashJSON(x)
	}
	if t.content.KeysRequired {
		sum += hashJSON("keys required")
	}
	return sum
}

func hashJSON(x any) uint64 {
	// Marshalling plain structs cannot fail.
	data, _ := json.Marshal(x)
	return xxhash.Sum64(data)
}
