package roster

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// readerCount is how many boxes watch the store on behalf of the others.
	readerCount = 2
	// mbpsPerChild is the link bandwidth, in Mbit/s, that a box reserves for each child in
	// the tree of its hall.
	mbpsPerChild = 10
	// minChildren and maxChildren bound the children of a box. With at least two, the depth
	// of the tree is logarithmic in the size of the hall even on slow links.
	minChildren = 2
	maxChildren = 32
)

// SortByRank returns the entries in the order in which boxes read the store and relay data for
// others. Boxes with faster links come first, since the first ones send the most. The order is
// deterministic for a given set of entries.
func SortByRank(entries []Entry) []Entry {
	list := slices.Clone(entries)
	slices.SortFunc(list, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(xxhash.Sum64String(a.Box), xxhash.Sum64String(b.Box)), cmp.Compare(a.Box, b.Box))
	})
	return list
}

// ProvidersOf returns the boxes from which a box fetches missing data, in order: its parent in
// the tree of its hall, the root of that tree, and the readers. It returns none for a reader,
// which reads the store.
func ProvidersOf(entries []Entry, self Entry) []Entry {
	return providersFromSorted(SortByRank(entries), self)
}

// providersFromSorted is ProvidersOf for entries sorted by rank.
func providersFromSorted(ordered []Entry, self Entry) []Entry {
	reading := ordered[:min(readerCount, len(ordered))]
	if indexOf(reading, self) >= 0 {
		return nil
	}
	hall := slices.DeleteFunc(slices.Clone(ordered), func(e Entry) bool { return e.Hall != self.Hall })
	index := indexOf(hall, self)
	var list []Entry
	if index > 0 {
		list = append(list, hall[parentIndex(hall, index)], hall[0])
	}
	return removeDuplicates(append(list, reading...))
}

// indexOf returns the index of a box in a list, or -1.
func indexOf(entries []Entry, box Entry) int {
	return slices.IndexFunc(entries, func(e Entry) bool { return e.Box == box.Box })
}

// parentIndex returns the index of the parent of the box at an index of a hall. Each box in turn
// takes as many of the following boxes as children as its link allows.
func parentIndex(hall []Entry, index int) int {
	taken := 0
	for i := range hall[:index] {
		taken += fanOut(hall[i])
		if index <= taken {
			return i
		}
	}
	return 0
}

// fanOut returns the number of children of a box.
func fanOut(e Entry) int {
	return min(max(int(e.LinkMbps/mbpsPerChild), minChildren), maxChildren)
}

// removeDuplicates removes repeated boxes in place.
func removeDuplicates(list []Entry) []Entry {
	kept := list[:0]
	for _, e := range list {
		if !slices.ContainsFunc(kept, func(k Entry) bool { return k.Box == e.Box }) {
			kept = append(kept, e)
		}
	}
	return kept
}
