package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// DecayTime is the time constant of the sums.
	DecayTime = 5 * time.Second
	// MaxTracked is the number of organisations that a box tracks, over all services and ranks. At
	// 41 requests a second, about 200 organisations have a request within DecayTime.
	MaxTracked = 4096
	// minTokens is the size from which an organisation is kept.
	minTokens = 1
)

// Remaining returns the share of a sum that is left after a time.
func Remaining(elapsed time.Duration) float64 {
	return math.Exp(-max(0, elapsed.Seconds()) / DecayTime.Seconds())
}

// sums are the tokens of one organisation, decayed to the time at.
type sums struct {
	admitted, refused float64
	at                time.Time
}

// decayed returns the sums at a time.
func (s sums) decayed(now time.Time) sums {
	if !now.After(s.at) {
		return s
	}
	left := Remaining(now.Sub(s.at))
	return sums{s.admitted * left, s.refused * left, now}
}

func (s sums) total() float64 { return s.admitted + s.refused }

// table holds the sums of this box, by group and organisation.
type table struct {
	groups map[Group]map[uint32]sums
	// count is the number of organisations in all groups.
	count int
}

// get returns the sums of an organisation at a time.
func (t *table) get(id ID, now time.Time) sums {
	return t.groups[id.Group][id.Organisation].decayed(now)
}

// add adds tokens, which may be negative. A sum never falls below zero.
func (t *table) add(id ID, admitted, refused float64, now time.Time) {
	list := t.groups[id.Group]
	before, known := list[id.Organisation]
	if !known && admitted <= 0 && refused <= 0 {
		return
	}
	if !known {
		if t.count >= MaxTracked {
			t.shrink(now)
		}
		if list = t.groups[id.Group]; list == nil {
			list = make(map[uint32]sums)
			t.groups[id.Group] = list
		}
		before = sums{at: now}
		t.count++
	}
	s := before.decayed(now)
	s.admitted, s.refused = max(0, s.admitted+admitted), max(0, s.refused+refused)
	list[id.Organisation] = s
}

// usages returns the usages of a group and removes those that have decayed.
func (t *table) usages(g Group, now time.Time) []Usage {
	list := make([]Usage, 0, len(t.groups[g]))
	t.filter(g, func(s sums) bool { return s.decayed(now).total() >= minTokens })
	for organisation, s := range t.groups[g] {
		s = s.decayed(now)
		list = append(list, Usage{ID: ID{g, organisation}, Admitted: s.admitted, Refused: s.refused})
	}
	return list
}

// filter removes the organisations of a group for which keep returns false.
func (t *table) filter(g Group, keep func(sums) bool) {
	list := t.groups[g]
	for organisation, s := range list {
		if !keep(s) {
			delete(list, organisation)
			t.count--
		}
	}
	if len(list) == 0 {
		delete(t.groups, g)
	}
}

// shrink drops the smaller half of the organisations.
func (t *table) shrink(now time.Time) {
	totals := make([]float64, 0, t.count)
	for _, list := range t.groups {
		for _, s := range list {
			totals = append(totals, s.decayed(now).total())
		}
	}
	slices.SortFunc(totals, func(a, b float64) int { return cmp.Compare(b, a) })
	kept := len(totals) / 2
	largestDropped := totals[kept]
	// larger is the number of organisations kept for their size. Of those of the same size as the
	// largest one dropped, as many are kept as make up the half.
	larger, _ := slices.BinarySearchFunc(totals, largestDropped, func(a, b float64) int { return cmp.Compare(b, a) })
	spare := kept - larger
	for g := range t.groups {
		t.filter(g, func(s sums) bool {
			total := s.decayed(now).total()
			if total == largestDropped && spare > 0 {
				spare--
				return true
			}
			return total > largestDropped
		})
	}
}
