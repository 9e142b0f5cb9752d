package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"headhill.example/headhill/platform/platformtest"
)

func init() {
	cases["extra-to-check"] = extraToCheck
	cases["extra-to-report"] = extraToReport
}

const (
	// garbledShare is the part of the answers that a server sends twice, garbledServers the part of the servers that do: as the
	// site file's garble "extra late", x = 0.03, share = 0.6, for_s = 5.0.
	garbledShare   = 0.03
	garbledServers = 0.6
)

// garbleWindows are the times at which servers send answers twice: for 5 s, again and again.
var garbleWindows = windows{first: 4 * time.Second, length: 5 * time.Second, period: 6 * time.Second}

// deployment is a store, servers and routers.
type deployment struct {
	store   *platformtest.Store
	servers []*server
	routers []*router
	callers *callers
	rng     *rand.Rand
}

func routeOf(kind string) map[string]any {
	return map[string]any{
		"name": "hoso", "host": host, "path_prefix": "/hoso/", "route_kind": kind, "timeout_ms": 12000, "slo_ms": 2500,
		"priority": 1, "service": "mohinh", "max_attempts": 3,
	}
}

// deploy starts everything. configure is called for each server before it starts.
func deploy(rec *record, kind string, engine bool, servers, routers int, configure func(*server)) *deployment {
	d := &deployment{store: platformtest.NewStore(), callers: newCallers(rec), rng: rand.New(rand.NewPCG(*seed, 7))}
	service := map[string]any{"name": "mohinh", "max_conns": 360}
	if engine {
		service["engine"] = map[string]any{"kv_capacity": 521945}
	}
	d.store.Put("config", "main", map[string]any{
		"version": 3, "routes": []any{routeOf(kind)}, "services": []any{service},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{key}, "priority": 0}},
	})
	garbling := int(garbledServers * float64(servers))
	for i := range servers {
		s := newServer([]string{"i-7f3a91c2", "i-02d9e6b4", "i-55b1c0de", "i-9a00e1f7", "i-c3d2b188"}[i], "mohinh", rec)
		configure(s)
		if *trouble && i < garbling {
			s.extra = garble(garbleWindows, garbledShare, rec.start, rand.New(rand.NewPCG(*seed, uint64(i))))
		}
		s.start()
		d.servers = append(d.servers, s)
		d.store.Put("servers", s.id, s.entry("caugiay"))
	}
	for i := range routers {
		d.routers = append(d.routers, startRouter(fmt.Sprintf("edge-%d", i+1), d.store.Address()))
	}
	for _, r := range d.routers {
		r.awaitReady()
	}
	rec.add("%d routers, %d servers, %d of which send %g of their answers twice while that is in force: %t", routers, servers, garbling, garbledShare, *trouble)
	return d
}

// total adds what the servers counted to the record, and returns how often each request ran.
func (d *deployment) total(rec *record) map[string]int {
	runs := make(map[string]int)
	for _, s := range d.servers {
		answers, extras := s.counts()
		rec.add("server %s gave %d answers, %d of them twice", s.id, answers, extras)
		s.mu.Lock()
		for id, n := range s.runs {
			runs[id] += n
		}
		s.mu.Unlock()
	}
	return runs
}

// extraToCheck: servers send answers a second time, also those to the requests by which a router checks its path to a server.
func extraToCheck(rec *record) bool {
	const length = 100 * time.Second
	work := rand.New(rand.NewPCG(*seed, 99))
	var mu sync.Mutex
	d := deploy(rec, "non_idempotent", false, 5, 7, func(s *server) {
		s.work = func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return 500*time.Millisecond + time.Duration(work.IntN(200))*time.Millisecond
		}
	})
	var wg sync.WaitGroup
	// Groups of calls come every 1.2 s, spread over 300 ms.
	for time.Since(rec.start) < length {
		begun := time.Now()
		for _, r := range d.routers {
			for range 4 + d.rng.IntN(17) {
				delay := time.Duration(d.rng.IntN(300)) * time.Millisecond
				wg.Go(func() {
					time.Sleep(delay)
					d.callers.send(r, "/hoso/tomtat", 8*time.Second)
				})
			}
		}
		time.Sleep(time.Until(begun.Add(1200 * time.Millisecond)))
	}
	wg.Wait()
	runs := d.total(rec)
	twice, refused := 0, 0
	for _, a := range d.callers.all() {
		if runs[a.id] > 1 {
			twice++
			rec.add("TWICE: %s, not idempotent, ran %d times", a.id, runs[a.id])
		}
		switch a.status {
		case 408, 421, 429, 503:
			if runs[a.id] > 0 {
				refused++
				rec.add("REFUSED: %s was answered %d and ran", a.id, a.status)
			}
		}
	}
	rec.add("%d requests, %d ran more than once, %d refused although they ran", len(d.callers.all()), twice, refused)
	return twice+refused > 0
}

// extraToReport: servers send answers a second time, also those in which they report on themselves.
func extraToReport(rec *record) bool {
	const length = 80 * time.Second
	born := time.Now().Add(-time.Hour).UnixMilli()
	d := deploy(rec, "idempotent", true, 5, 3, func(s *server) {
		s.unframed, s.born = true, born
	})
	var wg sync.WaitGroup
	for _, r := range d.routers {
		wg.Go(func() {
			for n := 0; time.Since(rec.start) < length; n++ {
				wg.Go(func() { d.callers.send(r, "/hoso/tomtat", 8*time.Second) })
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	d.total(rec)
	mixed, served := 0, 0
	for _, a := range d.callers.all() {
		if a.err != nil || a.status/100 != 2 {
			continue
		}
		served++
		own := false
		for _, s := range d.servers {
			own = own || a.stamp == stampOf(s.id) && a.body == bodyFor(s.id, a.id)
		}
		if !own {
			mixed++
			rec.add("MIXED: %s got a success with stamp %q and body %.120q, which no server gave for it", a.id, a.stamp, a.body)
		}
	}
	rec.add("%d requests, %d served, %d of these with an answer that is not theirs", len(d.callers.all()), served, mixed)
	return mixed > 0
}
