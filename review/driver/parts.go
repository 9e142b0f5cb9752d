package main

import (
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"headhill.example/headhill/platform/platformtest"
)

const (
	badPart = "bad05f1e"
	// firstParts are shared by all requests of the case.
	firstParts = "5c1e07a2:800,91bd3f06:410"
	// serverBack is how long a server that has crashed is away.
	serverBack = 2 * time.Second
	// contact is contact_ms of the site.
	contact = 4 * time.Second
)

// playParts sends requests with a part of a prompt on which servers crash as they begin to write the answer. The
// answers of the servers have neither a length nor chunks.
func playParts(r *run) bool {
	f := r.fleet
	chunked := os.Getenv("FRAMING") == "chunked"
	answer := func(s *server, c net.Conn, a arrival) bool {
		head, encode := answerHead(a)+"Content-Type: text/event-stream\r\nConnection: close\r\n", func(text string) string { return text }
		if chunked {
			head += "Transfer-Encoding: chunked\r\n"
			encode = func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
		}
		time.Sleep(60 * time.Millisecond)
		if _, err := c.Write([]byte(head + "\r\n")); err != nil {
			return false
		}
		if r.trouble && platformtest.HasPart(a.header, badPart) {
			time.Sleep(20 * time.Millisecond)
			s.crash(serverBack)
			return false
		}
		for n := 1; n <= 5; n++ {
			if _, err := c.Write([]byte(encode(platformtest.Event(n)))); err != nil {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
		if chunked {
			_, _ = c.Write([]byte("0\r\n\r\n"))
		}
		return false
	}
	var servers []*server
	for i := range 8 {
		servers = append(servers, r.startServer(fmt.Sprintf("i-%d", i+1), "model", []string{"caugiay", "hoalac"}[i%2], answer))
	}
	f.configure(map[string]any{
		"version": 3,
		"routes": []any{map[string]any{"name": "ask", "host": "ficu95.example", "path_prefix": "/lohu930/", "route_kind": "streaming", "timeout_ms": 12000, "slo_ms": 1500,
			"itl_target_ms": 300, "priority": 0, "service": "model", "max_attempts": 2, "resumable": true, "sticky": true}},
		"services": []any{map[string]any{"name": "model", "max_conns": 360, "engine": map[string]any{"kv_capacity": 521945}}},
		"limits":   limits,
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []string{keyOfHule}, "priority": 0}},
	})
	boxes := []*box{f.addBox("edge-caugiay-1", "caugiay"), f.addBox("edge-hoalac-1", "hoalac"), f.addBox("edge-caugiay-2", "caugiay")}
	f.awaitReady()
	time.Sleep(2 * time.Second)
	// No two requests are alike; each has a last part of its own. Sound ones share the caller and the other parts.
	stop := make(chan struct{})
	var wg sync.WaitGroup
	send := func(name string, every time.Duration, parts string) {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(every):
				}
				b, number := boxes[n%len(boxes)], n
				wg.Go(func() {
					r.do(&call{
						box: b, method: "POST", path: "/lohu930/2f", key: keyOfHule, body: fmt.Sprintf("prompt %s %d", name, number), deadline: 6 * time.Second, about: ", " + name,
						header: map[string]string{"Headhill-Model": "m", "Headhill-Token-Counts": "1460,20", "Headhill-Prefix-Hash": fmt.Sprintf("%s,%s%04x:250", parts, name[:1], number)},
					})
				})
			}
		})
	}
	send("ordinary", 150*time.Millisecond, firstParts)
	send("fatal", 700*time.Millisecond, firstParts+","+badPart+":100")
	time.Sleep(20 * time.Second)
	close(stop)
	wg.Wait()
	return r.judgeParts(servers)
}

// judgeParts applies the rule: once servers have crashed five times, no more than three requests with the part
// reach servers that are sent later than contact_ms after the fifth crash.
func (r *run) judgeParts(servers []*server) bool {
	var crashes []time.Time
	var fatal []arrival
	ordinary := 0
	for _, s := range servers {
		s.mu.Lock()
		crashes = append(crashes, s.crashes...)
		s.mu.Unlock()
		for _, a := range s.all() {
			if platformtest.HasPart(a.header, badPart) {
				fatal = append(fatal, a)
				continue
			}
			ordinary++
		}
	}
	sortTimes(crashes)
	if ordinary < 50 || len(fatal) < 3 {
		r.fail("too few requests reached servers: %d ordinary ones, %d with the part", ordinary, len(fatal))
	}
	r.note("%d crashes; %d requests with the part and %d others reached servers", len(crashes), len(fatal), ordinary)
	if len(crashes) < 5 {
		return false
	}
	late := 0
	for _, a := range fatal {
		if a.at.After(crashes[4].Add(contact)) {
			late++
			r.note("%s reached server %s %.1f s after the fifth crash", a.id, a.server, a.at.Sub(crashes[4]).Seconds())
		}
	}
	r.note("%d requests with the part reached servers later than contact_ms after the fifth crash; the rule allows 3", late)
	return late > 3
}
