package routerd

import (
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	lru "github.com/hashicorp/golang-lru/v2"

	"headhill.example/headhill/pkg/telemetry"
)

// maxLoggedFaults is the number of faults remembered to avoid logging them again at each read.
const maxLoggedFaults = 1024

// unusableEntries counts and logs unusable entries of the store.
type unusableEntries struct {
	logger log.Logger
	// logged holds the last fault logged for each object and name.
	logged *lru.Cache[string, string]
	counts *labelCounter
}

func newUnusableEntries(logger log.Logger) *unusableEntries {
	// lru.New fails only for a size below one.
	logged, _ := lru.New[string, string](maxLoggedFaults)
	return &unusableEntries{logger: logger, logged: logged, counts: newLabelCounter()}
}

// record counts an entry and logs it unless the same fault was logged last.
func (l *unusableEntries) record(object, name string, err error) {
	l.counts.increment(object)
	key := object + "/" + name
	if logged, ok := l.logged.Get(key); ok && logged == err.Error() {
		return
	}
	l.logged.Add(key, err.Error())
	_ = level.Warn(l.logger).Log("msg", "unusable entry skipped", "object", object, "name", name, "err", err, "outcome", "the other entries stay in use")
}

// gauge returns the gauge for unusable entries by object.
func (l *unusableEntries) gauge() telemetry.Gauge {
	return telemetry.Gauge{
		Name: "headhill_entries_left_out", Help: "Entries of the store that could not be used, each time they were read.",
		Attribute: "object", Observe: l.counts.snapshot,
	}
}
