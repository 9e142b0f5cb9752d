package fairshare

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Key names an organisation's use of a service at a rank.
type Key struct {
	Service string
	Rank    int
	// Organisation is the name of the organisation, or "" for requests without one, which share
	// one account.
	Organisation string
}

// Group is a service and a rank, within which organisations are compared.
type Group struct {
	// Service is the hash of the service's name.
	Service uint32
	Rank    int
}

// ID is the hashed form of a Key, in which boxes exchange usage.
type ID struct {
	Group
	// Organisation is the hash of the organisation's name.
	Organisation uint32
}

// hash returns the low half of a name's hash, as in the keys of services and servers.
func hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// ID returns the hashed key.
func (k Key) ID() ID {
	return ID{Group: Group{Service: hash(k.Service), Rank: k.Rank}, Organisation: hash(k.Organisation)}
}

// Usage is the recent use of a service by one organisation at one rank.
type Usage struct {
	ID
	// Admitted and Refused are tokens, decayed with DecayTime.
	Admitted float64
	Refused  float64
}

// total returns the tokens admitted and refused.
func (u Usage) total() float64 { return u.Admitted + u.Refused }

// Largest returns the n usages with the most tokens, the largest first. It reorders the list.
func Largest(list []Usage, n int) []Usage {
	slices.SortFunc(list, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.total(), a.total()), cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Rank, b.Rank))
	})
	return list[:min(n, len(list))]
}

// Sum adds up the usages of several boxes.
func Sum(lists ...[]Usage) []Usage {
	size := 0
	for _, l := range lists {
		size += len(l)
	}
	index := make(map[ID]int, size)
	sum := make([]Usage, 0, size)
	for _, u := range slices.Concat(lists...) {
		i, ok := index[u.ID]
		if !ok {
			index[u.ID] = len(sum)
			sum = append(sum, u)
			continue
		}
		sum[i].Admitted += u.Admitted
		sum[i].Refused += u.Refused
	}
	return sum
}

// Without returns a total minus the part that one box has reported. It keeps all usages of the
// total, also those of which nothing is left. The total may contain an older report of the box.
func Without(total, part []Usage) []Usage {
	own := make(map[ID]Usage, len(part))
	for _, u := range part {
		own[u.ID] = u
	}
	rest := make([]Usage, len(total))
	for i, u := range total {
		o := own[u.ID]
		u.Admitted, u.Refused = math.Max(0, u.Admitted-o.Admitted), math.Max(0, u.Refused-o.Refused)
		rest[i] = u
	}
	return rest
}
