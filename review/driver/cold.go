package main

import (
	"net"
	"sync"
	"time"
)

// Figures of the site pnl-dakar-grown.
const (
	coldTime      = 3 * time.Second
	coldPerSecond = 7.6
	coldOvershoot = 1.5
	coldSlack     = 5
	// storeDown is how long the store is silent.
	storeDown = 4500 * time.Millisecond
	// coldFall is the number of requests within a second above which a cold server falls over: well above what it
	// bears, and above the bound of the rule.
	coldFall = 3 * coldPerSecond
)

// playCold lets servers turn cold again, while the store is silent for some seconds.
func playCold(r *run) bool {
	f := r.fleet
	f.bounds = dakar
	f.regions = map[string]string{"dakar-port": "sn-ouest", "thies": "sn-ouest"}
	f.configure(map[string]any{
		"version": 3,
		"routes": []any{map[string]any{"name": "stock", "host": "ficu95.example", "path_prefix": "/stock/", "route_kind": "non_idempotent", "timeout_ms": 2500, "slo_ms": 150, "priority": 1,
			"service": "yard", "max_attempts": 1}},
		"services": []any{map[string]any{"name": "yard", "max_conns": 560, "health_path": healthPath, "cold_s": coldTime.Seconds(), "cold_per_s": coldPerSecond}},
		"limits":   limits,
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []string{keyOfHule}, "priority": 0}},
	})
	answer := func(s *server, c net.Conn, a arrival) bool {
		if s.coldArrivals(time.Second) > coldFall {
			s.crash(2 * time.Second)
			return false
		}
		time.Sleep(30 * time.Millisecond)
		return answerPlainly(s, c, a)
	}
	servers := []*server{r.startServer("i-1", "yard", "dakar-port", answer), r.startServer("i-2", "yard", "thies", answer)}
	boxes := []*box{f.addBox("edge-dakar-port-1", "dakar-port"), f.addBox("edge-thies-1", "thies")}
	f.awaitReady()
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(16 * time.Millisecond):
			}
			b := boxes[n%len(boxes)]
			wg.Go(func() {
				r.do(&call{box: b, method: "POST", path: "/stock/7", key: keyOfHule, body: "x", deadline: 2500 * time.Millisecond})
			})
		}
	})
	time.Sleep(3 * time.Second)
	if r.trouble {
		f.silenceStore(true)
		time.Sleep(500 * time.Millisecond)
	}
	turned := time.Now()
	for _, s := range servers {
		s.mu.Lock()
		s.coldUntil = turned.Add(coldTime)
		s.mu.Unlock()
	}
	r.note("the servers turn cold for %s", coldTime)
	if r.trouble {
		time.Sleep(storeDown - 500*time.Millisecond)
		f.silenceStore(false)
	} else {
		for _, s := range servers {
			s.list("ready")
		}
		time.Sleep(storeDown - 500*time.Millisecond)
	}
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	broken := false
	crashes := 0
	for _, s := range servers {
		most := 0
		arrivals := s.all()
		for i, a := range arrivals {
			if a.at.Before(turned) || a.at.After(turned.Add(coldTime-time.Second)) {
				continue
			}
			n := 0
			for _, b := range arrivals[i:] {
				if b.at.Sub(a.at) < time.Second && b.server == a.server {
					n++
				}
			}
			most = max(most, n)
		}
		allowed := coldPerSecond*coldOvershoot + coldSlack
		r.note("cold server %s got at most %d requests within a second; it crashed %d times, and its health was asked for %d times; the rule allows %.1f", s.id, most, len(s.crashes), s.healthCalls, allowed)
		crashes += len(s.crashes)
		broken = broken || float64(most) > allowed
	}
	r.note("%d crashes of servers", crashes)
	return broken
}

// coldArrivals returns the number of requests that reached this incarnation within the last time while it was cold.
func (s *server) coldArrivals(d time.Duration) (n float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.After(s.coldUntil) {
		return 0
	}
	since := s.coldUntil.Add(-coldTime)
	for i := len(s.arrivals) - 1; i >= 0 && now.Sub(s.arrivals[i].at) < d && s.arrivals[i].at.After(since); i-- {
		if s.arrivals[i].server == s.id {
			n++
		}
	}
	return n
}
