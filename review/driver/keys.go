package main

import (
	"strings"
	"time"

	"headhill.example/headhill/platform/platformtest"
)

// Keys of the case.
const (
	keyOfHule = "n2ctnfzs989anu6wsjnb"
	keyOfFida = "k7qpe10xw43mmd2vgy5r"
	// neverHeld is a key that no configuration holds.
	neverHeld = "zzzzzzzzzzzzzzzzzzzz"
)

// keysConfig returns a configuration with two tenants and a route that needs a key.
func keysConfig(version int, hule, fida []string) map[string]any {
	return map[string]any{
		"version":  version,
		"routes":   []any{map[string]any{"name": "transfer", "host": "ficu95.example", "path_prefix": "/puxa403/", "route_kind": "non_idempotent", "timeout_ms": 2000, "slo_ms": 500, "priority": 1, "service": "app", "max_attempts": 1}},
		"services": []any{map[string]any{"name": "app", "max_conns": 100}},
		"limits":   limits,
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": hule, "priority": 0}, map[string]any{"name": "fida11", "api_keys": fida, "priority": 0}},
	}
}

// playKeys takes the keys of all tenants away, one after the other, and then sends requests with keys that are not
// in force.
func playKeys(r *run) bool {
	f := r.fleet
	servers := []*platformtest.Server{platformtest.NewServer("i-1"), platformtest.NewServer("i-2")}
	for i, s := range servers {
		f.store.Put("servers", s.ID, s.Entry("app", []string{"caugiay", "hoalac"}[i], "ready"))
	}
	hule, fida := []string{keyOfHule}, []string{keyOfFida}
	f.configure(keysConfig(3, hule, fida))
	boxes := []*box{f.addBox("edge-caugiay-1", "caugiay"), f.addBox("edge-hoalac-1", "hoalac")}
	f.awaitReady()
	time.Sleep(time.Second)
	send := func(b *box, key, about string) *call {
		return r.do(&call{box: b, method: "POST", path: "/puxa403/2f", key: key, body: "transfer", about: ", " + about})
	}
	for _, b := range boxes {
		if c := send(b, keyOfHule, "key of hule930"); c.status != 200 {
			r.fail("a request with a key in force is not served: %d %v", c.status, c.err)
		}
		if c := send(b, neverHeld, "a key that no configuration held"); c.status != 401 {
			r.fail("a request with an unknown key is not refused while keys are in force: %d", c.status)
		}
	}
	// The keys of both tenants are taken away, 2 s apart. Without the disruption, the same versions keep them.
	if r.trouble {
		hule = []string{}
	}
	f.configure(keysConfig(5, hule, fida))
	time.Sleep(2 * time.Second)
	if r.trouble {
		fida = []string{}
	}
	f.configure(keysConfig(8, hule, fida))
	// config_apply_ms is 3,000 here; the store is sound, and all machines are in touch.
	time.Sleep(f.bounds.apply + 1500*time.Millisecond)
	r.note("requests from here on are sent 4.5 s after the acknowledgement of version 8; config_apply_ms is 3,000")
	type sent struct{ about, tenant string }
	notAllowed, allowed := map[string]sent{}, map[string]sent{}
	for range 5 {
		for _, b := range boxes {
			for _, k := range []struct{ key, tenant string }{{keyOfHule, "hule930"}, {keyOfFida, "fida11"}, {neverHeld, ""}, {"", ""}} {
				about := map[string]string{keyOfHule: "key of hule930", keyOfFida: "key of fida11", neverHeld: "a key that no configuration held", "": "no key"}[k.key]
				c := send(b, k.key, about)
				if k.tenant != "" && !r.trouble {
					allowed[c.id] = sent{about, k.tenant}
					if c.status != 200 {
						r.fail("a request with a key in force is not served: %d %v", c.status, c.err)
					}
					continue
				}
				notAllowed[c.id] = sent{about, ""}
			}
		}
	}
	broken := 0
	for _, s := range servers {
		for _, run := range s.Runs() {
			if n, ok := notAllowed[run.ID]; ok {
				broken++
				r.note("server %s ran %s, sent with %s, which no configuration in force allows; Headhill-Tenant %q", s.ID, run.ID, n.about, strings.Join(run.Header["Headhill-Tenant"], ","))
			}
			if a, ok := allowed[run.ID]; ok && run.Header.Get("Headhill-Tenant") != a.tenant {
				broken++
				r.note("server %s ran %s, sent with %s, under the tenant %q", s.ID, run.ID, a.about, run.Header.Get("Headhill-Tenant"))
			}
		}
	}
	r.note("%d of %d requests without a key in force were run", broken, len(notAllowed))
	return broken > 0
}
