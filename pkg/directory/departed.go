package directory

import (
	"time"

	"headhill.example/headhill/pkg/routing"
)

const (
	// leavingRetention is how long a server that was leaving before a restore gets no work although
	// its restored entry says that it is ready. By then its own entry is written again or has expired.
	leavingRetention = time.Minute
	// removedEntryRetention is the same for a server whose entry was removed. The restored entry of a
	// server that has ended expires within this time, as the server does not renew it.
	removedEntryRetention = 5 * time.Second
)

// departedServers holds the servers that had left before the source was restored, with the time until
// which a restored entry that says otherwise is not believed.
type departedServers map[routing.Incarnation]time.Time

// newDepartedServers returns the servers that have left according to a list of the era that ends now, and the
// incarnations that were replaced. Servers whose entries expired in an outage may still run.
func newDepartedServers(servers map[string]Server, replaced replacedLives, now time.Time) departedServers {
	departed := make(departedServers)
	for life := range replaced {
		departed[life] = now.Add(removedEntryRetention)
	}
	for _, s := range servers {
		switch {
		case s.Leaving:
			departed[s.Incarnation()] = now.Add(leavingRetention)
		case !s.RemovedAt.IsZero() && s.GraceEnd.IsZero():
			departed[s.Incarnation()] = now.Add(removedEntryRetention)
		}
	}
	return departed
}

// withheldUntil returns until when a listed server gets no work because it had left before the source
// was restored; zero if it had not.
func (d departedServers) withheldUntil(s routing.Server, now time.Time) time.Time {
	if until := d[s.Incarnation()]; !s.Leaving && now.Before(until) {
		return until
	}
	return time.Time{}
}

// beginEra prepares for the first list of an era. Entries that are missing in it count as expired in an
// outage: their servers write them again. Their grace begins when the era was first seen: a list that is read
// late may lack servers that were removed since. The caller holds mu.
func (d *Directory) beginEra(now time.Time) {
	d.replaced.prune(now)
	d.departed = newDepartedServers(d.servers, d.replaced, now)
	d.recoveredAt = now
	if !d.eraSeenAt.IsZero() && d.eraSeenAt.Before(now) {
		d.recoveredAt = d.eraSeenAt
	}
}

// recordEra records when an era of the source was first seen.
func (d *Directory) recordEra(era uint64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if era > d.seenEra {
		d.seenEra, d.eraSeenAt = era, now
	}
}
