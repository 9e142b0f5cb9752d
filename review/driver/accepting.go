package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// cutTime is how long some machines are partitioned from all servers.
const cutTime = 10 * time.Second

// path is what lies between the machines and a server. It accepts all connections, and resets those of machines that
// are partitioned from the servers.
type path struct {
	run      *run
	listener net.Listener
	server   string

	mu sync.Mutex
	// cut holds the names of the machines that are partitioned, conns the open connections by machine.
	cut   map[string]bool
	conns map[net.Conn]string
}

func (r *run) newPath(server string) *path {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.fail("path: %v", err)
	}
	p := &path{run: r, listener: l, server: server, cut: make(map[string]bool), conns: make(map[net.Conn]string)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.carry(c)
		}
	}()
	return p
}

func (p *path) carry(c net.Conn) {
	machine := p.run.ownerOf(c.RemoteAddr())
	p.mu.Lock()
	isCut := p.cut[machine]
	p.conns[c] = machine
	p.mu.Unlock()
	defer func() {
		c.Close()
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
	}()
	if isCut {
		resetConn(c)
		return
	}
	s, err := net.Dial("tcp", p.server)
	if err != nil {
		resetConn(c)
		return
	}
	defer s.Close()
	go func() {
		_, _ = io.Copy(s, c)
		s.Close()
	}()
	_, _ = io.Copy(c, s)
}

// setCut partitions machines from the server, and resets their connections.
func (p *path) setCut(machines ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = make(map[string]bool)
	for _, m := range machines {
		p.cut[m] = true
	}
	for c, machine := range p.conns {
		if p.cut[machine] {
			resetConn(c)
		}
	}
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// playAccepting partitions three of five machines from all servers: their connections to them are reset.
func playAccepting(r *run) bool {
	f := r.fleet
	answer := func(s *server, c net.Conn, a arrival) bool {
		time.Sleep(30 * time.Millisecond)
		return answerPlainly(s, c, a)
	}
	var paths []*path
	for i, name := range []string{"i-1", "i-2", "i-3", "i-4"} {
		s := r.startServer(name, "app", []string{"caugiay", "hoalac"}[i%2], answer)
		p := r.newPath(s.address)
		s.mu.Lock()
		s.listedAs = p.listener.Addr().String()
		s.mu.Unlock()
		s.list("ready")
		paths = append(paths, p)
	}
	f.configure(map[string]any{
		"version": 3,
		"routes": []any{
			map[string]any{"name": "notice", "host": "ficu95.example", "path_prefix": "/notice/", "route_kind": "idempotent", "timeout_ms": 1000, "slo_ms": 150, "priority": 1, "service": "app", "max_attempts": 2},
			map[string]any{"name": "lookup", "host": "ficu95.example", "path_prefix": "/lookup/", "route_kind": "non_idempotent", "timeout_ms": 1000, "slo_ms": 150, "priority": 1, "service": "app", "max_attempts": 1},
		},
		"services": []any{map[string]any{"name": "app", "max_conns": 100}},
		"limits":   limits,
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []string{keyOfHule}, "priority": 0}},
	})
	var boxes []*box
	for i, name := range []string{"edge-caugiay-1", "edge-hoalac-1", "edge-caugiay-2", "edge-hoalac-2", "edge-caugiay-3"} {
		boxes = append(boxes, f.addBox(name, []string{"caugiay", "hoalac"}[i%2]))
	}
	f.awaitReady()
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var calls []*call
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(40 * time.Millisecond):
			}
			wg.Go(func() {
				c := &call{box: boxes[n%len(boxes)], method: "GET", path: "/notice/7", key: keyOfHule, deadline: time.Second}
				if n/len(boxes)%2 == 1 {
					c.method, c.path, c.body = "POST", "/lookup/7", "x"
				}
				r.do(c)
				mu.Lock()
				defer mu.Unlock()
				calls = append(calls, c)
			})
		}
	})
	time.Sleep(3 * time.Second)
	cut := make(map[*box]bool)
	began := time.Now()
	if r.trouble {
		for _, b := range boxes[:3] {
			cut[b] = true
		}
		for _, p := range paths {
			p.setCut(boxes[0].name, boxes[1].name, boxes[2].name)
		}
		r.note("%s, %s and %s are partitioned from all servers", boxes[0].name, boxes[1].name, boxes[2].name)
	}
	time.Sleep(cutTime)
	healed := time.Now()
	for _, p := range paths {
		p.setCut()
	}
	r.note("the partition ends")
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	return r.judgeAccepting(calls, cut, began.Add(contact), healed)
}

// judgeAccepting applies the rule to the first tries of clients between two times.
func (r *run) judgeAccepting(calls []*call, cut map[*box]bool, from, to time.Time) bool {
	sent, served := map[bool]int{}, map[bool]int{}
	for _, c := range calls {
		if c.sentAt.Before(from) || c.endedAt.After(to) {
			continue
		}
		sent[cut[c.box]]++
		if c.status == 200 && c.stamp != "" {
			served[cut[c.box]]++
		}
	}
	if sent[false] < 30 {
		r.fail("too few requests were sent")
	}
	r.note("from contact_ms after the cut on: partitioned machines served %d of %d requests at the first attempt, the others %d of %d", served[true], sent[true], served[false], sent[false])
	if sent[true] == 0 {
		return float64(served[false])/float64(sent[false]) < 0.9
	}
	failed := sent[true] - served[true]
	rate, others := float64(served[true])/float64(sent[true]), float64(served[false])/float64(sent[false])
	return rate < others*2/3 && failed > 10+sent[true]/50
}
