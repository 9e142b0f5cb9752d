package quarantine

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// unrelatedLookback is how long before the first crash of a request crashes without it count as
	// unrelated incidents. Servers that die for other reasons do so in spells of seconds to minutes.
	unrelatedLookback = 10 * time.Second
	// maxAdditionalIncidents bounds how many more servers a request may crash because servers also die
	// without it.
	maxAdditionalIncidents = 2
	// maxLoggedCrashes bounds the crashes kept. Crashes within unrelatedLookback of each other are far fewer
	// than this.
	maxLoggedCrashes = 256
)

// additionalIncidents returns by how much a number of unrelated incidents raises holdThreshold. The more
// often servers die for other reasons, the more chances each harmless request has to be on several of them
// in succession. Each further incident reduces the probability by at least half, so that the logarithm is
// sufficient.
func additionalIncidents(unrelated int) int {
	return min(bits.Len(uint(unrelated)), maxAdditionalIncidents)
}

// loggedCrash is a crash of a server.
type loggedCrash struct {
	at time.Time
	// suspects is the number of requests known on the server that are not excused from the crash. A crash
	// without suspects had another cause than a request.
	suspects int
}

// crashLog holds the recent crashes during any request.
type crashLog map[IncarnationHash]*loggedCrash

// update applies a change of the unexcused crashes of one request.
func (c crashLog) update(before, after map[IncarnationHash]time.Time) {
	for incarnation, at := range after {
		known, ok := before[incarnation]
		if !ok {
			c.getOrCreate(incarnation, at).suspects++
		} else if !known.Equal(at) {
			c.getOrCreate(incarnation, at).at = at
		}
	}
	for incarnation := range before {
		if _, remains := after[incarnation]; remains {
			continue
		}
		if crash, ok := c[incarnation]; ok {
			crash.suspects--
		}
	}
}

func (c crashLog) getOrCreate(incarnation IncarnationHash, at time.Time) *loggedCrash {
	crash, ok := c[incarnation]
	if !ok {
		c.evictOldest()
		crash = &loggedCrash{at: at}
		c[incarnation] = crash
	}
	return crash
}

// evictOldest makes room for another crash.
func (c crashLog) evictOldest() {
	if len(c) < maxLoggedCrashes {
		return
	}
	var oldest IncarnationHash
	for incarnation, crash := range c {
		if kept, ok := c[oldest]; !ok || crash.at.Before(kept.at) {
			oldest = incarnation
		}
	}
	delete(c, oldest)
}

// unrelatedIncidents counts the incidents in which servers crashed without the request, and without another
// request that may be the cause, from unrelatedLookback before its first unexcused crash to its last one.
func (c crashLog) unrelatedIncidents(i *Item) int {
	crashes := i.crashTimes(i.seen())
	if len(incidents(crashes)) < holdThreshold {
		return 0
	}
	from, to := crashes[0].Add(-unrelatedLookback), crashes[len(crashes)-1]
	var list []time.Time
	for incarnation, crash := range c {
		_, present := i.Crashes[incarnation]
		if !present && crash.suspects == 0 && !crash.at.Before(from) && !crash.at.After(to) {
			list = append(list, crash.at)
		}
	}
	slices.SortFunc(list, time.Time.Compare)
	return len(incidents(list))
}
