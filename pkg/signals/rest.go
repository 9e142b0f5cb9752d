package signals

import (
	"maps"
	"math/rand/v2"
	"time"
)

// Rest tells whether a server takes requests of this box again.
type Rest int

const (
	// Awake servers take requests.
	Awake Rest = iota
	// Resting servers want none.
	Resting
	// Waking servers have rested, and have not answered since.
	Waking
)

const (
	// restMost bounds a rest that is believed.
	restMost = 10 * time.Minute
	// wakeSpread is the part of a rest by which boxes let it last longer, by chance, and wakeSpreadMost
	// bounds it: boxes that were turned away together do not come back together.
	wakeSpread     = 8
	wakeSpreadMost = 500 * time.Millisecond
	// wakingKept is how long a server that has rested and got nothing since is remembered.
	wakingKept = time.Minute
)

// rests is until when servers rest.
type rests map[Key]time.Time

// extend lets a server rest for a time from now on. It returns false where it does so already.
func (r rests) extend(key Key, rest time.Duration, now time.Time) bool {
	rest = min(rest, restMost)
	if len(r) >= serversMost || !now.Add(rest).After(r[key]) {
		return false
	}
	r[key] = now.Add(rest + rand.N(min(rest/wakeSpread, wakeSpreadMost)+1))
	return true
}

// end takes in that a server has not turned a request away that was sent at a time. It returns whether
// that ends its rest.
func (r rests) end(key Key, sent time.Time) bool {
	until, ok := r[key]
	if !ok || sent.Before(until) {
		return false
	}
	delete(r, key)
	return true
}

func (r rests) of(key Key, now time.Time) Rest {
	until, ok := r[key]
	switch {
	case !ok:
		return Awake
	case now.Before(until):
		return Resting
	}
	return Waking
}

func (r rests) sweep(now time.Time) {
	maps.DeleteFunc(r, func(_ Key, until time.Time) bool { return now.Sub(until) > wakingKept })
}
