package localfleet

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/backend"
)

// instantEngine streams a fixed number of tokens without delay, so that the benchmark
// measures the overhead of the box.
func instantEngine(tokens int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == backend.LoadPath {
			_, _ = io.WriteString(w, "{}")
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := "chatcmpl-" + r.Header.Get(backend.HeaderRequestID)
		w.Header().Set("Content-Type", "text/event-stream")
		c := http.NewResponseController(w)
		for i := range tokens {
			finish := "null"
			if i == tokens-1 {
				finish = `"stop"`
			}
			fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"},\"finish_reason\":%s}]}\n\n", id, finish)
			_ = c.Flush()
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
}

// withInstantEngine starts a fleet with an instant engine that serves its own model.
func withInstantEngine(b *testing.B, tokens int, fn func(direct, through string)) {
	ctx, cancel := context.WithTimeout(b.Context(), 5*time.Minute)
	defer cancel()
	o := DefaultOptions()
	o.LogLevel = "error"
	f, err := Start(ctx, o)
	require.NoError(b, err)
	defer f.Close()
	address, err := f.serve(instantEngine(tokens))
	require.NoError(b, err)
	g, err := f.Apply(ctx, 0, fmt.Sprintf("[service instant]\nmodels = instant\nqueue = 1000\n[server instant-1]\nservice = instant\nhall = north\naddress = %s\nslots = 256\n", address))
	require.NoError(b, err)
	require.NoError(b, f.WaitGeneration(ctx, g))
	time.Sleep(200 * time.Millisecond)
	fn("http://"+address, f.CallerURL(0))
}

var benchCallers = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

func benchCall(b *testing.B, base string) {
	body := `{"model":"instant","stream":true,"messages":[{"role":"user","content":"hello"}]}`
	req, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		b.Error(err)
		return
	}
	req.Header.Set("Authorization", "Bearer "+CallerKey)
	resp, err := benchCallers.Do(req)
	if err != nil {
		b.Error(err)
		return
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || n == 0 {
		b.Errorf("status %d, %d bytes, %v", resp.StatusCode, n, err)
	}
}

// BenchmarkPath compares sequential calls through a box with the same calls sent directly
// to the engine, for responses of 1 and 500 tokens.
func BenchmarkPath(b *testing.B) {
	for _, tokens := range []int{1, 500} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			withInstantEngine(b, tokens, func(direct, through string) {
				benchCall(b, direct)
				benchCall(b, through)
				var elapsed [2]time.Duration
				b.ResetTimer()
				for range b.N {
					for i, base := range []string{direct, through} {
						start := time.Now()
						benchCall(b, base)
						elapsed[i] += time.Since(start)
					}
				}
				b.StopTimer()
				n := float64(b.N)
				b.ReportMetric(float64(elapsed[0].Microseconds())/n, "direct-µs")
				b.ReportMetric(float64(elapsed[1].Microseconds())/n, "through-µs")
				b.ReportMetric(float64(elapsed[1])/float64(elapsed[0]), "ratio")
				b.ReportMetric(float64((elapsed[1]-elapsed[0]).Microseconds())/n/float64(tokens), "added-µs/token")
			})
		})
	}
}

// BenchmarkThroughput sends concurrent calls to one box. Callers, box and engine share the
// process, so the requests per second per core are a lower bound.
func BenchmarkThroughput(b *testing.B) {
	withInstantEngine(b, 1, func(_, through string) {
		b.SetParallelism(16)
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				benchCall(b, through)
			}
		})
	})
}
