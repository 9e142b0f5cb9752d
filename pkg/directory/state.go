package directory

import (
	"time"

	"headhill.example/headhill/pkg/storerev"
)

// Names of the parts in logs and metrics.
const (
	PartTable   = "table"
	PartServers = "servers"
)

// State describes one part for metrics.
type State struct {
	// Revision is the source revision up to which the part is known.
	Revision storerev.Revision
	// Age is the time since the source last confirmed the part; zero if it never has.
	Age time.Duration
	// Failures counts the failed requests to the source.
	Failures int
}

// States returns the state of each part by its name.
func (d *Directory) States(now time.Time) map[string]State {
	v := d.View()
	return map[string]State{
		PartTable:   d.table.stateAt(v.TableConfirmedAt, now),
		PartServers: d.list.stateAt(v.ServersConfirmedAt, now),
	}
}

// TableReadFailing reports whether the last request for the table failed.
func (d *Directory) TableReadFailing() bool {
	d.table.mu.Lock()
	defer d.table.mu.Unlock()
	return d.table.consecutiveFailures > 0
}

func (f *follower) stateAt(confirmedAt, now time.Time) State {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := State{Revision: f.pos.revision, Failures: f.totalFailures}
	if !confirmedAt.IsZero() {
		s.Age = now.Sub(confirmedAt)
	}
	return s
}
