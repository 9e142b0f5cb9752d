package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/backend"
	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/settings"
	"headhill.example/headhill/pkg/sse"
	"headhill.example/headhill/pkg/standin/engine"
	"headhill.example/headhill/pkg/telemetry"
)

const tokens = 3

// withEngines runs fn against two engines that give the same answers.
func withEngines(t *testing.T, fn func(h *Handler, engines [2]*engine.Engine, servers [2]config.Server)) {
	t.Helper()
	var engines [2]*engine.Engine
	var servers [2]config.Server
	for i := range engines {
		o := engine.DefaultOptions()
		o.StepBase, o.StepEach, o.Tokens = 50*time.Microsecond, 0, tokens
		engines[i] = engine.New(o)
		s := httptest.NewServer(engines[i])
		defer s.Close()
		defer engines[i].Close()
		servers[i] = config.Server{Name: fmt.Sprint("e", i), Address: strings.TrimPrefix(s.URL, "http://")}
	}
	c := backend.NewClient(5 * time.Second)
	defer c.Close()
	metrics, err := telemetry.New()
	require.NoError(t, err)
	fn(&Handler{Deps: Deps{Backend: c, Metrics: metrics, Logger: log.NewNopLogger()}, budget: newRetryBudget(), patience: callerTimeout}, engines, servers)
}

// newExchange is a chat exchange whose caller is a recorder.
func newExchange(t *testing.T, h *Handler, id string, stream bool, bound int) (*chatExchange, *httptest.ResponseRecorder) {
	t.Helper()
	raw := fmt.Sprintf(`{"model":"m","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"who am i %s"}]}`, stream, bound, id)
	body, err := parseChat([]byte(raw))
	require.NoError(t, err)
	w := httptest.NewRecorder()
	req := &request{id: id, arrival: time.Now(), body: []byte(raw), service: config.Service{Kind: config.KindEngine}}
	x := &chatExchange{h: h, w: w, req: req, body: body}
	x.answer.id = answerPrefix + id
	return x, w
}

func wantText(id string, n int) string {
	return strings.Join(engine.Answer("who am i "+id, n), "")
}

// received is what a caller makes of the recorded stream.
func received(t *testing.T, w *httptest.ResponseRecorder) (text string, roles, ends int) {
	t.Helper()
	r := sse.NewReader(w.Body)
	for {
		data, err := r.Next()
		if err != nil {
			return text, roles, ends
		}
		if string(data) == streamEnd {
			ends++
			continue
		}
		var c chunk
		require.NoError(t, json.Unmarshal(data, &c))
		text += c.Choices[0].Delta.Content
		if c.Choices[0].Delta.Role != "" {
			roles++
		}
	}
}

// An engine that crashes at any byte of its stream costs the caller nothing: the
// answer goes on elsewhere and is whole, without a gap or a repetition.
func TestCrashAtEveryByteOfAStream(t *testing.T) {
	for _, bound := range []int{0, tokens - 1} {
		t.Run(fmt.Sprint("max_tokens=", bound), func(t *testing.T) { crashAtEveryByte(t, bound) })
	}
}

func crashAtEveryByte(t *testing.T, bound int) {
	withEngines(t, func(h *Handler, engines [2]*engine.Engine, servers [2]config.Server) {
		ctx := t.Context()
		crashes, length := 0, tokens
		if bound > 0 {
			length = bound
		}
		for at := 1; ; at++ {
			engines[0].SetFaults(engine.Faults{CrashAfterBytes: at})
			id := fmt.Sprint("r", at)
			x, w := newExchange(t, h, id, true, bound)
			_, err := x.do(ctx, servers[0])
			if err != nil {
				crashes++
				var broken *backend.InterruptedError
				require.ErrorAs(t, err, &broken, "byte %d", at)
				_, err = x.do(ctx, servers[1])
			}
			require.NoError(t, err, "byte %d", at)
			text, roles, ends := received(t, w)
			require.Equal(t, wantText(id, length), text, "byte %d", at)
			require.Equal(t, 1, roles, "byte %d", at)
			require.Equal(t, 1, ends, "byte %d", at)
			if at > crashes+50 {
				// Well past the end of the stream.
				break
			}
		}
		require.Greater(t, crashes, 200)
	})
}

func TestCrashAtEveryByteOfAWholeAnswer(t *testing.T) {
	withEngines(t, func(h *Handler, engines [2]*engine.Engine, servers [2]config.Server) {
		for at := 1; at < 200; at += 3 {
			engines[0].SetFaults(engine.Faults{CrashAfterBytes: at})
			x, w := newExchange(t, h, "r", false, 0)
			if _, err := x.do(t.Context(), servers[0]); err != nil {
				require.Empty(t, w.Body.Bytes(), "half an answer went out at byte %d", at)
				_, err = x.do(t.Context(), servers[1])
				require.NoError(t, err)
			}
			require.Contains(t, w.Body.String(), wantText("r", tokens))
		}
	})
}

func TestAnswerOfAnotherRequestIsNotPassedOn(t *testing.T) {
	withEngines(t, func(h *Handler, engines [2]*engine.Engine, servers [2]config.Server) {
		engines[0].SetFaults(engine.Faults{WrongID: true})
		for _, stream := range []bool{true, false} {
			x, w := newExchange(t, h, "mine", stream, 0)
			_, err := x.do(t.Context(), servers[0])
			var mismatch *backend.MismatchError
			require.ErrorAs(t, err, &mismatch)
			require.Empty(t, w.Body.Bytes())
		}
	})
}

func TestCallerGoneCancelsAtTheEngine(t *testing.T) {
	withEngines(t, func(h *Handler, engines [2]*engine.Engine, servers [2]config.Server) {
		engines[0].SetFaults(engine.Faults{Freeze: true})
		ctx, cancel := context.WithCancel(t.Context())
		x, _ := newExchange(t, h, "gone", true, 0)
		done := make(chan error, 1)
		go func() {
			_, err := x.do(ctx, servers[0])
			done <- err
		}()
		require.Eventually(t, func() bool { return engines[0].Stats().Started == 1 }, 5*time.Second, time.Millisecond)
		cancel()
		require.Error(t, <-done)
		engines[0].SetFaults(engine.Faults{})
		require.Eventually(t, func() bool { return engines[0].Stats().Cancelled == 1 }, 5*time.Second, time.Millisecond)
	})
}

// An answer that holds more than text can't be continued by another engine: its
// end is unknown, never a clean one.
func TestOpaqueAnswerIsNotContinued(t *testing.T) {
	var a answer
	var c chunk
	require.NoError(t, json.Unmarshal([]byte(`{"id":"x","choices":[{"index":0,"delta":{"tool_calls":[{}]}}]}`), &c))
	a.take(&c)
	require.True(t, a.opaque)
	q := &request{begun: true, opaque: true, service: config.Service{Kind: config.KindEngine}}
	require.True(t, q.stuck())
	h := &Handler{budget: newRetryBudget()}
	require.False(t, h.mayRetry(t.Context(), q, &backend.InterruptedError{}, 0))
}

func TestForwardedHeaders(t *testing.T) {
	in := http.Header{
		"Connection":                  {"X-Hop, keep-alive"},
		"X-Hop":                       {"1"},
		"Transfer-Encoding":           {"chunked"},
		"Content-Length":              {"3"},
		"Authorization":               {"Bearer secret"},
		"Headhill-Fence":              {"1/2"},
		"Headhill-Outcome":            {"done"},
		"Idempotency-Key":             {"k"},
		"X-Kept":                      {"a", "b"},
		"Proxy-Authorization":         {"x"},
		"Upgrade":                     {"h2c"},
		http.CanonicalHeaderKey("te"): {"trailers"},
	}
	require.Equal(t, http.Header{"Idempotency-Key": {"k"}, "X-Kept": {"a", "b"}}, forwarded(in))
}

// A caller that keeps its connection and comes back after a while must not meet the
// deadline of its last answer.
func TestKeptConnectionOutlivesAnAnswersDeadline(t *testing.T) {
	withEngines(t, func(h *Handler, _ [2]*engine.Engine, servers [2]config.Server) {
		h.patience = 300 * time.Millisecond
		h.Limits = settings.Default().Limits
		n := 0
		serve := h.bounded(func(w http.ResponseWriter, r *http.Request, req *request) error {
			if n++; n > 1 {
				return badRequest("no answer this time")
			}
			x, _ := newExchange(t, h, req.id, true, 0)
			x.w, x.req.body = w, []byte(fmt.Sprintf(`{"stream":true,"messages":[{"role":"user","content":%q}]}`, req.id))
			_, err := x.do(r.Context(), servers[0])
			return err
		}, func(*http.Request, *request) error { return nil })
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serve(w, r, nil) }))
		defer s.Close()
		for _, want := range []string{streamEnd, "no answer this time"} {
			resp, err := s.Client().Post(s.URL, "application/json", strings.NewReader("{}"))
			require.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Contains(t, string(body), want)
			resp.Body.Close()
			time.Sleep(2 * h.patience)
		}
	})
}

func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":5,"n":2,"stream":true}`))
	f.Add([]byte(`{"model":1}`))
	f.Add([]byte(`{"model":"m","messages":[]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := parseChat(data)
		if err != nil {
			require.Equal(t, http.StatusBadRequest, judge(err).status)
			return
		}
		require.LessOrEqual(t, len(c.prefixes()), prefixMost)
		again, err := c.continued("partial", 1)
		require.NoError(t, err)
		_, err = parseChat(again)
		require.NoError(t, err)
	})
}
