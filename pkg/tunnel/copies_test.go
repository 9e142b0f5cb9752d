package tunnel

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/upstream"
)

// relayDialer opens all connections by way of a relay.
type relayDialer struct{ relay string }

func (d relayDialer) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	return Dial(ctx, d.relay, address)
}
func (relayDialer) Probe(context.Context, string, string) upstream.State {
	return upstream.StateUnknown
}
func (relayDialer) AwaitsResponse(string, string, time.Time) {}

// serveRepeating answers the requests of a connection, and sends a second copy of each response once the next request arrives.
// The ID is left out of responses to requests with the header Omit.
func serveRepeating(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for copied := ""; ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := "Id: " + r.Header.Get("Id") + "\r\n"
		if r.Header.Get("Omit") != "" {
			id = ""
		}
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", id, len(r.RequestURI), r.RequestURI)
		if _, err := io.WriteString(c, copied+response); err != nil {
			return
		}
		copied = response
	}
}

// Guards against a second copy of a response that is taken for the next one over a connection that leads through another box.
func TestSecondCopyThroughRelayIsSkipped(t *testing.T) {
	r := newRelay(t, nil)
	go func() {
		for c := range r.accepted {
			go serveRepeating(c)
		}
	}()
	client := upstream.NewClientWithDialer(relayDialer{r.address}, "Id")
	for n := range 12 {
		target := fmt.Sprint("/", n)
		header := http.Header{"Id": {target}}
		if n%3 == 2 {
			header.Set("Omit", "yes")
		}
		resp, err := client.Do(t.Context(), upstream.Request{ServerKey: "s", Address: r.server, Method: http.MethodGet, Target: target, Host: "s", Header: header})
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		assert.Equal(t, target, string(body))
		resp.Close()
	}
	assert.Equal(t, int64(8), client.ResponseIdentities()["own"])
	assert.Equal(t, int64(8), client.ResponseIdentities()["other"])
}
