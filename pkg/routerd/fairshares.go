package routerd

import (
	"math"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/fairshare"
	"headhill.example/headhill/pkg/telemetry"
)

// fairSharesGauge returns the gauge for the fair shares of organisations. Its number of attribute
// values does not depend on the number of organisations.
func fairSharesGauge(t *fairshare.Tracker) telemetry.Gauge {
	return telemetry.Gauge{
		Name: "headhill_fair_shares", Help: "Use of engine services by organisations: how many are tracked, how many are above 1.25 times the fair level, services and ranks that are contended, and the largest ratio to the fair level in percent.",
		Attribute: "of", Observe: func() map[string]int64 {
			s := t.State(clock.Now())
			return map[string]int64{
				"organisations": int64(s.Organisations), "above": int64(s.Above), "contended": int64(s.Contended), "largest_ratio_percent": int64(math.Round(100 * s.MaxRatio)),
			}
		},
	}
}

// updateFairShares disables the tracker if fair shares are switched off, so that no usage is reported
// or counts when they are switched on again.
func (d *Daemon) updateFairShares() {
	d.shares.SetEnabled(d.settings.Load().Scheduling.FairShares)
}
