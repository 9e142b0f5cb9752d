package routerd

import (
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/directory"
	"headhill.example/headhill/pkg/telemetry"
)

// storeEra tracks the era of the store, which rises each time the store is restored from an older
// copy.
type storeEra struct {
	logger    log.Logger
	directory *directory.Directory
	latest    atomic.Uint64
}

// observe processes the era in a response of the store.
func (e *storeEra) observe(era uint64) {
	for {
		before := e.latest.Load()
		if era <= before {
			return
		}
		if e.latest.CompareAndSwap(before, era) {
			e.logRise(before, era)
			return
		}
	}
}

func (e *storeEra) logRise(before, era uint64) {
	states := e.directory.States(clock.Now())
	_ = level.Warn(e.logger).Log("msg", "store era has risen", "era", era, "before", before,
		"table_revision", states[directory.PartTable].Revision, "servers_revision", states[directory.PartServers].Revision)
}

// gauge returns the gauge for the highest era seen in a response.
func (e *storeEra) gauge() telemetry.Gauge {
	return telemetry.Gauge{
		Name: "headhill_store_era", Help: "Era of the store, which rises when it is restored from an older copy.", Attribute: "source",
		Observe: func() map[string]int64 { return map[string]int64{"store": int64(e.latest.Load())} },
	}
}
