package objectstore

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/callrate"
)

// slowTransport responds with a list whose bytes arrive one at a time.
type slowTransport struct {
	list  string
	pause time.Duration
}

func (s slowTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: &slowBody{ctx: r.Context(), left: s.list, pause: s.pause}}, nil
}

type slowBody struct {
	ctx   context.Context
	left  string
	pause time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == "" {
		return 0, io.EOF
	}
	select {
	case <-b.ctx.Done():
		return 0, context.Cause(b.ctx)
	case <-time.After(b.pause):
	}
	p[0], b.left = b.left[0], b.left[1:]
	return 1, nil
}

func (b *slowBody) Close() error { return nil }

// listWithPause calls List over a transport that pauses before each byte.
func listWithPause(t *testing.T, pause time.Duration) (entries []ObjectInfo, err error) {
	synctest.Test(t, func(*testing.T) {
		list := "[" + strings.Repeat(" ", 50) + "]"
		c := NewClientWithTransport(slowTransport{list: list, pause: pause}, "http://platform.example", "", callrate.DefaultBudget)
		entries, err = c.List(context.Background(), "prefix")
	})
	return entries, err
}

// A response that keeps arriving may take longer than callTimeout in total.
func TestAnswerThatKeepsComingIsRead(t *testing.T) {
	entries, err := listWithPause(t, 100*time.Millisecond)
	require.NoError(t, err)
	assert.Empty(t, entries)
}

// Guards against a value that was cut off with its connection and is taken for a shorter one.
func TestValueThatEndsWithItsConnectionIsNotRead(t *testing.T) {
	for name, c := range map[string]struct {
		framing string
		ok      bool
	}{"close": {"", false}, "length": {"Content-Length: 5\r\n", true}} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+c.framing+"ETag: \"3\"\r\n\r\nvalue")
				conn.Close()
			}))
			defer s.Close()
			o, err := NewClient(s.URL, "", callrate.DefaultBudget).Get(t.Context(), "key")
			if c.ok {
				require.NoError(t, err)
				assert.Equal(t, "value", string(o.Value))
				return
			}
			var unavailable *UnavailableError
			assert.ErrorAs(t, err, &unavailable)
		})
	}
}

func TestStalledResponseTimesOut(t *testing.T) {
	_, err := listWithPause(t, 2*callTimeout)
	var unavailable *UnavailableError
	assert.ErrorAs(t, err, &unavailable)
}
