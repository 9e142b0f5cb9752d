package directory

import (
	"maps"
	"slices"
	"time"

	"headhill.example/headhill/pkg/routing"
)

// replacedLives holds the incarnations that another one with the same ID has replaced, with the time of that. A
// restored copy of the source may list them again.
type replacedLives map[routing.Incarnation]time.Time

// prune forgets the incarnations that no copy holds any more.
func (r replacedLives) prune(now time.Time) {
	maps.DeleteFunc(r, func(_ routing.Incarnation, at time.Time) bool { return now.Sub(at) > removedRetention })
}

// replace keeps what is needed of an entry that another one replaces. If that is of an earlier incarnation, the later
// entry was lost in a restore: its server stays in use like others whose entries were lost. The caller holds mu.
func (d *Directory) replace(old Server, s routing.Server, at time.Time) {
	before, after := old.Incarnation(), s.Incarnation()
	if _, earlier := d.replaced[after]; earlier && at.Before(d.departed[after]) {
		if old.RemovedAt.IsZero() {
			old = d.lapsed(old, at)
		}
		d.former = append(d.former, old)
		return
	}
	if before != after {
		d.former = slices.DeleteFunc(d.former, func(s Server) bool { return s.Incarnation() == after })
		delete(d.replaced, after)
		d.replaced[before] = at
	}
	if old.Version != s.Version || old.Service != s.Service {
		old.RemovedAt, old.GraceEnd = at, time.Time{}
		d.former = append(d.former, old)
	}
}

// lapsed returns a server that is removed at a time, with a grace if its entry may have been lost. The caller holds mu.
func (d *Directory) lapsed(s Server, at time.Time) Server {
	s.RemovedAt = at
	if until := d.recoveredAt.Add(recoveryGrace); at.Before(until) {
		s.GraceEnd = until
	}
	return s
}

// addFormer adds earlier lives of servers, and lives whose entries were lost, to the pools of a view that is not
// published yet: those of some servers, or of all if ids is nil. The caller holds mu.
func (d *Directory) addFormer(v *View, ids map[string]bool, at time.Time) {
	for _, s := range d.former {
		if ids != nil && !ids[s.ID] {
			continue
		}
		p := v.pools[s.Service]
		if p == nil {
			p = &pool{}
			v.pools[s.Service] = p
		}
		if s.GraceEnd.IsZero() {
			p.departed = append(p.departed, s)
			continue
		}
		p.add(s, v.evacuated[s.Hall])
		if s.WarmUpEnd.After(at) {
			v.warmUpEnds[s.Incarnation()] = s.WarmUpEnd
		}
	}
}
