package routerd

import (
	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/directory"
	"headhill.example/headhill/pkg/forms"
	"headhill.example/headhill/pkg/gateway"
	"headhill.example/headhill/pkg/incarnation"
	"headhill.example/headhill/pkg/quarantine"
	"headhill.example/headhill/pkg/readahead"
	"headhill.example/headhill/pkg/resumption"
	"headhill.example/headhill/pkg/roster"
	"headhill.example/headhill/pkg/serverpath"
	"headhill.example/headhill/pkg/signals"
	"headhill.example/headhill/pkg/telemetry"
	"headhill.example/headhill/pkg/tunnel"
	"headhill.example/headhill/pkg/upstream"
)

// inForceLabel is the only attribute value of headhill_table_version.
const inForceLabel = "in force"

// directoryGauges returns gauges for the age and revision of each part of the directory.
func directoryGauges(d *directory.Directory) []telemetry.Gauge {
	partGauge := func(name, help string, value func(directory.State) int64) telemetry.Gauge {
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
		partGauge("headhill_belief_age_milliseconds", "Time since the store last confirmed a part of what this box knows.",
			func(s directory.State) int64 { return s.Age.Milliseconds() }),
		partGauge("headhill_belief_revision", "Revision of the store up to which this box knows a part.",
			func(s directory.State) int64 { return int64(s.Revision.Number()) }),
		partGauge("headhill_belief_era", "Era of the store up to which this box knows a part; below headhill_store_era until a restored store is read.",
			func(s directory.State) int64 { return int64(s.Revision.Era()) }),
		partGauge("headhill_store_misses", "Questions of a part that the store has not answered.",
			func(s directory.State) int64 { return int64(s.Failures) }),
		{Name: "headhill_outdated_announcements", Help: "Announcements of other boxes that were ignored, as they were about an earlier revision.", Attribute: "part", Observe: d.OutdatedAnnouncements},
	}
}

// heldGauge returns the gauge for buffered request and response bytes.
func heldGauge(g *gateway.Gateway) telemetry.Gauge {
	return telemetry.Gauge{
		Name: "headhill_held_bytes", Help: "Bytes of requests and answers held for callers.", Attribute: "of",
		Observe: func() map[string]int64 { return map[string]int64{"callers": g.HeldBytes()} },
	}
}

// readAheadGauges returns the gauges for streams that are read ahead of slow callers.
func readAheadGauges(l *readahead.Ledger) []telemetry.Gauge {
	return []telemetry.Gauge{
		{Name: "headhill_read_ahead_bytes", Help: "Bytes of answers read ahead of slow callers; part of headhill_held_bytes.", Attribute: "of",
			Observe: func() map[string]int64 { return map[string]int64{"callers": l.Held()} }},
		{Name: "headhill_streams_at_bound", Help: "Streams that are not read further, by the bound on read-ahead.", Attribute: "bound",
			Observe: func() map[string]int64 { return streamsAtBound(l) }},
	}
}

func streamsAtBound(l *readahead.Ledger) map[string]int64 {
	values := make(map[string]int64)
	stopped := l.Stopped()
	for _, c := range []readahead.Cause{readahead.CauseCaller, readahead.CauseOrganisation, readahead.CauseTotal, readahead.CauseBox} {
		values[string(c)] = stopped[c]
	}
	return values
}

// formsGauge returns the gauge for the message format level of this box and the lowest of all
// boxes.
func formsGauge(r *roster.Roster) telemetry.Gauge {
	return telemetry.Gauge{
		Name: "headhill_forms_level", Help: "Level of the forms that boxes read.", Attribute: "boxes",
		Observe: func() map[string]int64 {
			return map[string]int64{"own": forms.Level, "lowest": int64(r.LowestLevel())}
		},
	}
}

// tableVersion returns no value until a table is loaded.
func tableVersion(d *directory.Directory) map[string]int64 {
	t := d.View().Table
	if t == nil {
		return nil
	}
	return map[string]int64{inForceLabel: int64(t.Version)}
}

// quarantineGauge returns the gauge for requests suspected of crashing servers and those held for
// it.
func quarantineGauge(q *quarantine.Quarantine) telemetry.Gauge {
	return telemetry.Gauge{
		Name: "headhill_quarantine_requests", Help: "Requests under which servers ended: suspected, or held.",
		Attribute: "state", Observe: q.Counts,
	}
}

// signalsGauge returns the gauge for servers by the signal in their responses.
func signalsGauge(t *signals.Tracker) telemetry.Gauge {
	return telemetry.Gauge{
		Name: "headhill_server_signals", Help: "Servers by what they signal in their answers.",
		Attribute: "signal", Observe: func() map[string]int64 { return t.Counts(clock.Now()) },
	}
}

// slownessGauge returns the gauge for servers by how slow they are.
func slownessGauge(b *balancer.Balancer) telemetry.Gauge {
	return telemetry.Gauge{
		Name: "headhill_server_slowness", Help: "Servers by the time that they take compared with the average: fast (below 0.8), average, slow (above 1.25).",
		Attribute: "band", Observe: func() map[string]int64 { return b.SlownessCounts(clock.Now()) },
	}
}

// arrivalsGauge returns the gauge for requests that other boxes have probably sent unreported.
func arrivalsGauge(b *balancer.Balancer) telemetry.Gauge {
	return telemetry.Gauge{
		Name: "headhill_unreported_requests", Help: "Requests that other boxes have probably sent to the engines of a service since their last reports.",
		Attribute: "lane", Observe: func() map[string]int64 { return b.ExpectedArrivals(clock.Now()) },
	}
}

// connectionsGauge returns the gauge for requests by the connection over which they were sent.
func connectionsGauge(c *upstream.Client) telemetry.Gauge {
	return telemetry.Gauge{
		Name: "headhill_server_connections", Help: "Requests sent to servers over an idle connection and over a new one, since the start.",
		Attribute: "connection", Observe: c.ConnectionCounts,
	}
}

// streamsGauge returns the gauge for the records of where streams began.
func streamsGauge(e *resumption.Exchange) telemetry.Gauge {
	return telemetry.Gauge{
		Name: "headhill_stream_versions", Help: "Records of the software versions at which streams began (kept), of those read from the store at the start (loaded) and of those in it of this box (saved), and since the start: writes of them (saves), streams recorded here, and taken up with a record (found), with one version, and refused as unknown.",
		Attribute: "state", Observe: e.Counts,
	}
}

// restartsGauge returns the gauge for servers that may have restarted.
func restartsGauge(t *incarnation.Tracker) telemetry.Gauge {
	return telemetry.Gauge{
		Name: "headhill_possible_restarts", Help: "Servers that may have restarted under their IDs and whose entries were not confirmed since.",
		Attribute: "state", Observe: func() map[string]int64 { return map[string]int64{"unconfirmed": t.Count()} },
	}
}

// responseEndsGauge returns the gauge for responses of servers by how they ended.
func responseEndsGauge(c *upstream.Client) telemetry.Gauge {
	return telemetry.Gauge{
		Name: "headhill_response_ends", Help: "Responses of servers by framing (length, chunked, close) and end (whole, closed, broken, none), since the start.",
		Attribute: "end", Observe: c.ResponseEnds,
	}
}

// responseIdentitiesGauge returns the gauge for responses of servers by whose they are.
func responseIdentitiesGauge(c *upstream.Client) telemetry.Gauge {
	return telemetry.Gauge{
		Name: "headhill_response_identities", Help: "Responses of servers by whether they carry the ID of the request (own), that of another one (other, skipped) or none (missing, the connection is closed), since the start.",
		Attribute: "identity", Observe: c.ResponseIdentities,
	}
}

// endChecksGauge returns the gauge for the checks of processes that closed a connection during a response.
func endChecksGauge(d *Daemon) telemetry.Gauge {
	return telemetry.Gauge{
		Name: "headhill_end_checks", Help: "Checks of servers' processes that closed the connection of a response without a length, by what was found (runs, ended, unknown), since the start. Only the close of one that runs ends the response.",
		Attribute: "process", Observe: func() map[string]int64 { return d.endChecker.Counts() },
	}
}

// serverQueriesGauge returns the gauge for queries to servers by the kind of their service and the outcome.
func serverQueriesGauge(q *serverQueries) telemetry.Gauge {
	return telemetry.Gauge{
		Name: "headhill_server_queries", Help: "Queries to servers for the start of their processes, by the kind of the service (engine, plain, unknown) and the outcome (started, unstated, rejected, unanswered), since the start.",
		Attribute: "result", Observe: q.counts.snapshot,
	}
}

// pathsGauge returns the gauge for direct connections to servers by how they ended.
func pathsGauge(t *serverpath.Tracker) telemetry.Gauge {
	return telemetry.Gauge{
		Name: "headhill_server_dials", Help: "Direct connections to servers that were opened, found nobody (silent) or were refused, since the start.",
		Attribute: "result", Observe: t.Dials,
	}
}

// relaysGauge returns the gauge for the other boxes by way of which this one reaches servers.
func relaysGauge(d *serverpath.Dialer) telemetry.Gauge {
	return telemetry.Gauge{
		Name: "headhill_server_relays", Help: "Other boxes that opened tunnels to servers for this one (proven) or did not (failed) lately, and the tunnels that are open (tunnels) or were opened since the start (opened).",
		Attribute: "state", Observe: d.RelayCounts,
	}
}

// retriesGauge returns the gauge for the decisions of the retry budget.
func retriesGauge(d *Daemon) telemetry.Gauge {
	return telemetry.Gauge{
		Name: "headhill_retry_decisions", Help: "Retries since the start that were charged to the budget, denied, and written to a server (sent).",
		Attribute: "state", Observe: func() map[string]int64 {
			t := d.retryBudget.Totals()
			return map[string]int64{"charged": t.Charged, "denied": t.Denied, "sent": t.Sent}
		},
	}
}

// callerConnectionsGauge returns the gauge for new connections of callers.
func callerConnectionsGauge(d *Daemon) telemetry.Gauge {
	return telemetry.Gauge{
		Name: "headhill_caller_connections", Help: "Connections of callers since the start that were read (admitted), closed unread, and closed after a further response (ended), the last two for lack of processor time; closed unread as there were too many (rejected), and closed while idle to make room for others (reclaimed).",
		Attribute: "state", Observe: func() map[string]int64 {
			t := d.gate.Totals()
			return map[string]int64{"admitted": t.Admitted, "closed": t.Closed, "ended": t.Ended, "rejected": d.rejectedConns.Load(), "reclaimed": d.reclaimedConns.Load()}
		},
	}
}

// tunnelsGauge returns the gauge for the tunnels that this box opened for others.
func tunnelsGauge(s *tunnel.Server) telemetry.Gauge {
	return telemetry.Gauge{
		Name: "headhill_tunnels", Help: "Tunnels to servers that are open for other boxes, and since the start those opened and refused, by reason, and the bytes copied.",
		Attribute: "state", Observe: s.Counts,
	}
}

// readyGauge returns the gauge for what this box tells the load balancer, and whether it reaches the
// servers.
func readyGauge(d *Daemon) telemetry.Gauge {
	return telemetry.Gauge{
		Name: "headhill_box_state", Help: "1 if the box is ready for callers, and if it has lost its links to the servers.", Attribute: "state",
		Observe: func() map[string]int64 {
			return map[string]int64{"ready": asInt(d.Ready()), "isolated": asInt(d.paths.Isolated())}
		},
	}
}

func asInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
