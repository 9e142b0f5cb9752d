package localfleet

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc/pool"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/api"
	"headhill.example/headhill/pkg/standin/engine"
)

// testWriter discards what a killed box logs after its test has ended.
type testWriter struct {
	mu     sync.Mutex
	w      io.Writer
	closed bool
}

func (w *testWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(p), nil
	}
	return w.w.Write(p)
}

func (w *testWriter) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
}

// withFleet runs fn with a fleet that is ready.
func withFleet(t *testing.T, change func(*Options), fn func(ctx context.Context, f *Fleet)) {
	t.Helper()
	o := DefaultOptions()
	w := &testWriter{w: t.Output()}
	t.Cleanup(w.close)
	o.Log = w
	o.LogLevel = "warn"
	if change != nil {
		change(&o)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	f, err := Start(ctx, o)
	require.NoError(t, err)
	defer f.Close()
	fn(ctx, f)
}

func TestStreamedResponseIsComplete(t *testing.T) {
	withFleet(t, nil, func(ctx context.Context, f *Fleet) {
		for i := range f.Boxes {
			content := fmt.Sprintf("caller at box %d", i)
			resp, err := Chat(ctx, f.CallerURL(i), content, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, resp.Status, resp.Text)
			require.True(t, resp.Complete)
			require.Equal(t, api.OutcomeDone, resp.Outcome)
			n := strings.Count(resp.Text, " ")
			require.Equal(t, strings.Join(engine.Answer(content, n), ""), resp.Text)
		}
	})
}

func TestPlainCallRunsOnce(t *testing.T) {
	withFleet(t, nil, func(ctx context.Context, f *Fleet) {
		h := http.Header{api.HeaderIdempotencyKey: {"call-1"}}
		resp, err := Call(ctx, f.CallerURL(0), "/activate?x=1", []byte("paper"), h)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.Status, resp.Text)
		require.Equal(t, "POST /activate?x=1 paper", resp.Text)
		require.Equal(t, 1, f.Service.Runs("call-1"))
		again, err := Call(ctx, f.CallerURL(1), "/activate?x=1", []byte("paper"), h)
		require.NoError(t, err)
		require.Equal(t, http.StatusConflict, again.Status)
		require.Equal(t, 1, f.Service.Runs("call-1"))
	})
}

func TestConcurrentCallersGetTheirOwnResponses(t *testing.T) {
	wide := func(o *Options) { o.Boxes, o.Slots, o.Engine.MaxBatch = 3, 128, 128 }
	withFleet(t, wide, func(ctx context.Context, f *Fleet) {
		p := pool.New().WithErrors()
		// On a busy machine the race detector makes 1000 calls take longer than the deadline of the default class.
		longDeadline := http.Header{api.HeaderClass: {"batch"}}
		for i := range 1000 {
			p.Go(func() error {
				content := fmt.Sprintf("caller-%d", i)
				resp, err := Chat(ctx, f.CallerURL(i%len(f.Boxes)), content, longDeadline)
				if err != nil {
					return err
				}
				want := strings.Join(engine.Answer(content, strings.Count(resp.Text, " ")), "")
				if !resp.Complete || resp.Text != want {
					return fmt.Errorf("%s got status %d, %q", content, resp.Status, resp.Text)
				}
				return nil
			})
		}
		require.NoError(t, p.Wait())
	})
}

func TestMetricsAreLabelledByClass(t *testing.T) {
	withFleet(t, nil, func(ctx context.Context, f *Fleet) {
		_, err := Chat(ctx, f.CallerURL(0), "measured", nil)
		require.NoError(t, err)
		resp, err := do(ctx, http.MethodGet, "http://"+f.Boxes[0].AdminAddr()+"/metrics", nil, nil)
		require.NoError(t, err)
		for _, want := range []string{
			`headhill_first_token_seconds_count{class="counter"} 1`,
			`headhill_queue_wait_seconds_bucket{class="counter"`,
			`headhill_between_tokens_seconds_sum{class="counter"}`,
			`headhill_requests_total{class="counter",organisation="demo",outcome="done"} 1`,
			`headhill_attained_total{class="counter"} 1`,
			`headhill_generation{box="box-1"} 1`,
			`headhill_platform_calls{kind="read"}`,
		} {
			require.Contains(t, resp.Text, want)
		}
	})
}
