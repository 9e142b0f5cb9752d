package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in of a backend server, written from PROTOCOL.md. It runs each request for some time and answers with the
// request's ID and its own stamp. A request for another instance gets 421 and is not run.
type server struct {
	id      string
	service string
	work    func() time.Duration
	// unframed answers have neither a length nor chunks and end with their connection.
	unframed bool
	// born is when the server started, in Unix milliseconds; 0 if it does not tell.
	born int64
	// extra reports whether an answer is sent a second time, at the place where the next answer should come.
	extra func() bool
	rec   *record
	l     net.Listener
	// answers and extras count what was sent.
	mu              sync.Mutex
	answers, extras int
	runs            map[string]int
}

func newServer(id, service string, rec *record) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unable("listen: %v", err)
	}
	return &server{id: id, service: service, rec: rec, l: l, runs: make(map[string]int), work: func() time.Duration { return 30 * time.Millisecond }, extra: func() bool { return false }}
}

func (s *server) address() string { return s.l.Addr().String() }

// entry is what the server writes to the store about itself.
func (s *server) entry(hall string) map[string]any {
	e := map[string]any{
		"service": s.service, "addr": s.address(), "zone": hall, "version": "v1", "slots": 64, "state": "ready", "cold_left_ms": 0, "seq": 1,
	}
	if s.born > 0 {
		e["born"] = s.born
	}
	return e
}

func (s *server) start() {
	go func() {
		for {
			c, err := s.l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
}

// serve answers the requests of a connection, one at a time.
func (s *server) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	late := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if late != "" {
			s.rec.add("server %s sends an answer a second time, before the next one on the connection, as %q arrives: %.60q", s.id, r.Method+" "+r.RequestURI+" "+r.Header.Get("Headhill-Attempt-Id"), late)
			if _, err := io.WriteString(c, late); err != nil {
				return
			}
			late = ""
		}
		answer, keep := s.answer(r)
		if _, err := io.WriteString(c, answer); err != nil || !keep {
			return
		}
		s.mu.Lock()
		s.answers++
		if s.extra() {
			s.extras++
			late = answer
		}
		s.mu.Unlock()
	}
}

// answer returns the answer to a request, and whether the connection stays open after it.
func (s *server) answer(r *http.Request) (text string, keep bool) {
	id := r.Header.Get("Headhill-Attempt-Id")
	repeated := ""
	if id != "" {
		repeated = "Headhill-Attempt-Id: " + id + "\r\n"
	}
	if want := r.Header.Get("Headhill-Expect-Instance"); want != "" && want != s.id {
		return "HTTP/1.1 421 Misdirected Request\r\n" + repeated + "Headhill-Instance-Id: " + s.id + "\r\nContent-Length: 0\r\n\r\n", true
	}
	if r.Method == http.MethodGet && r.URL.Path == "/report" {
		report := fmt.Sprintf(`{"born":%d,"stage":"unified","models":[{"name":"m","version":1,"adapters":[]}],"utilization":false,"seq":2,"queued":0,"running":1,"kv_used":41000,"kv_total":90000,"handles":0}`, s.born)
		return "HTTP/1.1 200 OK\r\n" + repeated + "Content-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(report)) + "\r\n\r\n" + report, true
	}
	if id == "" {
		return "HTTP/1.1 400 Bad Request\r\nHeadhill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", true
	}
	s.mu.Lock()
	s.runs[id]++
	n := s.runs[id]
	s.mu.Unlock()
	s.rec.add("server %s runs %s (%s %s)", s.id, id, r.Method, r.RequestURI)
	if n > 1 {
		s.rec.add("server %s runs %s for the second time", s.id, id)
	}
	time.Sleep(s.work())
	body := bodyFor(s.id, id)
	head := "HTTP/1.1 200 OK\r\n" + repeated + "Headhill-Server-Stamp: " + stampOf(s.id) + "\r\nContent-Type: text/plain\r\n"
	if s.unframed {
		return head + "\r\n" + body, false
	}
	return head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body, true
}

func bodyFor(server, id string) string { return "result of " + id + " by " + server + "\n" }

func stampOf(server string) string { return "stamp-of-" + server }

// counts returns how many answers were sent, and how many of them twice.
func (s *server) counts() (answers, extras int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answers, s.extras
}

// windows reports whether a time since the start lies in one of the windows of a disruption, each of which lasts for a time and
// begins a period after the one before.
type windows struct{ first, length, period time.Duration }

func (w windows) contains(at time.Duration) bool {
	return at >= w.first && (at-w.first)%w.period < w.length
}

// garble returns what makes a server send a share of its answers a second time within some windows.
func garble(w windows, share float64, start time.Time, rng *rand.Rand) func() bool {
	return func() bool { return w.contains(time.Since(start)) && rng.Float64() < share }
}
