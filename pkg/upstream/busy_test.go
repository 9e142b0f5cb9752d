package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/clock"
)

// Only a connection that was opened before and over which a request was answered that was sent since shows that a process has run all
// the time.
func TestConnectionsThatCarryBytes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	send := make(chan string)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for range 2 {
			_, _ = http.ReadRequest(reader)
			for text := range send {
				_, _ = io.WriteString(conn, text)
				if text == "z" {
					break
				}
			}
		}
	}()
	client := NewClient(time.Second)
	before := clock.Now()
	do := func() *Response {
		go func() { send <- "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n" }()
		resp, err := client.Do(context.Background(), Request{ServerKey: "a", Address: listener.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h"})
		require.NoError(t, err)
		return resp
	}
	resp := do()
	opened := clock.Now()
	assert.Equal(t, 1, client.InUse("a"))
	assert.WithinRange(t, resp.ConnOpened, before, opened)
	assert.True(t, client.Carries("a", opened, before))
	assert.False(t, client.Carries("b", opened, before), "another server")
	assert.False(t, client.Carries("a", before, before), "opened since")
	assert.False(t, client.Carries("a", opened, opened), "no bytes since")
	receive := func(text string) {
		time.Sleep(100 * time.Millisecond)
		send <- text
		_, err = io.ReadFull(resp.Body, make([]byte, 1))
		require.NoError(t, err)
	}
	receive("x")
	assert.False(t, client.Carries("a", opened, opened), "the byte may have been written at any time before")
	receive("y")
	assert.False(t, client.Carries("a", opened, opened), "a silence before it doesn't tell where it waited")
	send <- "z"
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	resp.Close()
	assert.Zero(t, client.InUse("a"))
	assert.False(t, client.Carries("a", opened, opened), "idle")
	between := clock.Now()
	resp = do()
	assert.True(t, client.Carries("a", opened, opened), "a request that was sent since is answered")
	assert.False(t, client.Carries("a", opened, clock.Now()), "sent before")
	assert.True(t, client.Carries("a", opened, between.Add(-time.Nanosecond)))
	resp.Close()
	close(send)
}
