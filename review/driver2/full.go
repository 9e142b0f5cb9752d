package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["full-of-kept-connections"] = fullOfKept }

const (
	// contactTime is contact_ms of the site, minTries the number of clients that try meanwhile.
	contactTime = 4 * time.Second
	minTries    = 7
	// restTime is how long a kept connection rests between two requests: less than four fifths of idle_timeout_ms, 20000.
	restTime = 10 * time.Second
)

// ask sends a request over an open connection, and returns the status of the answer.
func ask(c net.Conn, reader *bufio.Reader, id string) (int, error) {
	if err := c.SetDeadline(time.Now().Add(9 * time.Second)); err != nil {
		return 0, err
	}
	if _, err := io.WriteString(c, "GET /hoso/x HTTP/1.1\r\nHost: "+host+"\r\nHeadhill-Attempt-Id: "+id+"\r\nHeadhill-Deadline-Ms: 8000\r\nAuthorization: Bearer "+key+"\r\n\r\n"); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode, err
}

// fullOfKept: for some seconds most new connections come to one router, from clients that keep them and use them again and again.
func fullOfKept(rec *record) bool {
	const length = 60 * time.Second
	descriptors = 3075
	d := deploy(rec, "idempotent", false, 5, 1, func(s *server) { s.extra = func() bool { return false } })
	for _, s := range d.servers {
		s.mu.Lock()
		s.extra = func() bool { return false }
		s.mu.Unlock()
	}
	r := d.routers[0]
	clients := 300
	if *trouble {
		clients = 2000
	}
	end := rec.start.Add(length)
	var wg sync.WaitGroup
	var kept, closed, served atomic.Int64
	// The connections come within 8 s.
	for i := range clients {
		time.Sleep(4 * time.Millisecond)
		wg.Go(func() {
			c, err := net.Dial("tcp", r.front)
			if err != nil {
				closed.Add(1)
				return
			}
			defer c.Close()
			reader := bufio.NewReader(c)
			for n := 0; time.Now().Before(end); n++ {
				status, err := ask(c, reader, fmt.Sprintf("%08x%08x", i, n))
				if err != nil {
					closed.Add(1)
					return
				}
				if n == 0 {
					kept.Add(1)
				}
				if status == http.StatusOK {
					served.Add(1)
				}
				time.Sleep(restTime)
			}
		})
	}
	rec.add("%d connections are kept, %d were closed unread", kept.Load(), closed.Load())
	// Further clients try, each over a new connection.
	longest, tries, since := time.Duration(0), 0, time.Now()
	triesInLongest, taken, all := 0, 0, 0
	for time.Now().Before(end) {
		time.Sleep(200 * time.Millisecond)
		ready := false
		if resp, err := http.Get("http://" + r.ready + "/readyz"); err == nil {
			ready = resp.StatusCode == http.StatusOK
			_ = resp.Body.Close()
		}
		all++
		ok := false
		if c, err := net.DialTimeout("tcp", r.front, time.Second); err == nil {
			status, err := ask(c, bufio.NewReader(c), fmt.Sprintf("ffff%012x", all))
			ok = err == nil
			rec.add("a new client: status %d, error %v; the router says that it is ready: %t", status, err, ready)
			_ = c.Close()
		}
		if ok || !ready {
			if ok {
				taken++
			}
			tries, since = 0, time.Now()
			continue
		}
		tries++
		if span := time.Since(since); span > longest {
			longest, triesInLongest = span, tries
		}
	}
	wg.Wait()
	rec.add("%d connections kept, %d requests served on them; of %d new clients %d were taken; the longest time without one taken while the router was ready: %d ms, %d tries", kept.Load(), served.Load(), all, taken, longest.Milliseconds(), triesInLongest)
	return longest > contactTime && triesInLongest >= minTries
}
