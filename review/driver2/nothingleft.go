package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"headhill.example/headhill/platform/platformtest"
)

func init() { cases["last-streams"] = lastStreams }

// drainTime is drain_ms.
const drainTime = 2 * time.Second

// leaver is a stand-in of a model server whose streams have neither a length nor chunks. Once it has said that it is leaving, it ends
// drainTime later, or with its last stream if that is later.
type leaver struct {
	id   string
	born int64
	rec  *record
	l    net.Listener

	mu     sync.Mutex
	active int
	endAt  time.Time
	ended  bool
	gone   func()
	conns  map[net.Conn]bool
}

func newLeaver(id string, rec *record, gone func()) *leaver {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unable("listen: %v", err)
	}
	s := &leaver{id: id, born: time.Now().UnixMilli(), rec: rec, l: l, gone: gone, conns: make(map[net.Conn]bool)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *leaver) entry(state string) map[string]any {
	return map[string]any{"born": s.born, "service": "mohinh", "addr": s.l.Addr().String(), "zone": "caugiay", "version": "v1", "slots": 64, "state": state, "cold_left_ms": 0, "seq": 1}
}

// leave makes the server end once its time and its streams are over.
func (s *leaver) leave() {
	s.mu.Lock()
	s.endAt = time.Now().Add(drainTime)
	s.mu.Unlock()
	time.AfterFunc(drainTime, func() { s.endIfIdle(0) })
}

// endIfIdle ends the server if it is leaving and has no more than some streams.
func (s *leaver) endIfIdle(active int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.endAt.IsZero() || time.Now().Before(s.endAt) || s.active > active {
		return
	}
	s.ended = true
	s.rec.add("server %s ends", s.id)
	// The process ends: all that it has open is closed.
	_ = s.l.Close()
	for c := range s.conns {
		_ = c.Close()
	}
	go s.gone()
}

func (s *leaver) serve(c net.Conn) {
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil || !s.answer(c, r) {
			return
		}
	}
}

func (s *leaver) answer(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Headhill-Attempt-Id")
	repeated := "Headhill-Attempt-Id: " + id + "\r\n"
	if want := r.Header.Get("Headhill-Expect-Instance"); want != "" && want != s.id {
		_, err := io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\n"+repeated+"Headhill-Instance-Id: "+s.id+"\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	if r.URL.Path == "/report" {
		report := fmt.Sprintf(`{"born":%d,"stage":"unified","models":[{"name":"m","version":1,"adapters":[]}],"utilization":false,"seq":2,"queued":0,"running":1,"kv_used":41000,"kv_total":521945,"handles":0}`, s.born)
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "+strconv.Itoa(len(report))+"\r\n\r\n"+report)
		return err == nil
	}
	s.mu.Lock()
	s.active++
	s.mu.Unlock()
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.rec.add("server %s runs %s after event %d", s.id, id, after)
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+repeated+"Headhill-Server-Stamp: "+stampOf(s.id)+"\r\nContent-Type: text/event-stream\r\n\r\n")
	for n := after + 1; n <= events && err == nil; n++ {
		time.Sleep(eventInterval)
		_, err = fmt.Fprintf(c, "id: %d\ndata: piece %d\n\n", n, n)
	}
	// The last stream of a server that leaves ends with the process.
	s.endIfIdle(1)
	_ = c.Close()
	s.mu.Lock()
	s.active--
	s.mu.Unlock()
	return false
}

var eventID = regexp.MustCompile(`(?m)^id: (\d+)$`)

// take asks for a stream, or takes up the one that a request began, and returns the ID of its last event. whole is set if it ended
// in order.
func (c *callers) take(r *router, resumes string, after int) (id string, status, last int, whole bool) {
	c.mu.Lock()
	c.sent++
	id = fmt.Sprintf("%016x", c.sent)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 13*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.front+"/hoso/doc", strings.NewReader(`{}`))
	if err != nil {
		unable("request: %v", err)
	}
	req.Host, req.GetBody = host, nil
	req.Header.Set("Headhill-Attempt-Id", id)
	req.Header.Set("Headhill-Deadline-Ms", "12000")
	req.Header.Set("Headhill-Model", "m")
	req.Header.Set("Headhill-Token-Counts", "1460,120")
	req.Header.Set("Authorization", "Bearer "+key)
	if resumes != "" {
		req.Header.Set("Last-Event-Id", strconv.Itoa(after))
		req.Header.Set("Resumes", resumes)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		c.rec.add("client got for %s: error %v", id, err)
		return id, 0, after, false
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	last = after
	if resp.StatusCode == http.StatusOK {
		for _, m := range eventID.FindAllStringSubmatch(string(body), -1) {
			last, _ = strconv.Atoi(m[1])
		}
	}
	if resumes != "" || err != nil {
		c.rec.add("client got for %s at %s, which resumes %q after event %d: status %d, events up to %d, end: %v", id, r.name, resumes, after, resp.StatusCode, last, err)
	}
	return id, resp.StatusCode, last, err == nil
}

// lastStreams: the servers of a service are replaced one after the other. Clients take up the streams that are broken off.
func lastStreams(rec *record) bool {
	const length = 75 * time.Second
	store, c := platformtest.NewStore(), newCallers(rec)
	route := routeOf("streaming")
	route["resumable"], route["itl_target_ms"] = true, 1200
	store.Put("config", "main", map[string]any{
		"version": 3, "routes": []any{route},
		"services": []any{map[string]any{"name": "mohinh", "max_conns": 360, "engine": map[string]any{"kv_capacity": 521945}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []string{key}, "priority": 0}},
	})
	numbered := 0
	add := func() *leaver {
		numbered++
		id := fmt.Sprintf("i-7f3a91%02d", numbered)
		s := newLeaver(id, rec, func() { store.Remove("servers", id) })
		store.Put("servers", id, s.entry("ready"))
		rec.add("server %s starts", id)
		return s
	}
	var servers []*leaver
	for range 9 {
		servers = append(servers, add())
	}
	var routers []*router
	for i := range 3 {
		routers = append(routers, startRouter(fmt.Sprintf("edge-%d", i+1), store.Address()))
	}
	for _, r := range routers {
		r.awaitReady()
	}
	end := rec.start.Add(length)
	var wg sync.WaitGroup
	var begun, asked, takenUp, wentOn, nothingLeft atomic.Int64
	wg.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			wg.Go(func() {
				asked.Add(1)
				id, status, last, whole := c.take(routers[n%3], "", 0)
				if status == http.StatusOK {
					begun.Add(1)
				}
				if whole || status != http.StatusOK || last == 0 {
					return
				}
				// The client's one retry, at another machine.
				time.Sleep(200 * time.Millisecond)
				takenUp.Add(1)
				if last == events {
					nothingLeft.Add(1)
				}
				if _, status, _, _ := c.take(routers[(n+1)%3], id, last); status == http.StatusOK {
					wentOn.Add(1)
				}
			})
			time.Sleep(40 * time.Millisecond)
		}
	})
	// Releases of a little under half of the servers, one server each second.
	if *trouble {
		wg.Go(func() {
			time.Sleep(8 * time.Second)
			for time.Until(end) > 12*time.Second {
				for range 4 {
					old := servers[0]
					servers = append(servers[1:], add())
					time.Sleep(time.Second)
					rec.add("server %s says that it is leaving", old.id)
					store.Put("servers", old.id, old.entry("draining"))
					old.leave()
				}
				time.Sleep(6 * time.Second)
			}
		})
	}
	wg.Wait()
	rec.add("%d streams asked for, %d began; %d were broken off and taken up again, %d of these after the last of their %d events; %d went on", asked.Load(), begun.Load(), takenUp.Load(), nothingLeft.Load(), events, wentOn.Load())
	share := float64(begun.Load()) / float64(asked.Load())
	return takenUp.Load() >= 12 && float64(wentOn.Load())/float64(takenUp.Load()) < share/2
}
