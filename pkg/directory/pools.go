package directory

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"headhill.example/headhill/pkg/routing"
)

const (
	// removedRetention is how long a removed server is kept.
	removedRetention = time.Minute
	// pruneInterval is how often the pools are rebuilt without the servers whose retention has
	// ended.
	pruneInterval = 30 * time.Second
	// maxIncrementalChanges is the number of changes up to which the pools are updated instead of
	// rebuilt.
	maxIncrementalChanges = 64
)

// pool holds the servers of a service. It is immutable once it is part of a view.
type pool struct {
	// ready are listed and get work, ordered by ID; draining are listed and get none; withheld are
	// listed and get none for a time; removed are no longer listed.
	ready    []routing.Server
	draining []routing.Server
	withheld []Server
	removed  []Server
	// departed were leaving and are no longer listed. Only their versions are used.
	departed []Server
	// versions are the versions of the software of all of them.
	versions []serverVersion
}

// listedAt returns a listed server with an address.
func (p *pool) listedAt(address string) (routing.Server, bool) {
	for _, list := range [][]routing.Server{p.ready, p.draining} {
		if i := slices.IndexFunc(list, func(s routing.Server) bool { return s.Address == address }); i >= 0 {
			return list[i], true
		}
	}
	if i := slices.IndexFunc(p.withheld, func(s Server) bool { return s.Address == address }); i >= 0 {
		return p.withheld[i].Server, true
	}
	return routing.Server{}, false
}

// add adds a server without keeping ready in order.
func (p *pool) add(s Server, evacuated bool) {
	stopped := s.Leaving || evacuated
	switch {
	case stopped && s.RemovedAt.IsZero():
		p.draining = append(p.draining, s.Server)
	case stopped:
		p.departed = append(p.departed, s)
	case s.RemovedAt.IsZero() && !s.WithheldUntil.IsZero():
		p.withheld = append(p.withheld, s)
	case s.RemovedAt.IsZero():
		p.ready = append(p.ready, s.Server)
	default:
		p.removed = append(p.removed, s)
	}
}

func (p *pool) sort() {
	slices.SortFunc(p.ready, func(a, b routing.Server) int { return cmp.Compare(a.ID, b.ID) })
}

// copyWithout returns a copy without some servers, with spare capacity for them.
func (p *pool) copyWithout(ids map[string]bool) *pool {
	return &pool{
		ready:    slices.DeleteFunc(cloneWithSpare(p.ready, len(ids)), func(s routing.Server) bool { return ids[s.ID] }),
		draining: slices.DeleteFunc(cloneWithSpare(p.draining, len(ids)), func(s routing.Server) bool { return ids[s.ID] }),
		withheld: slices.DeleteFunc(cloneWithSpare(p.withheld, len(ids)), func(s Server) bool { return ids[s.ID] }),
		removed:  slices.DeleteFunc(cloneWithSpare(p.removed, len(ids)), func(s Server) bool { return ids[s.ID] }),
		departed: slices.DeleteFunc(cloneWithSpare(p.departed, len(ids)), func(s Server) bool { return ids[s.ID] }),
	}
}

// cloneWithSpare returns a copy with spare capacity.
func cloneWithSpare[T any](list []T, spare int) []T {
	return append(make([]T, 0, len(list)+spare), list...)
}

// insert adds a server and keeps ready ordered by ID.
func (p *pool) insert(s Server, evacuated bool) {
	ready := len(p.ready)
	p.add(s, evacuated)
	if len(p.ready) == ready {
		return
	}
	index, _ := slices.BinarySearchFunc(p.ready[:ready], s.ID, func(x routing.Server, id string) int { return cmp.Compare(x.ID, id) })
	copy(p.ready[index+1:], p.ready[index:ready])
	p.ready[index] = s.Server
}

// rebuildPools builds all pools from the list and prunes removed servers. The caller holds mu.
func (d *Directory) rebuildPools(at time.Time) {
	v := *d.view.Load()
	v.ServersConfirmedAt = at
	v.warmUpEnds = make(map[routing.Incarnation]time.Time)
	v.evacuated = d.effectiveHalls
	v.pools = make(map[string]*pool)
	d.replaced.prune(at)
	d.former = slices.DeleteFunc(d.former, func(s Server) bool { return at.Sub(s.RemovedAt) > removedRetention })
	for id, s := range d.servers {
		if !s.RemovedAt.IsZero() && at.Sub(s.RemovedAt) > removedRetention {
			delete(d.servers, id)
			continue
		}
		p := v.pools[s.Service]
		if p == nil {
			p = &pool{}
			v.pools[s.Service] = p
		}
		p.add(s, v.evacuated[s.Hall])
		if s.WarmUpEnd.After(at) {
			v.warmUpEnds[s.Incarnation()] = s.WarmUpEnd
		}
	}
	d.addFormer(&v, nil, at)
	for _, p := range v.pools {
		p.sort()
		p.findVersions()
	}
	d.prunedAt = at
	d.view.Store(&v)
	d.onServers()
}

// updatePools derives the pools from the previous ones, as a rebuild from the list is costly while
// servers are being replaced. The caller holds mu.
func (d *Directory) updatePools(events []ServerEvent, at time.Time) {
	if len(events) > maxIncrementalChanges || at.Sub(d.prunedAt) > pruneInterval {
		d.rebuildPools(at)
		return
	}
	v := *d.view.Load()
	v.ServersConfirmedAt = at
	if len(events) > 0 {
		v.pools, v.warmUpEnds = maps.Clone(v.pools), maps.Clone(v.warmUpEnds)
		d.replaceServers(&v, events, at)
	}
	d.view.Store(&v)
	if len(events) > 0 {
		d.onServers()
	}
}

// replaceServers updates changed servers in a view that is not published yet.
func (d *Directory) replaceServers(v *View, events []ServerEvent, at time.Time) {
	ids := make(map[string]bool, len(events))
	for _, e := range events {
		ids[e.Server.ID] = true
	}
	for service, p := range v.pools {
		v.pools[service] = p.copyWithout(ids)
	}
	for id := range ids {
		s, exists := d.servers[id]
		if !exists {
			continue
		}
		if v.pools[s.Service] == nil {
			v.pools[s.Service] = &pool{}
		}
		v.pools[s.Service].insert(s, v.evacuated[s.Hall])
		delete(v.warmUpEnds, s.Incarnation())
		if s.WarmUpEnd.After(at) {
			v.warmUpEnds[s.Incarnation()] = s.WarmUpEnd
		}
	}
	d.addFormer(v, ids, at)
	for _, p := range v.pools {
		p.findVersions()
	}
}
