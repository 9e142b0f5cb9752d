package box

import (
	"time"

	"headhill.example/headhill/pkg/telemetry"
)

// addGauges registers the gauges of the box, which are computed on collection.
func (b *Box) addGauges() error {
	return b.metrics.AddGauges(
		telemetry.Gauge{Name: "headhill_waiting", Help: "Requests waiting in the shards that this box owns.", Attribute: "class", Observe: b.waitingByClass},
		telemetry.Gauge{Name: "headhill_running", Help: "Requests running on the servers of the shards that this box owns.", Attribute: "shard", Observe: b.runningByShard},
		telemetry.Gauge{Name: "headhill_in_progress", Help: "Callers' requests in progress on this box.", Attribute: "box", Observe: b.inProgress},
		telemetry.Gauge{Name: "headhill_platform_calls", Help: "Calls made to the platform since start.", Attribute: "kind", Observe: b.platformCalls},
		telemetry.Gauge{Name: "headhill_generation", Help: "Configuration generation in force.", Attribute: "box", Observe: b.generation},
	)
}

func (b *Box) waitingByClass() map[string]int64 {
	m := make(map[string]int64)
	for _, s := range b.runner.Status(time.Now()) {
		for class, n := range s.GetWaiting() {
			m[class] += int64(n)
		}
	}
	return m
}

func (b *Box) runningByShard() map[string]int64 {
	m := make(map[string]int64)
	for _, s := range b.runner.Status(time.Now()) {
		m[s.GetShard()] = int64(s.GetRunning())
	}
	return m
}

func (b *Box) inProgress() map[string]int64 {
	return map[string]int64{b.settings.Box.ID: int64(b.InProgress())}
}

func (b *Box) platformCalls() map[string]int64 {
	c := b.platform.Calls()
	return map[string]int64{"read": int64(c.Reads), "write": int64(c.Writes)}
}

func (b *Box) generation() map[string]int64 {
	return map[string]int64{b.settings.Box.ID: int64(b.Generation())}
}
