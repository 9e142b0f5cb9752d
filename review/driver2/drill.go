package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"headhill.example/headhill/platform/platformtest"
)

func init() { cases["drill-and-holders"] = drillAndHolders }

const (
	// windowTime is report_window_s. A holder closes a window 1.5 s after its end, and reports it at once.
	windowTime = 5 * time.Second
	// restartTime is how long a killed process stays away.
	restartTime = time.Second
)

// leaseRecord is what the routers keep in the store about who performs the duties.
type leaseRecord struct {
	Metadata struct {
		Revision uint64 `json:"revision"`
	} `json:"metadata"`
	Spec struct {
		Holder string `json:"holder"`
	} `json:"spec"`
}

// lastWriter returns the router that last wrote the record of the duties under a condition, and the revision of that.
func lastWriter(store string) (holder string, revision uint64) {
	resp, err := http.Get("http://" + store + "/objects/headhill-leases/duties")
	if err != nil {
		return "", 0
	}
	defer resp.Body.Close()
	var r leaseRecord
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&r) != nil {
		return "", 0
	}
	return r.Spec.Holder, r.Metadata.Revision
}

// drillAndHolders: the store comes back from a copy some seconds old, and the process that last wrote to it under a condition is killed
// then, and once more after the next one has.
func drillAndHolders(rec *record) bool {
	store, cloud, c := platformtest.NewStore(), platformtest.NewCloud(), newCallers(rec)
	store.Put("config", "main", map[string]any{
		"version": 3, "routes": []any{routeOf("idempotent")}, "services": []any{map[string]any{"name": "mohinh", "max_conns": 360}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{key}, "priority": 0}},
	})
	for i := range 2 {
		s := newServer(fmt.Sprintf("i-7f3a91c%d", i), "mohinh", rec)
		s.start()
		store.Put("servers", s.id, s.entry("caugiay"))
	}
	moreLines = fmt.Sprintf("\n[duties]\naddress = %s\nheld = metering\nlease = 3000ms\nwindow = 5s\n", cloud.Address())
	byName := make(map[string]*router)
	for _, name := range []string{"edge-1", "edge-2"} {
		byName[name] = startRouter(name, store.Address())
	}
	for _, r := range byName {
		r.awaitReady()
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, r := range byName {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
					wg.Go(func() { c.send(r, "/hoso/x", 4*time.Second) })
				}
			}
		})
	}
	seen := make(map[int64]bool)
	note := func() {
		for window, counts := range cloud.Usage() {
			if !seen[window] {
				seen[window] = true
				rec.add("the platform has the usage of window %d: %v", window, counts)
			}
		}
	}
	// Two windows are reported first.
	for len(cloud.Usage()) < 2 && time.Since(rec.start) < 40*time.Second {
		time.Sleep(50 * time.Millisecond)
		note()
	}
	if len(cloud.Usage()) < 2 {
		unable("no usage is reported")
	}
	// The copy is of half a second after the end of a window, and the store is back 3.5 s later.
	now := time.Now()
	time.Sleep(time.Until(now.Truncate(windowTime).Add(windowTime + 500*time.Millisecond)))
	copied, before := store.Snapshot(), len(cloud.Usage())
	rec.add("the copy from which the store will come back is taken")
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		note()
	}
	rec.add("%d windows were reported since", len(cloud.Usage())-before)
	if *trouble {
		holder, revision := lastWriter(store.Address())
		if byName[holder] == nil {
			unable("nobody performs the duties")
		}
		store.SetFaults(platformtest.StoreFaults{Hang: true})
		rec.add("the store is away; the last to write to it under a condition was %s, at revision %d", holder, revision)
		byName[holder].kill(rec, restartTime)
		time.Sleep(500 * time.Millisecond)
		store.SetFaults(platformtest.StoreFaults{})
		store.Restore(copied)
		rec.add("the store is back from the copy")
		_, known := lastWriter(store.Address())
		for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			if holder, revision = lastWriter(store.Address()); revision != known && byName[holder] != nil {
				break
			}
		}
		rec.add("%s has written to the store under a condition, at revision %d", holder, revision)
		time.Sleep(300 * time.Millisecond)
		byName[holder].kill(rec, restartTime)
	}
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end) && len(cloud.Violations()) == 0; time.Sleep(50 * time.Millisecond) {
		note()
	}
	close(stop)
	wg.Wait()
	for _, v := range cloud.Violations() {
		rec.add("ONE: %s", v)
	}
	for _, call := range cloud.Calls() {
		rec.add("call at %.3f s of %s, fence %d", call.At.Sub(rec.start).Seconds(), call.Holder, call.Fence)
	}
	rec.add("%d windows reported, %d of them again with other counts", len(cloud.Usage()), len(cloud.Violations()))
	return len(cloud.Violations()) > 0
}
