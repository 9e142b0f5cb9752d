package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// call is a request of a client.
type call struct {
	box             *box
	method, path    string
	key             string
	body            string
	header          map[string]string
	deadline        time.Duration
	id              string
	about           string
	status          int
	answer          string
	stamp           string
	err             error
	sentAt, endedAt time.Time
}

var lastCall atomic.Int64

// newID returns an id for a client attempt.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastCall.Add(1)) }

// do sends a request on a new connection and reads the answer.
func (r *run) do(c *call) *call {
	if c.id == "" {
		c.id = newID()
	}
	if c.deadline == 0 {
		c.deadline = 2 * time.Second
	}
	c.sentAt = time.Now()
	c.err = c.exchange()
	c.endedAt = time.Now()
	r.note("client: %s %s to %s, id %s%s -> status %d, stamp %q, body %.60q, error %v, after %d ms",
		c.method, c.path, c.box.name, c.id, c.about, c.status, c.stamp, c.answer, c.err, c.endedAt.Sub(c.sentAt).Milliseconds())
	return c
}

func (c *call) exchange() error {
	conn, err := net.DialTimeout("tcp", c.box.caller, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(c.deadline))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: ficu95.example\r\nHeadhill-Attempt-Id: %s\r\nHeadhill-Deadline-Ms: %d\r\n", c.method, c.path, c.id, c.deadline.Milliseconds())
	if c.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", c.key)
	}
	for name, value := range c.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(c.body), c.body)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	c.status, c.stamp = resp.StatusCode, resp.Header.Get("Headhill-Server-Stamp")
	data, err := io.ReadAll(resp.Body)
	c.answer = string(data)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return err
}
