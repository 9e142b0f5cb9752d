package directory

import "time"

// Names of the parts in logs and metrics.
const (
	partTable   = "table"
	partServers = "servers"
)

// State is how much this box knows of one part, for metrics.
type State struct {
	// Revision is the revision of the source up to which the part is known.
	Revision uint64
	// Age is the time since the source last confirmed the part; zero if it never has.
	Age time.Duration
	// Failures counts the questions that the source has not answered.
	Failures int
}

// States tells how much this box knows of each part, by the part's name.
func (d *Directory) States(now time.Time) map[string]State {
	v := d.View()
	return map[string]State{
		partTable:   d.table.stateOf(v.TableConfirmedAt, now),
		partServers: d.list.stateOf(v.ServersConfirmedAt, now),
	}
}

// TableReadFailing tells whether the source gave no answer when it was last asked for the table.
func (d *Directory) TableReadFailing() bool {
	d.table.mu.Lock()
	defer d.table.mu.Unlock()
	return d.table.failures > 0
}

func (f *follower) stateOf(read, now time.Time) State {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := State{Revision: f.state.revision, Failures: f.misses}
	if !read.IsZero() {
		s.Age = now.Sub(read)
	}
	return s
}
