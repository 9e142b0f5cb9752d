package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// arrival is a request that reached a server.
type arrival struct {
	id, server, path string
	// from is the router process whose connection carried it, "" if it is none of them.
	from   string
	at     time.Time
	header http.Header
	body   string
}

// server is a stand-in of a backend server.
type server struct {
	run     *run
	service string
	zone    string
	version string
	// coldUntil is the end of the time for which the server is cold.
	coldUntil time.Time
	// answer writes the answer to a request that this incarnation runs. It returns false if the connection ends.
	answer func(s *server, c net.Conn, a arrival) bool

	mu      sync.Mutex
	id      string
	lives   int
	address string
	// listedAs is the address of the entry if it is not that of the server, but of a proxy before it.
	listedAs string
	listener net.Listener
	conns    map[net.Conn]bool
	arrivals []arrival
	crashes  []time.Time
	// down is set while the server is away after a crash.
	down bool
	// healthCalls counts the calls of the health check.
	healthCalls int
	// paused is closed when the server accepts connections again; nil while it does.
	paused chan struct{}
}

// startServer starts a server and lists it in the store.
func (r *run) startServer(name, service, zone string, answer func(*server, net.Conn, arrival) bool) *server {
	return r.startVersion(name, service, zone, "v1", answer)
}

// startVersion starts a server with a version of its software.
func (r *run) startVersion(name, service, zone, version string, answer func(*server, net.Conn, arrival) bool) *server {
	s := &server{run: r, service: service, zone: zone, version: version, answer: answer, id: name, address: "127.0.0.1:0", conns: make(map[net.Conn]bool)}
	if err := s.listen(); err != nil {
		r.fail("server %s: %v", name, err)
	}
	return s
}

func (s *server) listen() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listener, s.address = l, l.Addr().String()
	s.down = false
	s.lives++
	if s.lives > 1 {
		s.id = fmt.Sprintf("%s-%d", strings.SplitN(s.id, "-life", 2)[0]+"-life", s.lives)
	}
	id := s.id
	s.mu.Unlock()
	go s.accept(l, id)
	s.list("ready")
	return nil
}

// list writes the entry of the server with a state.
func (s *server) list(state string) {
	s.run.fleet.awaitStore()
	s.run.fleet.store.Put("servers", s.id, map[string]any{
		"service": s.service, "addr": cmp.Or(s.listedAs, s.address), "zone": s.zone, "version": s.version, "slots": 16, "state": state, "cold_left_ms": max(0, time.Until(s.coldUntil)).Milliseconds(), "seq": 1,
	})
	s.run.note("server %s (%s, version %s) is listed as %s", s.id, s.service, s.version, state)
}

// end ends a server for good, and removes its entry.
func (s *server) end() {
	s.mu.Lock()
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.run.fleet.awaitStore()
	s.run.fleet.store.Remove("servers", s.id)
	s.run.note("server %s has left", s.id)
}

func (s *server) accept(l net.Listener, id string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		paused := s.paused
		s.conns[c] = true
		s.mu.Unlock()
		if paused != nil {
			<-paused
		}
		go s.serve(c, id)
	}
}

func (s *server) serve(c net.Conn, id string) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		// An idle connection is closed after the time that Keep-Alive gives.
		_ = c.SetReadDeadline(time.Now().Add(idleSeconds * time.Second))
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		a := arrival{id: req.Header.Get("Headhill-Attempt-Id"), server: id, path: req.URL.Path, at: time.Now(), header: req.Header, body: string(body), from: s.run.ownerOf(c.RemoteAddr())}
		if want := req.Header.Get("Headhill-Expect-Instance"); want != "" && want != id {
			s.run.note("server %s: %s expects %s, answered 421", id, a.id, want)
			if _, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nHeadhill-Attempt-Id: %s\r\nHeadhill-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", a.id, id); err != nil {
				return
			}
			continue
		}
		if req.Method == http.MethodGet && req.URL.Path == healthPath {
			if !s.answerHealth(c, id) {
				return
			}
			continue
		}
		s.mu.Lock()
		s.arrivals = append(s.arrivals, a)
		s.mu.Unlock()
		if !s.answer(s, c, a) {
			return
		}
	}
}

// healthPath is the path of the health check.
const healthPath = "/healthz"

// answerHealth answers the health check, with the time for which the server is still cold.
func (s *server) answerHealth(c net.Conn, id string) bool {
	s.mu.Lock()
	s.healthCalls++
	left := max(0, time.Until(s.coldUntil))
	s.mu.Unlock()
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nHeadhill-Instance-Id: %s\r\nHeadhill-Cold-Ms: %d\r\nContent-Length: 0\r\n\r\n", id, left.Milliseconds())
	return err == nil
}

// idleSeconds is how long the servers keep idle connections.
const idleSeconds = 1

// answerHead returns the head of a success without the fields that frame its body.
func answerHead(a arrival) string {
	return "HTTP/1.1 200 OK\r\nHeadhill-Attempt-Id: " + a.id + "\r\nHeadhill-Server-Stamp: " + stampOf(a) + "\r\nKeep-Alive: timeout=" + strconv.Itoa(idleSeconds) + "\r\n"
}

func stampOf(a arrival) string { return "stamp." + a.server + "." + a.id }

// answerPlainly answers a request with a short body and its length.
func answerPlainly(_ *server, c net.Conn, a arrival) bool {
	text := "answer to " + a.id
	_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", answerHead(a), len(text), text)
	return err == nil
}

// crash ends the server as the end of its process does: the listener and all connections are closed. It is back
// after some time as a new incarnation at the same address. A server that crashes says nothing to the store; its
// entry goes when the next incarnation comes.
func (s *server) crash(back time.Duration) {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return
	}
	id := s.id
	s.down = true
	s.crashes = append(s.crashes, time.Now())
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.run.note("server %s crashes", id)
	time.AfterFunc(back, func() {
		s.run.fleet.awaitStore()
		s.run.fleet.store.Remove("servers", id)
		for range 50 {
			if err := s.listen(); err == nil {
				s.run.note("server %s is back as %s", id, s.id)
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
		s.run.note("server %s could not start again", id)
	})
}

func (s *server) all() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

// fillQueue makes the server accept no connections and opens some until its queue of new connections is full,
// so that the opening packet of the next one is dropped. The return value makes it go on.
func (s *server) fillQueue(backlog int) (resume func()) {
	raw, err := s.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		s.run.fail("server %s: %v", s.id, err)
	}
	if err := raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), backlog) }); err != nil {
		s.run.fail("server %s: %v", s.id, err)
	}
	paused := make(chan struct{})
	s.mu.Lock()
	s.paused = paused
	s.mu.Unlock()
	var open []net.Conn
	for range backlog + 8 {
		ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", s.address)
		cancel()
		if err != nil {
			return func() {
				s.mu.Lock()
				s.paused = nil
				s.mu.Unlock()
				close(paused)
				for _, c := range open {
					_ = c.Close()
				}
			}
		}
		open = append(open, c)
	}
	s.run.fail("the queue of server %s does not fill", s.id)
	return nil
}

// ownerOf returns the name of the router whose process has the socket with an address, "" if none has.
func (r *run) ownerOf(a net.Addr) string {
	tcp, ok := a.(*net.TCPAddr)
	if !ok {
		return ""
	}
	inode := inodeOf(tcp.Port)
	if inode == "" {
		return ""
	}
	r.fleet.mu.Lock()
	boxes := append([]*box(nil), r.fleet.boxes...)
	r.fleet.mu.Unlock()
	for _, b := range boxes {
		dir := fmt.Sprintf("/proc/%d/fd", b.cmd.Process.Pid)
		entries, err := os.ReadDir(dir)
		if err != nil {
			continue
		}
		for _, e := range entries {
			if target, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && target == "socket:["+inode+"]" {
				return b.name
			}
		}
	}
	return ""
}

// inodeOf returns the inode of the connected TCP socket with a local port.
func inodeOf(port int) string {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 10 || !strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", port)) || fields[3] == "0A" {
			continue
		}
		if fields[9] != "0" {
			return fields[9]
		}
	}
	return ""
}
