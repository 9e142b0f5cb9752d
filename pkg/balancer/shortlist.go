package balancer

import (
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"headhill.example/headhill/pkg/routing"
)

const (
	// lookAtAll is up to how many candidates each is looked at. Of more a choice looks at those that
	// may have the prompt's prefix, its homes, and some drawn ones, so that its cost does not grow
	// with the fleet: 0.03 ms in place of 2.3 ms for 9,845 candidates (BenchmarkPick).
	lookAtAll = 512
	// drawnMost is how many candidates are drawn. In a fleet whose servers are idle for the most
	// part nearly all of them are; where nine in ten are busy three of them are not.
	drawnMost = 32
	// homesMost is how many homes a prefix has, of which the first that is usable counts.
	homesMost = 3
	// holdersMost bounds the servers that are looked at for what they have cached, and those that
	// are remembered for each part of a prompt: of one that thousands have a few do.
	holdersMost = 16
	// holdersKept bounds the parts whose holders are remembered.
	holdersKept = 1 << 16
)

// candidateIndex finds candidates by their keys. It is made once for each list.
type candidateIndex struct {
	servers []routing.Server
	// keys are those of the servers in order, at the places of their servers in the list.
	keys []ServerKey
	at   []int
}

func newCandidateIndex(servers []routing.Server) *candidateIndex {
	x := &candidateIndex{servers: servers, keys: make([]ServerKey, len(servers)), at: make([]int, len(servers))}
	keyAt := make([]ServerKey, len(servers))
	for i := range servers {
		keyAt[i] = KeyOf(servers[i].Incarnation())
		x.at[i] = i
	}
	slices.SortFunc(x.at, func(a, b int) int { return int(keyAt[a]) - int(keyAt[b]) })
	for i, at := range x.at {
		x.keys[i] = keyAt[at]
	}
	return x
}

// isOf tells whether the index is of a list. Lists are not changed once they are in use.
func (x *candidateIndex) isOf(servers []routing.Server) bool {
	return x != nil && len(x.servers) == len(servers) && &x.servers[0] == &servers[0]
}

// place returns the place of a key among the keys, false if no candidate has it.
func (x *candidateIndex) place(key ServerKey) (int, bool) { return slices.BinarySearch(x.keys, key) }

// within returns the places among the keys that belong to a lane.
func (x *candidateIndex) within(l lane) (from, to int) {
	switch {
	case l.size == 0 || l.size >= len(x.keys):
		return 0, len(x.keys)
	case l.interactive:
		return 0, l.size
	}
	return l.size, len(x.keys)
}

// shortlist is the places in a list of candidates at which a choice looks, homes first.
type shortlist struct {
	at    []int
	homes int
}

// allOf is a shortlist of all candidates, each of which may be a home.
func allOf(servers []routing.Server) shortlist {
	list := shortlist{at: make([]int, len(servers)), homes: len(servers)}
	for i := range list.at {
		list.at[i] = i
	}
	return list
}

// keysOf returns the keys of all candidates in order: by the index, or without one those of the
// choices.
func keysOf(x *candidateIndex, choices []choice) []ServerKey {
	if x != nil {
		return x.keys
	}
	keys := make([]ServerKey, len(choices))
	for i := range choices {
		keys[i] = choices[i].state.key
	}
	slices.Sort(keys)
	return keys
}

// add adds a place unless it stands there already.
func (s *shortlist) add(at int) {
	if !slices.Contains(s.at, at) {
		s.at = append(s.at, at)
	}
}

// shorten chooses the candidates of a long list at which a choice looks.
func (b *Balancer) shorten(q Query, x *candidateIndex, l lane, shared prefix) shortlist {
	list := shortlist{at: make([]int, 0, homesMost+holdersMost+drawnMost)}
	from, to := x.within(l)
	first, _ := x.place(ServerKey(xxhash.Sum64String(q.prefix())))
	first = max(first, from)
	for i := range min(homesMost, to-from) {
		list.add(x.at[from+(first-from+i)%(to-from)])
	}
	list.homes = len(list.at)
	for _, key := range b.holdersOf(shared) {
		if i, ok := x.place(key); ok {
			list.add(x.at[i])
		}
	}
	for range drawnMost {
		list.add(x.at[from+rand.IntN(to-from)])
	}
	return list
}

// holdersOf returns servers that may have the most of a prefix cached, at most so many.
func (b *Balancer) holdersOf(shared prefix) []ServerKey {
	var list []ServerKey
	for _, part := range slices.Backward(shared.keys) {
		list = append(list, b.holders[part]...)
		if len(list) >= holdersMost {
			return list[:holdersMost]
		}
	}
	return list
}

// noteHolder remembers that a server may have parts of a prompt cached. What is cached in truth is
// known of the server itself.
func (b *Balancer) noteHolder(s *server, parts []partKey) {
	if len(b.holders) > holdersKept {
		clear(b.holders)
	}
	for _, part := range parts {
		list := b.holders[part]
		switch {
		case slices.Contains(list, s.key):
		case len(list) < holdersMost:
			b.holders[part] = append(list, s.key)
		default:
			list[rand.IntN(len(list))] = s.key
		}
	}
}
