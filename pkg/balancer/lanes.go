package balancer

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// While an engine reads a long prompt, the tokens of all that runs beside it come
// slowly. So requests of classes with short prompts get servers of their own, a lane,
// as many as their share of all reading asks for. Lanes are preferences: a server of
// the other lane is taken when it costs less all the same.
const (
	// laneHeadroom is how many servers the short lane gets beyond its share.
	laneHeadroom = 2.0
	// laneMost bounds the short lane's part of the servers.
	laneMost = 0.6
	// shortAwayCost is what a short prompt costs in the long lane, longAwayCost what a
	// long one costs in the short lane.
	shortAwayCost = 6000.0
	longAwayCost  = 20000.0
	// demandTime is the time over which demand is averaged.
	demandTime = 2 * time.Second
)

// Demand is what the requests of a service have its servers read, in tokens a second.
type Demand struct {
	Short float64
	Long  float64
}

// of is the demand in one lane.
func (d Demand) of(short bool) float64 {
	if short {
		return d.Short
	}
	return d.Long
}

// ServiceKey is a service's name as boxes name it to each other, in short.
type ServiceKey uint32

// ServiceKeyOf is the key of a service.
func ServiceKeyOf(name string) ServiceKey { return ServiceKey(xxhash.Sum64String(name)) }

// lanes is what is known of the demand for one service.
type lanes struct {
	classes profiles
	// own is this box's demand up to a time, others that of the other boxes.
	own    Demand
	since  time.Time
	others Demand
}

// note counts tokens that a server is to read.
func (l *lanes) note(short bool, tokens int, now time.Time) {
	l.decay(now)
	rate := float64(tokens) / demandTime.Seconds()
	if short {
		l.own.Short += rate
		return
	}
	l.own.Long += rate
}

func (l *lanes) decay(now time.Time) {
	if !l.since.IsZero() {
		f := math.Exp(-now.Sub(l.since).Seconds() / demandTime.Seconds())
		l.own.Short *= f
		l.own.Long *= f
	}
	l.since = now
}

// size is how many of some servers belong to the short lane; none if it would be less
// than half a server.
func (l *lanes) size(servers int, now time.Time) int {
	l.decay(now)
	short, long := l.own.Short+l.others.Short, l.own.Long+l.others.Long
	if short+long == 0 {
		return 0
	}
	share := min(laneHeadroom*short/(short+long), laneMost)
	return int(math.Round(share * float64(servers)))
}

// lane is the lane of one request.
type lane struct {
	// short tells that the request's class has short prompts.
	short bool
	// size is how many servers the short lane has, most the greatest key among them.
	size int
	most ServerKey
}

// laneOf works out the lane of a request. The short lane has the servers with the least
// keys, so boxes that find the same servers usable agree on it.
func (l *lanes) laneOf(q Query, choices []choice, now time.Time) lane {
	r := lane{short: l.classes.fragile(q.Class, now), size: l.size(len(choices), now)}
	if r.size == 0 {
		return r
	}
	keys := make([]ServerKey, len(choices))
	for i := range choices {
		keys[i] = choices[i].state.key
	}
	slices.Sort(keys)
	r.most = keys[r.size-1]
	return r
}

// has tells whether a server belongs to the request's lane.
func (l lane) has(key ServerKey) bool {
	return l.size == 0 || l.short == (key <= l.most)
}

// servers is how many of some servers belong to the request's lane.
func (l lane) servers(all int) int {
	switch {
	case l.size == 0:
		return all
	case l.short:
		return l.size
	}
	return max(1, all-l.size)
}

// cost is what a server costs for its lane.
func (l lane) cost(key ServerKey) float64 {
	switch {
	case l.has(key):
		return 0
	case l.short:
		return shortAwayCost
	}
	return longAwayCost
}
