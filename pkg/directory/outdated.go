package directory

import (
	"maps"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/storerev"
)

// outdatedLogInterval limits the log lines about outdated messages of each part.
const outdatedLogInterval = time.Second

// outdatedMessages counts and logs messages of other boxes that are ignored because they are about a
// revision lower than the one known.
type outdatedMessages struct {
	logger log.Logger

	mu       sync.Mutex
	counts   map[string]int64
	loggedAt map[string]time.Time
}

func newOutdatedMessages(logger log.Logger) *outdatedMessages {
	return &outdatedMessages{logger: logger, counts: make(map[string]int64), loggedAt: make(map[string]time.Time)}
}

// check counts a message about a part if its revision is outdated. Revision zero stands for none.
func (o *outdatedMessages) check(f *follower, revision storerev.Revision) {
	known := f.position().revision
	if revision == 0 || revision >= known {
		return
	}
	now := clock.Now()
	o.mu.Lock()
	o.counts[f.name]++
	count, log := o.counts[f.name], now.Sub(o.loggedAt[f.name]) >= outdatedLogInterval
	if log {
		o.loggedAt[f.name] = now
	}
	o.mu.Unlock()
	if log {
		_ = level.Info(o.logger).Log("msg", "outdated announcement ignored", "part", f.name, "revision", revision, "known", known, "ignored", count)
	}
}

// OutdatedAnnouncements returns the number of announcements of other boxes that were ignored as
// outdated, by part.
func (d *Directory) OutdatedAnnouncements() map[string]int64 {
	d.outdated.mu.Lock()
	defer d.outdated.mu.Unlock()
	return maps.Clone(d.outdated.counts)
}
