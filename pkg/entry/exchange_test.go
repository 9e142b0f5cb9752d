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

const answerTokens = 3

// withEngines runs fn with two engines that give identical answers.
func withEngines(t *testing.T, fn func(h *Handler, engines [2]*engine.Engine, servers [2]config.Server)) {
	t.Helper()
	var engines [2]*engine.Engine
	var servers [2]config.Server
	for i := range engines {
		o := engine.DefaultOptions()
		o.StepBase, o.StepPerSequence, o.AnswerTokens = 50*time.Microsecond, 0, answerTokens
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
	fn(&Handler{Deps: Deps{Backend: c, Metrics: metrics, Logger: log.NewNopLogger()}, budget: newRetryBudget(), writeTimeout: callerWriteTimeout}, engines, servers)
}

// newExchange returns a chat exchange whose caller is a recorder.
func newExchange(t *testing.T, h *Handler, id string, stream bool, maxTokens int) (*chatExchange, *httptest.ResponseRecorder) {
	t.Helper()
	raw := fmt.Sprintf(`{"model":"m","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"who am i %s"}]}`, stream, maxTokens, id)
	chat, err := parseChatRequest([]byte(raw))
	require.NoError(t, err)
	w := httptest.NewRecorder()
	req := &request{id: id, arrival: time.Now(), body: []byte(raw), service: config.Service{Kind: config.ServiceKindEngine}}
	x := &chatExchange{h: h, w: w, req: req, chat: chat}
	x.answer.id = answerIDPrefix + id
	return x, w
}

func wantText(id string, n int) string {
	return strings.Join(engine.Answer("who am i "+id, n), "")
}

// received decodes the recorded stream as a caller would.
func received(t *testing.T, w *httptest.ResponseRecorder) (text string, roles, ends int) {
	t.Helper()
	r := sse.NewReader(w.Body)
	for {
		data, err := r.Next()
		if err != nil {
			return text, roles, ends
		}
		if string(data) == streamEndMarker {
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

// When an engine crashes at any byte of its stream, another engine continues the
// answer without a gap or a repetition.
func TestCrashAtEveryByteOfAStream(t *testing.T) {
	for _, maxTokens := range []int{0, answerTokens - 1} {
		t.Run(fmt.Sprint("max_tokens=", maxTokens), func(t *testing.T) { crashAtEveryByte(t, maxTokens) })
	}
}

func crashAtEveryByte(t *testing.T, maxTokens int) {
	withEngines(t, func(h *Handler, engines [2]*engine.Engine, servers [2]config.Server) {
		ctx := t.Context()
		crashes, length := 0, answerTokens
		if maxTokens > 0 {
			length = maxTokens
		}
		for at := 1; ; at++ {
			engines[0].SetFaults(engine.Faults{CrashAfterBytes: at})
			id := fmt.Sprint("r", at)
			x, w := newExchange(t, h, id, true, maxTokens)
			_, err := x.do(ctx, servers[0])
			if err != nil {
				crashes++
				var interrupted *backend.InterruptedError
				require.ErrorAs(t, err, &interrupted, "byte %d", at)
				_, err = x.do(ctx, servers[1])
			}
			require.NoError(t, err, "byte %d", at)
			text, roles, ends := received(t, w)
			require.Equal(t, wantText(id, length), text, "byte %d", at)
			require.Equal(t, 1, roles, "byte %d", at)
			require.Equal(t, 1, ends, "byte %d", at)
			if at > crashes+50 {
				// The limit is well past the end of the stream.
				break
			}
		}
		require.Greater(t, crashes, 200)
	})
}

func TestCrashAtEveryByteOfNonStreamedAnswer(t *testing.T) {
	withEngines(t, func(h *Handler, engines [2]*engine.Engine, servers [2]config.Server) {
		for at := 1; at < 200; at += 3 {
			engines[0].SetFaults(engine.Faults{CrashAfterBytes: at})
			x, w := newExchange(t, h, "r", false, 0)
			if _, err := x.do(t.Context(), servers[0]); err != nil {
				require.Empty(t, w.Body.Bytes(), "a truncated answer was sent after a crash at byte %d", at)
				_, err = x.do(t.Context(), servers[1])
				require.NoError(t, err)
			}
			require.Contains(t, w.Body.String(), wantText("r", answerTokens))
		}
	})
}

func TestMismatchedAnswerIsNotForwarded(t *testing.T) {
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

func TestCallerDisconnectCancelsAtEngine(t *testing.T) {
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
		// The answer must not be complete before the engine learns of the disconnect.
		engines[0].SetFaults(engine.Faults{SlowFactor: 10000})
		require.Eventually(t, func() bool { return engines[0].Stats().Cancelled == 1 }, 5*time.Second, time.Millisecond)
	})
}

// An answer that holds more than text can't be continued by another engine and must
// not be retried.
func TestNonResumableAnswerIsNotContinued(t *testing.T) {
	var a answer
	var c chunk
	require.NoError(t, json.Unmarshal([]byte(`{"id":"x","choices":[{"index":0,"delta":{"tool_calls":[{}]}}]}`), &c))
	a.addChunk(&c)
	require.True(t, a.nonResumable)
	req := &request{responseStarted: true, nonResumable: true, service: config.Service{Kind: config.ServiceKindEngine}}
	require.True(t, req.cannotContinue())
	h := &Handler{budget: newRetryBudget()}
	require.False(t, h.shouldRetry(t.Context(), req, &backend.InterruptedError{}, 0))
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
	require.Equal(t, http.Header{"Idempotency-Key": {"k"}, "X-Kept": {"a", "b"}}, forwardedHeader(in))
}

// The write deadline of an answer must not apply to the next request on the same
// connection.
func TestWriteDeadlineDoesNotOutliveAnswer(t *testing.T) {
	withEngines(t, func(h *Handler, _ [2]*engine.Engine, servers [2]config.Server) {
		h.writeTimeout = 300 * time.Millisecond
		h.Limits = settings.Default().Limits
		n := 0
		serve := h.admit(func(w http.ResponseWriter, r *http.Request, req *request) error {
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
		for _, want := range []string{streamEndMarker, "no answer this time"} {
			resp, err := s.Client().Post(s.URL, "application/json", strings.NewReader("{}"))
			require.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Contains(t, string(body), want)
			resp.Body.Close()
			time.Sleep(2 * h.writeTimeout)
		}
	})
}

func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":5,"n":2,"stream":true}`))
	f.Add([]byte(`{"model":1}`))
	f.Add([]byte(`{"model":"m","messages":[]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := parseChatRequest(data)
		if err != nil {
			require.Equal(t, http.StatusBadRequest, newErrorResponse(err).status)
			return
		}
		require.LessOrEqual(t, len(c.prefixHashes()), maxPrefixHashes)
		body, err := c.continuationBody("partial", 1)
		require.NoError(t, err)
		_, err = parseChatRequest(body)
		require.NoError(t, err)
	})
}
