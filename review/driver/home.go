package main

import (
	"time"
)

// dakar are the bounds of the site pnl-dakar-grown.
var dakar = bounds{drain: 3 * time.Second, apply: 3 * time.Second, evacuate: 5 * time.Second, grace: 8 * time.Second, retryRatio: 0.2, retrySlack: 208}

// playHome sends requests of a route that is bound to one region to the machine there, while the queue of new
// connections of the server is full for a moment.
func playHome(r *run) bool {
	f := r.fleet
	f.bounds = dakar
	f.regions = map[string]string{"dakar-port": "sn-ouest", "kaolack": "sn-centre"}
	f.configure(map[string]any{
		"version": 3,
		"routes": []any{map[string]any{"name": "stock", "host": "ficu95.example", "path_prefix": "/stock/", "route_kind": "idempotent", "timeout_ms": 4000, "slo_ms": 500, "priority": 1,
			"service": "yard", "max_attempts": 2, "allowed_regions": []string{"sn-ouest"}}},
		"services": []any{map[string]any{"name": "yard", "max_conns": 560}},
		"limits":   limits,
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []string{keyOfHule}, "priority": 0}},
	})
	s := r.startServer("i-port-1", "yard", "dakar-port", answerPlainly)
	other := r.startServer("i-kaolack-1", "yard", "kaolack", answerPlainly)
	home := f.addBox("edge-dakar-port-1", "dakar-port")
	away := f.addBox("edge-kaolack-1", "kaolack")
	f.awaitReady()
	time.Sleep(2 * time.Second)
	send := func(about string) *call {
		return r.do(&call{box: home, method: "POST", path: "/stock/7", key: keyOfHule, body: "the caller's data", deadline: 4 * time.Second, about: ", " + about})
	}
	if c := send("before"); c.status != 200 {
		r.fail("a request is not served while nothing is wrong: %d %v", c.status, c.err)
	}
	var sent []*call
	for range 10 {
		// The server closes idle connections after a second, so each request needs a new one.
		time.Sleep(1500 * time.Millisecond)
		if !r.trouble {
			sent = append(sent, send("queue of the server not full"))
			continue
		}
		resume := s.fillQueue(1)
		time.AfterFunc(25*time.Millisecond, resume)
		sent = append(sent, send("queue of the server full for 25 ms"))
	}
	broken := 0
	for _, a := range append(s.all(), other.all()...) {
		r.note("server %s ran %s with body %q, which came from %s", a.server, a.id, a.body, a.from)
		if a.from == away.name || a.server == other.id {
			broken++
			r.note("%s is bound to sn-ouest, and its client is there; its body was sent to %s, in sn-centre", a.id, away.name)
		}
	}
	r.note("%d of %d requests were sent to a machine outside their region", broken, len(sent))
	return broken > 0
}
