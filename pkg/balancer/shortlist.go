package balancer

import (
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"headhill.example/headhill/pkg/routing"
)

const (
	// maxFullScan is the list length up to which a choice evaluates every candidate. In longer
	// lists it evaluates only the prefix's homes, its holders and a random sample, so that its
	// cost does not grow with the fleet: 0.03 instead of 2.3 ms for 9,845 candidates (BenchmarkPick).
	maxFullScan = 512
	// sampleSize is the number of candidates drawn at random: enough to include idle servers even
	// if nine in ten are busy.
	sampleSize = 32
	// homesPerPrefix is the number of homes of a prefix; the first eligible one is used.
	homesPerPrefix = 3
	// maxHolders bounds the holders evaluated by a choice, and those recorded for each prompt
	// part. A prefix cached by thousands of servers needs only a few.
	maxHolders = 16
	// maxHolderParts bounds the prompt parts whose holders are recorded.
	maxHolderParts = 1 << 16
)

// candidateIndex finds candidates by key. It is built once for each list.
type candidateIndex struct {
	servers []routing.Server
	// keys holds the sorted keys of the servers, positions their positions in the list.
	keys      []ServerKey
	positions []int
}

func newCandidateIndex(servers []routing.Server) *candidateIndex {
	x := &candidateIndex{servers: servers, keys: make([]ServerKey, len(servers)), positions: make([]int, len(servers))}
	keyByPosition := make([]ServerKey, len(servers))
	for i := range servers {
		keyByPosition[i] = KeyOf(servers[i].Incarnation())
		x.positions[i] = i
	}
	slices.SortFunc(x.positions, func(a, b int) int { return int(keyByPosition[a]) - int(keyByPosition[b]) })
	for i, position := range x.positions {
		x.keys[i] = keyByPosition[position]
	}
	return x
}

// covers reports whether the index was built for this list. Lists are immutable once in use.
func (x *candidateIndex) covers(servers []routing.Server) bool {
	return x != nil && len(x.servers) == len(servers) && &x.servers[0] == &servers[0]
}

// position returns the position of a key among the keys, false if no candidate has it.
func (x *candidateIndex) position(key ServerKey) (int, bool) { return slices.BinarySearch(x.keys, key) }

// laneRange returns the range of keys that belongs to a lane.
func (x *candidateIndex) laneRange(l lane) (from, to int) {
	switch {
	case l.size == 0 || l.size >= len(x.keys):
		return 0, len(x.keys)
	case l.interactive:
		return 0, l.size
	}
	return l.size, len(x.keys)
}

// shortlist holds the positions of the candidates that a choice evaluates, homes first.
type shortlist struct {
	positions []int
	homes     int
}

// fullShortlist returns a shortlist of all servers, each of which may be a home.
func fullShortlist(servers []routing.Server) shortlist {
	list := shortlist{positions: make([]int, len(servers)), homes: len(servers)}
	for i := range list.positions {
		list.positions[i] = i
	}
	return list
}

// laneKeys returns the sorted keys of the servers that are divided into lanes: those of the index, or
// without one those of the eligible servers with a free slot for the query, of all if none has one.
func laneKeys(q Query, index *candidateIndex, eligible []choice) []ServerKey {
	if index != nil {
		return index.keys
	}
	keys := make([]ServerKey, 0, len(eligible))
	for i := range eligible {
		if c := &eligible[i]; q.MaxOccupancy > 0 && hasFreeSlot(c.Server, c.load, q.MaxOccupancy) {
			keys = append(keys, c.state.key)
		}
	}
	if len(keys) == 0 {
		for i := range eligible {
			keys = append(keys, eligible[i].state.key)
		}
	}
	slices.Sort(keys)
	return keys
}

// add adds a position unless it is already present.
func (s *shortlist) add(position int) {
	if !slices.Contains(s.positions, position) {
		s.positions = append(s.positions, position)
	}
}

// sampleCandidates selects the candidates of a long list that a choice evaluates.
func (b *Balancer) sampleCandidates(q Query, index *candidateIndex, l lane, shared prefix) shortlist {
	list := shortlist{positions: make([]int, 0, homesPerPrefix+maxHolders+sampleSize)}
	from, to := index.laneRange(l)
	start, _ := index.position(ServerKey(xxhash.Sum64String(q.prefixID())))
	start = max(start, from)
	for i := range min(homesPerPrefix, to-from) {
		list.add(index.positions[from+(start-from+i)%(to-from)])
	}
	list.homes = len(list.positions)
	for _, key := range b.holdersOf(shared) {
		if i, ok := index.position(key); ok {
			list.add(index.positions[i])
		}
	}
	for range sampleSize {
		list.add(index.positions[from+rand.IntN(to-from)])
	}
	return list
}

// holdersOf returns at most maxHolders servers that may have the longest parts of a prefix cached.
func (b *Balancer) holdersOf(shared prefix) []ServerKey {
	var list []ServerKey
	for _, part := range slices.Backward(shared.keys) {
		list = append(list, b.holders[part]...)
		if len(list) >= maxHolders {
			return list[:maxHolders]
		}
	}
	return list
}

// recordHolder records that a server may have prompt parts cached. The authoritative state is
// server.cached.
func (b *Balancer) recordHolder(s *server, parts []partKey) {
	if len(b.holders) > maxHolderParts {
		clear(b.holders)
	}
	for _, part := range parts {
		list := b.holders[part]
		switch {
		case slices.Contains(list, s.key):
		case len(list) < maxHolders:
			b.holders[part] = append(list, s.key)
		default:
			list[rand.IntN(len(list))] = s.key
		}
	}
}
