package main

import (
	"net"
	"sync"
	"time"
)

const (
	// fatalPath is that of the request that crashes each server that begins to run it.
	fatalPath = "/status/17"
	// runTime is how long a server runs the request before it crashes.
	runTime = 400 * time.Millisecond
	// askers is the number of clients that ask for the same thing, askGap the time after which each asks again.
	askers = 5
	asks   = 5
	askGap = 5 * time.Second
)

// playCopies has some clients of one tenant ask for the same thing every few seconds; each server that begins to run
// that crashes.
func playCopies(r *run) bool {
	f := r.fleet
	answer := func(s *server, c net.Conn, a arrival) bool {
		if a.path != fatalPath {
			time.Sleep(30 * time.Millisecond)
			return answerPlainly(s, c, a)
		}
		time.Sleep(runTime)
		if !r.trouble {
			return answerPlainly(s, c, a)
		}
		s.crash(serverBack)
		return false
	}
	var servers []*server
	for _, name := range []string{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7", "i-8"} {
		servers = append(servers, r.startServer(name, "app", []string{"caugiay", "hoalac"}[len(servers)%2], answer))
	}
	f.configure(map[string]any{
		"version": 3,
		"routes": []any{map[string]any{"name": "lookup", "host": "ficu95.example", "path_prefix": "/status/", "route_kind": "idempotent", "timeout_ms": 2000, "slo_ms": 500, "priority": 1,
			"service": "app", "max_attempts": 1}},
		"services": []any{map[string]any{"name": "app", "max_conns": 100}},
		"limits":   limits,
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []string{keyOfHule}, "priority": 0}},
	})
	boxes := []*box{f.addBox("edge-caugiay-1", "caugiay"), f.addBox("edge-hoalac-1", "hoalac"), f.addBox("edge-caugiay-2", "caugiay")}
	f.awaitReady()
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			wg.Go(func() {
				r.do(&call{box: boxes[n%len(boxes)], method: "GET", path: "/status/of-" + newID(), key: keyOfHule})
			})
		}
	})
	for asker := range askers {
		wg.Go(func() {
			time.Sleep(time.Duration(asker) * 10 * time.Millisecond)
			for n := range asks {
				wg.Go(func() {
					r.do(&call{box: boxes[(asker+n)%len(boxes)], method: "GET", path: fatalPath, key: keyOfHule, about: ", fatal"})
				})
				time.Sleep(askGap)
			}
		})
	}
	time.Sleep(asks * askGap)
	close(stop)
	wg.Wait()
	return r.judgeCopies(servers)
}

// judgeCopies applies the rule: the request reaches servers in no more than three retries that are sent later than
// contact_ms after it has crashed the third.
func (r *run) judgeCopies(servers []*server) bool {
	var crashes []time.Time
	var fatal []arrival
	ordinary := 0
	for _, s := range servers {
		s.mu.Lock()
		crashes = append(crashes, s.crashes...)
		s.mu.Unlock()
		for _, a := range s.all() {
			if a.path == fatalPath {
				fatal = append(fatal, a)
				continue
			}
			ordinary++
		}
	}
	sortTimes(crashes)
	if ordinary < 50 || len(fatal) < 3 {
		r.fail("too few requests reached servers: %d ordinary ones, %d others", ordinary, len(fatal))
	}
	r.note("%d crashes; the request reached servers %d times, %d others did", len(crashes), len(fatal), ordinary)
	if len(crashes) < 3 {
		return false
	}
	late := 0
	for _, a := range fatal {
		if a.at.After(crashes[2].Add(contact)) {
			late++
			r.note("%s reached server %s %.1f s after the third crash", a.id, a.server, a.at.Sub(crashes[2]).Seconds())
		}
	}
	r.note("%d retries reached servers later than contact_ms after the third crash; the rule allows 3", late)
	return late > 3
}
