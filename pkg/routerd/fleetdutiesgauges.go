package routerd

import (
	"fmt"

	"headhill.example/headhill/pkg/autoscale"
	"headhill.example/headhill/pkg/telemetry"
)

// gauges returns gauges for the lease, reported usage windows and autoscaled servers.
func (f *fleetDuties) gauges() []telemetry.Gauge {
	if !f.hasDuties() {
		return nil
	}
	return []telemetry.Gauge{
		{Name: "headhill_lease", Help: "The lease of the fleet's duties as this box knows it.", Attribute: "part", Observe: f.leaseGauge},
		{Name: "headhill_usage_windows", Help: "Windows of usage: reported, waiting, calls that failed, and the last one's number.", Attribute: "part", Observe: f.usageGauge},
		{Name: "headhill_ordered_servers", Help: "Servers wanted, ready and leaving, by service, hall and kind.", Attribute: "servers", Observe: f.serversGauge},
	}
}

func (f *fleetDuties) leaseGauge() map[string]int64 {
	s := f.leaseManager.Status()
	held := int64(0)
	if s.Held {
		held = 1
	}
	return map[string]int64{
		"held": held, "fence": int64(s.Fence), "takings": int64(s.Acquisitions), "renewals": int64(s.Renewals),
		"failures": int64(s.Failures), "age_ms": s.RecordAge.Milliseconds(),
	}
}

func (f *fleetDuties) usageGauge() map[string]int64 {
	if f.reporter == nil {
		return nil
	}
	s := f.reporter.Status()
	return map[string]int64{"reported": int64(s.Reported), "waiting": int64(s.Pending), "failed": int64(s.Failed), "last": int64(s.LastWindow)}
}

func (f *fleetDuties) serversGauge() map[string]int64 {
	values := make(map[string]int64)
	if f.scaler == nil {
		return values
	}
	for service, s := range f.scaler.Status() {
		for state, counts := range map[string]autoscale.HallCounts{"wanted": s.Targets, "ready": s.Ready, "leaving": s.Leaving} {
			for hall, n := range counts {
				for _, k := range []autoscale.Kind{autoscale.OnDemand, autoscale.Spot} {
					values[fmt.Sprintf("%s %s %s %s", service, hall, k, state)] = int64(n[k])
				}
			}
		}
	}
	return values
}
