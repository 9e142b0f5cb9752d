package routerd

import (
	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/directory"
	"headhill.example/headhill/pkg/forms"
	"headhill.example/headhill/pkg/gateway"
	"headhill.example/headhill/pkg/quarantine"
	"headhill.example/headhill/pkg/roster"
	"headhill.example/headhill/pkg/signals"
	"headhill.example/headhill/pkg/telemetry"
)

// inForce is the one value of the gauge that shows the table's version.
const inForce = "in force"

// beliefGauges show how much a box knows of the store: what is old, and what can't be read.
func beliefGauges(d *directory.Directory) []telemetry.Gauge {
	byPart := func(name, help string, value func(directory.State) int64) telemetry.Gauge {
		return telemetry.Gauge{Name: name, Help: help, Attribute: "part", Observe: func() map[string]int64 {
			values := make(map[string]int64)
			for part, s := range d.States(clock.Now()) {
				values[part] = value(s)
			}
			return values
		}}
	}
	return []telemetry.Gauge{
		{Name: "headhill_table_version", Help: "Version of the routing table.", Attribute: "table", Observe: func() map[string]int64 { return tableVersion(d) }},
		byPart("headhill_belief_age_milliseconds", "Time since the store last confirmed a part of what this box knows.",
			func(s directory.State) int64 { return s.Age.Milliseconds() }),
		byPart("headhill_belief_revision", "Revision of the store up to which this box knows a part.",
			func(s directory.State) int64 { return int64(s.Revision) }),
		byPart("headhill_store_misses", "Questions of a part that the store has not answered.",
			func(s directory.State) int64 { return int64(s.Failures) }),
	}
}

// heldGauge shows how many bytes are held for callers.
func heldGauge(g *gateway.Gateway) telemetry.Gauge {
	return telemetry.Gauge{
		Name: "headhill_held_bytes", Help: "Bytes of requests and answers held for callers.", Attribute: "of",
		Observe: func() map[string]int64 { return map[string]int64{"callers": g.HeldBytes()} },
	}
}

// formsGauge shows the level of the forms that this box reads, and the lowest of all boxes.
func formsGauge(r *roster.Roster) telemetry.Gauge {
	return telemetry.Gauge{
		Name: "headhill_forms_level", Help: "Level of the forms that boxes read.", Attribute: "boxes",
		Observe: func() map[string]int64 {
			return map[string]int64{"own": forms.Level, "lowest": int64(r.LowestLevel())}
		},
	}
}

// tableVersion is empty until a table is known.
func tableVersion(d *directory.Directory) map[string]int64 {
	t := d.View().Table
	if t == nil {
		return nil
	}
	return map[string]int64{inForce: int64(t.Version)}
}

// quarantineGauge shows how many requests are suspected of crashing servers, and held for it.
func quarantineGauge(q *quarantine.Quarantine) telemetry.Gauge {
	return telemetry.Gauge{
		Name: "headhill_quarantine_requests", Help: "Requests under which servers ended: suspected, or held.",
		Attribute: "state", Observe: q.Counts,
	}
}

// signalsGauge shows how many servers signal what.
func signalsGauge(t *signals.Tracker) telemetry.Gauge {
	return telemetry.Gauge{
		Name: "headhill_server_signals", Help: "Servers by what they signal in their answers.",
		Attribute: "signal", Observe: func() map[string]int64 { return t.Counts(clock.Now()) },
	}
}
