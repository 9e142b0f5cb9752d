package routing

import (
	"maps"
	"slices"
	"time"
)

// TargetRange is the range of the first-event targets of requests. It is zero if there are none.
type TargetRange struct{ Shortest, Longest time.Duration }

// Include returns the range widened to include a target.
func (r TargetRange) Include(target time.Duration) TargetRange {
	if r == (TargetRange{}) {
		return TargetRange{Shortest: target, Longest: target}
	}
	return TargetRange{Shortest: min(r.Shortest, target), Longest: max(r.Longest, target)}
}

// RankTargets holds the first-event targets of the requests to a service by rank.
type RankTargets [MaxRank + 1]TargetRange

// RankTargets returns the first-event targets of the requests that the table routes to a service.
// Routes without a target count with the shortest target of the service. It returns nil if no route
// to the service has a target. Callers must not modify the result.
func (t *Table) RankTargets(service string) *RankTargets { return t.rankTargets[service] }

// computeRankTargets expects ranks and minFirstEventTargets to be set.
func (t *Table) computeRankTargets() map[string]*RankTargets {
	ranksOf := t.ranksByRoutePriority()
	targets := make(map[string]*RankTargets, len(t.minFirstEventTargets))
	for service := range t.minFirstEventTargets {
		targets[service] = new(RankTargets)
	}
	for i := range t.content.Routes {
		r := &t.content.Routes[i]
		for _, to := range r.Targets {
			if list, ok := targets[to.Service]; ok {
				list.include(ranksOf[r.Priority], t.FirstEventTarget(r, to.Service))
			}
		}
	}
	return targets
}

func (l *RankTargets) include(ranks []int, target time.Duration) {
	for _, rank := range ranks {
		l[rank] = l[rank].Include(target)
	}
}

// ranksByRoutePriority returns the ranks that requests on routes of a priority may have, each once.
func (t *Table) ranksByRoutePriority() map[int][]int {
	ranks := make(map[int][]int)
	for k, rank := range t.ranks {
		ranks[k.route] = append(ranks[k.route], rank)
	}
	for priority := range maps.Keys(ranks) {
		slices.Sort(ranks[priority])
		ranks[priority] = slices.Compact(ranks[priority])
	}
	return ranks
}

// FirstEventTarget returns the first-event target of a route, or the shortest of the service if the
// route has none.
func (t *Table) FirstEventTarget(r *Route, service string) time.Duration {
	if r.FirstEventTarget > 0 {
		return r.FirstEventTarget
	}
	return t.minFirstEventTargets[service]
}
