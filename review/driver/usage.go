package main

import (
	"maps"
	"os"
	"sync"
	"time"

	"headhill.example/headhill/platform/platformtest"
)

const (
	// windowSeconds is report_window_s of the site.
	windowSeconds = 5
	// copyAge is how old the copy is from which the store comes back, storeAway how long it is away.
	copyAge   = 3 * time.Second
	storeAway = 500 * time.Millisecond
	// quiet is how long no client sends anything afterwards.
	quiet = 15 * time.Second
)

// copyOfStore is a copy of the store's content.
type copyOfStore struct {
	at      time.Time
	content platformtest.Snapshot
}

// playUsage brings the store back from a copy some seconds old just after a window of usage was reported, kills all
// routers at the same time, and is quiet then.
func playUsage(r *run) bool {
	f := r.fleet
	// From here on all answers of the store hold Store-Era.
	f.store.Restore(f.store.Snapshot())
	s := r.startServer("i-1", "app", "caugiay", answerPlainly)
	f.configure(map[string]any{
		"version": 3,
		"routes": []any{map[string]any{"name": "lookup", "host": "ficu95.example", "path_prefix": "/status/", "route_kind": "idempotent", "timeout_ms": 1000, "slo_ms": 150, "priority": 1,
			"service": "app", "max_attempts": 2}},
		"services": []any{map[string]any{"name": "app", "max_conns": 580}},
		"limits":   limits,
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []string{keyOfHule}, "priority": 0}},
	})
	boxes := []*box{f.addBox("edge-caugiay-1", "caugiay"), f.addBox("edge-hoalac-1", "hoalac")}
	f.awaitReady()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
			r.do(&call{box: boxes[n%len(boxes)], method: "GET", path: "/status/17", key: keyOfHule})
		}
	})
	var copies []copyOfStore
	before := f.cloud.Usage()
	reported := int64(0)
	for end := time.Now().Add(45 * time.Second); reported == 0; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			r.fail("no usage was reported in 45 s")
		}
		copies = append(copies, copyOfStore{time.Now(), f.store.Snapshot()})
		for window, counts := range f.cloud.Usage() {
			// The second window that is reported: by then the lease is in the copy.
			if counts["hule930"] > 10 && len(f.cloud.Usage()) > 2 && before[window] == nil {
				reported = max(reported, window)
			}
		}
		if reported == 0 {
			before = maps.Clone(f.cloud.Usage())
		}
	}
	r.note("the platform has accepted the usage of window %d: %v", reported, f.cloud.Usage()[reported])
	close(stop)
	wg.Wait()
	if r.trouble {
		r.restoreAndKill(copies, boxes)
	}
	r.note("no client sends anything for %s", quiet)
	time.Sleep(quiet)
	for window, counts := range f.cloud.Usage() {
		r.note("usage of window %d, as reported last: %v", window, counts)
	}
	for _, c := range f.cloud.Calls() {
		r.note("call of %s with fencing token %d at %.1f s", c.Holder, c.Fence, c.At.Sub(r.start).Seconds())
	}
	r.note("server %s ran %d requests", s.id, len(s.all()))
	for _, v := range f.cloud.Violations() {
		r.note("%s", v)
	}
	return len(f.cloud.Violations()) > 0
}

// restoreAndKill is the disruption. ONLY=restore or ONLY=kill leaves the other half out.
func (r *run) restoreAndKill(copies []copyOfStore, boxes []*box) {
	f, only := r.fleet, os.Getenv("ONLY")
	from := copies[0]
	for _, c := range copies {
		if time.Since(c.at) >= copyAge {
			from = c
		}
	}
	f.silenceStore(true)
	if only != "restore" {
		for _, b := range boxes {
			f.kill(b)
		}
	}
	time.Sleep(storeAway)
	if only != "kill" {
		f.store.Restore(from.content)
		r.note("the store is back from a copy that is %.1f s old", time.Since(from.at).Seconds())
	}
	f.silenceStore(false)
	if only != "restore" {
		time.Sleep(500 * time.Millisecond)
		for _, b := range boxes {
			f.start(b)
		}
	}
}
