package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	host = "hoso.example"
	key  = "n2ctnfzs989anu6wsjnb"
)

// answerSeen is what a client got for a request.
type answerSeen struct {
	id     string
	status int
	stamp  string
	body   string
	err    error
}

// callers sends requests, each with an ID of its own, and keeps what came back. No request is repeated.
type callers struct {
	client *http.Client
	rec    *record
	mu     sync.Mutex
	seen   []answerSeen
	sent   int
}

func newCallers(rec *record) *callers {
	return &callers{rec: rec, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 4 * time.Second, DisableCompression: true}}}
}

// send sends one request to a router and waits for the answer.
func (c *callers) send(r *router, path string, deadline time.Duration) {
	c.mu.Lock()
	c.sent++
	id := fmt.Sprintf("%016x", c.sent)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.front+path, strings.NewReader("text of "+id))
	if err != nil {
		unable("request: %v", err)
	}
	req.Host = host
	// net/http must not send the request again by itself.
	req.GetBody = nil
	req.Header.Set("Headhill-Attempt-Id", id)
	req.Header.Set("Headhill-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Headhill-Model", "m")
	req.Header.Set("Headhill-Token-Counts", "1460,80")
	req.Header.Set("Authorization", "Bearer "+key)
	c.rec.add("client sends %s to %s: POST %s", id, r.name, path)
	got := answerSeen{id: id}
	resp, err := c.client.Do(req)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		got.status, got.stamp, got.body = resp.StatusCode, resp.Header.Get("Headhill-Server-Stamp"), string(body)
	}
	got.err = err
	c.rec.add("client got for %s: status %d, stamp %q, body %.100q, error %v", id, got.status, got.stamp, got.body, err)
	c.mu.Lock()
	c.seen = append(c.seen, got)
	c.mu.Unlock()
}

func (c *callers) all() []answerSeen {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]answerSeen(nil), c.seen...)
}
