package routerd

import (
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/time/rate"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/telemetry"
)

const (
	// maxLoggedFaults is the number of faults remembered to avoid logging them again at each read, and the number that may
	// be logged at once.
	maxLoggedFaults = 1024
	// faultLogInterval is the minimum time between two lines about one entry, whose fault may change with each write.
	faultLogInterval = time.Minute
	// faultLineInterval is the interval at which further faults are logged after the first maxLoggedFaults.
	faultLineInterval = 10 * time.Second
)

// loggedFault is the last fault logged for an entry.
type loggedFault struct {
	text string
	at   time.Time
}

// unusableEntries counts and logs unusable entries of the store.
type unusableEntries struct {
	logger log.Logger
	// logged holds the last fault logged for each object and name.
	logged *lru.Cache[string, loggedFault]
	lines  *rate.Limiter
	counts *labelCounter
}

func newUnusableEntries(logger log.Logger) *unusableEntries {
	// lru.New fails only for a size below one.
	logged, _ := lru.New[string, loggedFault](maxLoggedFaults)
	return &unusableEntries{logger: logger, logged: logged, lines: rate.NewLimiter(rate.Every(faultLineInterval), maxLoggedFaults), counts: newLabelCounter()}
}

// record counts an entry. It logs it unless the same fault was logged last, or another one within faultLogInterval.
func (l *unusableEntries) record(object, name string, err error) {
	l.counts.increment(object)
	key, now := object+"/"+name, clock.Now()
	if last, ok := l.logged.Get(key); ok && (last.text == err.Error() || now.Sub(last.at) < faultLogInterval) {
		return
	}
	if !l.lines.AllowN(now, 1) {
		return
	}
	l.logged.Add(key, loggedFault{text: err.Error(), at: now})
	_ = level.Warn(l.logger).Log("msg", "unusable entry skipped", "object", object, "name", name, "err", err, "outcome", "the other entries stay in use")
}

// gauge returns the gauge for unusable entries by object.
func (l *unusableEntries) gauge() telemetry.Gauge {
	return telemetry.Gauge{
		Name: "headhill_entries_left_out", Help: "Entries of the store that could not be used, each time they were read.",
		Attribute: "object", Observe: l.counts.snapshot,
	}
}
