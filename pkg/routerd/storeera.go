package routerd

import (
	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/directory"
	"headhill.example/headhill/pkg/storerev"
	"headhill.example/headhill/pkg/telemetry"
)

// onEraRise is called when the era of the store rises because it was restored from an older copy, and
// for the first response of a store that was restored before this box started.
func (d *Daemon) onEraRise(era, before uint64) {
	states := d.directory.States(clock.Now())
	line := level.Warn(d.logger)
	if !d.directory.Loaded() {
		line = level.Info(d.logger)
	}
	_ = line.Log("msg", "store era has risen", "era", era, "before", before,
		"table_revision", states[directory.PartTable].Revision, "servers_revision", states[directory.PartServers].Revision,
		"outcome", "table, servers, boxes and duties are read again; what the store has lost stays in use for a time")
	d.directory.ObserveEra(era)
	d.roster.ObserveEra(era)
	d.duties.observeEra(era)
	d.quarantine.ObserveEra()
	d.versions.ObserveEra()
	d.saver.ObserveEra()
}

// storeEraGauge returns the gauge for the latest known era of the store.
func storeEraGauge(eras *storerev.Tracker) telemetry.Gauge {
	return telemetry.Gauge{
		Name: "headhill_store_era", Help: "Era of the store, which rises when it is restored from an older copy.", Attribute: "source",
		Observe: func() map[string]int64 { return map[string]int64{"store": int64(eras.Latest())} },
	}
}
