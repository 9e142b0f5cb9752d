package box

import "time"

// gauges shows what the box holds and owns at the moment it is asked.
func (b *Box) gauges() error {
	for _, g := range []struct {
		name, help, attr string
		observe          func() map[string]int64
	}{
		{"headhill_waiting", "Requests waiting in the shards that this box owns.", "class", b.waitingByClass},
		{"headhill_running", "Requests running on the servers of the shards that this box owns.", "shard", b.runningByShard},
		{"headhill_in_progress", "Callers' requests in progress on this box.", "box", b.inProgress},
		{"headhill_platform_calls", "Calls made to the platform since start.", "kind", b.platformCalls},
		{"headhill_generation", "Configuration generation in force.", "box", b.generation},
	} {
		if err := b.metrics.Gauge(g.name, g.help, g.attr, g.observe); err != nil {
			return err
		}
	}
	return nil
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
