package roster

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// readers is how many boxes watch the store for the others.
	readers = 2
	// mbpsPerChild is how much of its link, in Mbit/s, a box has for each box that it passes
	// something on to, where it passes it on to all at once.
	mbpsPerChild = 10
	// childrenLeast and childrenMost bound the boxes that one box passes something on to:
	// two make a tree whose depth grows with the logarithm of a hall also over slow links.
	childrenLeast = 2
	childrenMost  = 32
)

// SortByRank returns the entries in the order in which boxes read and relay for others: those
// with the fastest links first, as these send much more than the others. Boxes that see the
// same entries agree on it.
func SortByRank(entries []Entry) []Entry {
	list := slices.Clone(entries)
	slices.SortFunc(list, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(xxhash.Sum64String(a.Box), xxhash.Sum64String(b.Box)), cmp.Compare(a.Box, b.Box))
	})
	return list
}

// ProvidersOf are the boxes that one asks for what it lacks, in order: its parent in the
// tree of its hall, the root of that tree, and the readers. A reader asks the store.
func ProvidersOf(entries []Entry, self Entry) []Entry {
	return providersIn(SortByRank(entries), self)
}

// providersIn is ProvidersOf for entries that are in order.
func providersIn(ordered []Entry, self Entry) []Entry {
	reading := ordered[:min(readers, len(ordered))]
	if placeOf(reading, self) >= 0 {
		return nil
	}
	hall := slices.DeleteFunc(slices.Clone(ordered), func(e Entry) bool { return e.Hall != self.Hall })
	at := placeOf(hall, self)
	var list []Entry
	if at > 0 {
		list = append(list, hall[parent(hall, at)], hall[0])
	}
	return distinct(append(list, reading...))
}

// placeOf is a box's place among some, -1 if it is none of them.
func placeOf(entries []Entry, box Entry) int {
	return slices.IndexFunc(entries, func(e Entry) bool { return e.Box == box.Box })
}

// parent returns whom a box of a hall's tree asks, by their places in order. Each box takes
// as many children as its link bears, the first ones first.
func parent(hall []Entry, at int) int {
	taken := 0
	for i := range hall[:at] {
		taken += children(hall[i])
		if at <= taken {
			return i
		}
	}
	return 0
}

// children is how many boxes a box passes something on to.
func children(e Entry) int {
	return min(max(int(e.LinkMbps/mbpsPerChild), childrenLeast), childrenMost)
}

// distinct leaves out what stands in the list already.
func distinct(list []Entry) []Entry {
	kept := list[:0]
	for _, e := range list {
		if !slices.ContainsFunc(kept, func(k Entry) bool { return k.Box == e.Box }) {
			kept = append(kept, e)
		}
	}
	return kept
}
