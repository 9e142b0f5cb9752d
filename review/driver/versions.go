package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// streamEvents is the number of events of a stream, eventPause the pause before each.
	streamEvents = 40
	eventPause   = 150 * time.Millisecond
	// streamDeadline is how long a client waits for a stream, over all its tries.
	streamDeadline = 12 * time.Second
	// maxTries is the number of tries of a client: the sheet gives one retry.
	maxTries = 2
	// tryPause is how long a client waits before its retry.
	tryPause = 2 * time.Second
	// releaseGap is the time between the two releases.
	releaseGap = time.Second
	// restartDelay is how long routers that were killed are away.
	restartDelay = 700 * time.Millisecond
)

// answerStream writes the events after Last-Event-Id, each with the version of the server.
func answerStream(s *server, c net.Conn, a arrival) bool {
	from, _ := strconv.Atoi(a.header.Get("Last-Event-Id"))
	s.run.note("server %s (version %s) runs %s from event %d on, sent by %s", a.server, s.version, a.id, from+1, a.from)
	if _, err := io.WriteString(c, answerHead(a)+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return false
	}
	for n := from + 1; n <= streamEvents; n++ {
		time.Sleep(eventPause)
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, s.version)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// stream is a stream of a client over all its tries.
type stream struct {
	number int
	// first is the id of the try that brought the first event, versions those of the servers of its events.
	first    string
	versions []string
	last     int
	done     bool
	tries    int
}

// streamConfig returns a configuration with a route of streams that may be resumed.
func streamConfig() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []any{map[string]any{"name": "ask", "host": "ficu95.example", "path_prefix": "/lohu930/", "route_kind": "streaming", "timeout_ms": streamDeadline.Milliseconds(), "slo_ms": 2500,
			"itl_target_ms": 1200, "priority": 0, "service": "model", "max_attempts": 2, "resumable": true, "sticky": true}},
		"services": []any{map[string]any{"name": "model", "max_conns": 360, "engine": map[string]any{"kv_capacity": 521945}}},
		"limits":   limits,
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []string{keyOfHule}, "priority": 0}},
	}
}

// playVersions replaces the servers of a service one after the other by ones of another software version, and kills
// all routers at the end of that. Clients take up the streams that broke off.
func playVersions(r *run) bool {
	f := r.fleet
	var old []*server
	for i := range 2 {
		old = append(old, r.startVersion(fmt.Sprintf("i-old-%d", i+1), "model", []string{"caugiay", "hoalac"}[i], "v1", answerStream))
	}
	f.configure(streamConfig())
	boxes := []*box{f.addBox("edge-caugiay-1", "caugiay"), f.addBox("edge-hoalac-1", "hoalac"), f.addBox("edge-caugiay-2", "caugiay")}
	f.awaitReady()
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	streams := make([]*stream, 12)
	for i := range streams {
		streams[i] = &stream{number: i}
		wg.Go(func() { r.followStream(streams[i], boxes, tryPause) })
	}
	// Two releases, each of one of the two servers: the new server starts first, the old one drains, serves on for
	// drain_ms and a little longer, and ends.
	zones := []string{"caugiay", "hoalac"}
	time.Sleep(500 * time.Millisecond)
	r.startVersion("i-new-1", "model", zones[0], "v2", answerStream)
	old[0].list("draining")
	time.Sleep(releaseGap)
	r.startVersion("i-new-2", "model", zones[1], "v2", answerStream)
	old[1].list("draining")
	time.Sleep(f.bounds.drain + 300*time.Millisecond - releaseGap)
	old[0].end()
	time.Sleep(releaseGap)
	if r.trouble {
		for _, b := range boxes {
			f.kill(b)
		}
	}
	old[1].end()
	if r.trouble {
		time.Sleep(restartDelay)
		for _, b := range boxes {
			f.start(b)
		}
	}
	wg.Wait()
	mixed, taken := 0, 0
	for _, s := range streams {
		if s.tries > 1 {
			taken++
		}
		r.note("stream %d: %d tries, complete %t, last event %d, versions of its events %v", s.number, s.tries, s.done, s.last, s.versions)
		if len(s.versions) > 1 {
			mixed++
		}
	}
	if taken < 3 && r.trouble {
		r.fail("too few streams broke off: %d", taken)
	}
	r.note("%d of %d streams hold events of two software versions; the rule allows 2", mixed, len(streams))
	return mixed > 2
}

// followStream sends a request for a stream, and takes the stream up after its last event if it breaks off.
func (r *run) followStream(s *stream, boxes []*box, pause time.Duration) {
	end := time.Now().Add(streamDeadline)
	for ; s.tries < maxTries && time.Until(end) > 0 && !s.done; s.tries++ {
		if s.tries > 0 {
			time.Sleep(pause)
		}
		b, id := boxes[(s.number+s.tries)%len(boxes)], newID()
		status, err := r.readStream(s, b, id, end)
		r.note("client: stream %d, try %d (%s) to %s -> status %d, events up to %d, error %v", s.number, s.tries+1, id, b.name, status, s.last, err)
	}
}

// readStream makes one try.
func (r *run) readStream(s *stream, b *box, id string, end time.Time) (status int, err error) {
	conn, err := net.DialTimeout("tcp", b.caller, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(end)
	var head strings.Builder
	fmt.Fprintf(&head, "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nHeadhill-Attempt-Id: %s\r\nHeadhill-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", id, time.Until(end).Milliseconds(), keyOfHule)
	fmt.Fprintf(&head, "Headhill-Model: m\r\nHeadhill-Token-Counts: 1460,160\r\nHeadhill-Prefix-Hash: 5c1e07a2:800,91bd3f06:410,e440%04x:250\r\n", s.number)
	if s.last > 0 {
		fmt.Fprintf(&head, "Last-Event-Id: %d\r\nResumes: %s\r\n", s.last, s.first)
	}
	body := fmt.Sprintf("prompt %d", s.number)
	if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head.String(), len(body), body); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, nil
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if n, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			s.last, _ = strconv.Atoi(n)
			if s.first == "" {
				s.first = id
			}
		}
		if _, version, ok := strings.Cut(lines.Text(), " of "); ok && !slices.Contains(s.versions, version) {
			s.versions = append(s.versions, version)
		}
	}
	s.done = lines.Err() == nil && s.last == streamEvents
	return resp.StatusCode, lines.Err()
}
