package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"headhill.example/headhill/platform/platformtest"
)

func init() { cases["stream-without-memory"] = streamWithoutMemory }

const (
	events        = 30
	eventInterval = 100 * time.Millisecond
	// greyShare is the part of its requests that a grey server fails, with status 500.
	greyShare = 0.45
	// crashTime is how long a server is down after a crash.
	crashTime = 4500 * time.Millisecond
)

// engine is a stand-in of a model server: it answers with a stream of events, from the one after Last-Event-Id on.
type engine struct {
	id   string
	rec  *record
	addr string
	grey atomic.Bool
	rng  func() float64

	mu    sync.Mutex
	l     net.Listener
	conns map[net.Conn]bool
}

func newEngine(id string, rec *record, rng func() float64) *engine {
	e := &engine{id: id, rec: rec, rng: rng, addr: freeAddress(), conns: make(map[net.Conn]bool)}
	e.listen()
	return e
}

func (e *engine) entry() map[string]any {
	return map[string]any{"service": "mohinh", "addr": e.addr, "zone": "caugiay", "version": "v1", "slots": 64, "state": "ready", "cold_left_ms": 0, "seq": 1}
}

func (e *engine) listen() {
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		unable("listen: %v", err)
	}
	e.mu.Lock()
	e.l = l
	e.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[c] = true
			e.mu.Unlock()
			go e.serve(c)
		}
	}()
}

// crash resets all connections and refuses further ones until the server is back.
func (e *engine) crash(down time.Duration) {
	e.rec.add("server %s crashes", e.id)
	e.mu.Lock()
	_ = e.l.Close()
	for c := range e.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	clear(e.conns)
	e.mu.Unlock()
	time.AfterFunc(down, func() {
		e.rec.add("server %s is back", e.id)
		e.listen()
	})
}

func (e *engine) serve(c net.Conn) {
	defer func() {
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil || !e.answer(c, r) {
			return
		}
	}
}

func (e *engine) answer(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Headhill-Attempt-Id")
	repeated := "Headhill-Attempt-Id: " + id + "\r\n"
	if want := r.Header.Get("Headhill-Expect-Instance"); want != "" && want != e.id {
		_, err := io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\n"+repeated+"Headhill-Instance-Id: "+e.id+"\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	if r.URL.Path == "/report" {
		report := `{"stage":"unified","models":[{"name":"m","version":1,"adapters":[]}],"utilization":false,"seq":2,"queued":0,"running":1,"kv_used":41000,"kv_total":521945,"handles":0}`
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "+strconv.Itoa(len(report))+"\r\n\r\n"+report)
		return err == nil
	}
	head := repeated + "Headhill-Server-Stamp: " + stampOf(e.id) + "\r\n"
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if e.grey.Load() && e.rng() < greyShare {
		e.rec.add("server %s runs %s after event %d and fails with 500", e.id, id, after)
		text := "internal failure of " + e.id + "\n"
		_, err := io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\n"+head+"Content-Type: text/plain\r\nContent-Length: "+strconv.Itoa(len(text))+"\r\n\r\n"+text)
		return err == nil
	}
	e.rec.add("server %s runs %s after event %d", e.id, id, after)
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return false
	}
	for n := after + 1; n <= events; n++ {
		time.Sleep(eventInterval)
		event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// stream sends a request for a stream, and judges what came. It returns what is wrong with a stream that ended as complete.
func (c *callers) stream(r *router) (complete bool, wrong string) {
	c.mu.Lock()
	c.sent++
	id := fmt.Sprintf("%016x", c.sent)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 13*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.front+"/hoso/doc", strings.NewReader(`{"doc":"`+id+`"}`))
	if err != nil {
		unable("request: %v", err)
	}
	req.Host, req.GetBody = host, nil
	req.Header.Set("Headhill-Attempt-Id", id)
	req.Header.Set("Headhill-Deadline-Ms", "12000")
	req.Header.Set("Headhill-Model", "m")
	req.Header.Set("Headhill-Token-Counts", "1460,120")
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := c.client.Do(req)
	if err != nil {
		c.rec.add("client got for stream %s: error %v", id, err)
		return false, ""
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		c.rec.add("client got for stream %s: status %d", id, resp.StatusCode)
		return false, ""
	}
	if err != nil {
		c.rec.add("client got for stream %s: %d bytes, then its end without completion: %v", id, len(body), err)
		return false, ""
	}
	var want strings.Builder
	for n := range events {
		fmt.Fprintf(&want, "id: %d\ndata: piece %d\n\n", n+1, n+1)
	}
	if string(body) == want.String() {
		return true, ""
	}
	wrong = fmt.Sprintf("stream %s ended as complete, and is not: its last bytes are %q", id, body[max(0, len(body)-90):])
	c.rec.add("ORDER: %s", wrong)
	return true, wrong
}

// upload sends a document that the service takes some seconds for.
func (c *callers) upload(r *router, size int) int {
	c.mu.Lock()
	c.sent++
	id := fmt.Sprintf("%016x", c.sent)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 13*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.front+"/luutru/doc", io.LimitReader(zeros{}, int64(size)))
	if err != nil {
		unable("request: %v", err)
	}
	req.Host, req.ContentLength = host, int64(size)
	req.Header.Set("Headhill-Attempt-Id", id)
	req.Header.Set("Headhill-Deadline-Ms", "12000")
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := c.client.Do(req)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = '0'
	}
	return len(p), nil
}

// streamWithoutMemory: a server crashes, and another one fails part of its requests, while documents that are being uploaded fill
// the memory that the router sets apart for its callers.
func streamWithoutMemory(rec *record) bool {
	const length = 95 * time.Second
	store, c := platformtest.NewStore(), newCallers(rec)
	rng := rand.New(rand.NewPCG(*seed, 5))
	var rngMu sync.Mutex
	draw := func() float64 {
		rngMu.Lock()
		defer rngMu.Unlock()
		return rng.Float64()
	}
	hoso, luutru := routeOf("streaming"), routeOf("non_idempotent")
	hoso["resumable"], hoso["itl_target_ms"] = true, 1200
	luutru["name"], luutru["path_prefix"], luutru["service"] = "luutru", "/luutru/", "luutru"
	store.Put("config", "main", map[string]any{
		"version": 3, "routes": []any{hoso, luutru},
		"services": []any{
			map[string]any{"name": "mohinh", "max_conns": 360, "engine": map[string]any{"kv_capacity": 521945}},
			map[string]any{"name": "luutru", "max_conns": 360},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{key}, "priority": 0}},
	})
	var engines []*engine
	for i := range 8 {
		e := newEngine(fmt.Sprintf("i-7f3a91c%d", i), rec, draw)
		engines = append(engines, e)
		store.Put("servers", e.id, e.entry())
	}
	for i := range 2 {
		s := newServer(fmt.Sprintf("i-02d9e6b%d", i), "luutru", rec)
		s.work = func() time.Duration { return 9 * time.Second }
		s.start()
		store.Put("servers", s.id, s.entry("caugiay"))
	}
	memoryMB = 134
	r := startRouter("edge-1", store.Address())
	r.awaitReady()
	var wg sync.WaitGroup
	end := rec.start.Add(length)
	var taken, refused, streams, complete, wrong atomic.Int64
	every := func(interval time.Duration, call func()) {
		wg.Go(func() {
			for time.Now().Before(end) {
				wg.Go(call)
				time.Sleep(interval)
			}
		})
	}
	// The documents have 300 bytes to 4 MB, the longest that the configuration allows.
	every(15*time.Millisecond, func() {
		if time.Until(end) < 10*time.Second {
			return
		}
		switch c.upload(r, int(300*math.Exp(draw()*math.Log(4194304.0/300)))) {
		case http.StatusOK:
			taken.Add(1)
		case http.StatusServiceUnavailable:
			refused.Add(1)
		}
	})
	every(25*time.Millisecond, func() {
		streams.Add(1)
		done, fault := c.stream(r)
		if done {
			complete.Add(1)
		}
		if fault != "" {
			wrong.Add(1)
		}
	})
	if *trouble {
		wg.Go(func() {
			time.Sleep(8 * time.Second)
			for n := 0; time.Until(end) > 12*time.Second; n++ {
				grey, crashing := engines[n%8], engines[(n+3)%8]
				rec.add("server %s fails %g of its requests for 6.5 s", grey.id, greyShare)
				grey.grey.Store(true)
				time.Sleep(1500 * time.Millisecond)
				crashing.crash(crashTime)
				time.Sleep(5 * time.Second)
				grey.grey.Store(false)
			}
		})
	}
	wg.Wait()
	rec.add("%d streams, %d ended as complete, %d of these wrongly; %d documents taken, %d refused", streams.Load(), complete.Load(), wrong.Load(), taken.Load(), refused.Load())
	return wrong.Load() > 0
}
