package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"headhill.example/headhill/pkg/api"
	"headhill.example/headhill/pkg/sse"
)

// sample is the outcome and timing of one request.
type sample struct {
	outcome    api.Outcome
	tokens     int
	firstToken time.Duration
	interToken time.Duration
	total      time.Duration
	err        error
}

// caller sends chat completion requests.
type caller struct {
	opts Options
	http *http.Client
}

func newCaller(opts Options) *caller {
	return &caller{opts: opts, http: &http.Client{Transport: newTransport(opts)}}
}

// chatRequest is the body of a chat completion request.
type chatRequest struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Messages  []message `json:"messages"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// call sends one request and reads the whole response.
func (c *caller) call(ctx context.Context, baseURL, class string, index int) sample {
	body, err := json.Marshal(chatRequest{
		Model:     c.opts.Model,
		Stream:    true,
		MaxTokens: c.opts.MaxTokens,
		Messages:  []message{{Role: "user", Content: fmt.Sprintf("%s request %d of run %d", class, index, c.opts.Seed)}},
	})
	if err != nil {
		return sample{err: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return sample{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+c.opts.Key)
	req.Header.Set(api.HeaderClass, class)
	start := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return sample{err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return sample{outcome: api.Outcome(resp.Header.Get(api.HeaderOutcome)), total: time.Since(start)}
	}
	return readAnswer(resp.Body, start)
}

// chunk holds the fields of a streamed chunk that are measured.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func readAnswer(body io.Reader, start time.Time) sample {
	s := sample{outcome: api.OutcomeUnknown}
	var lastToken time.Time
	events := sse.NewReader(body)
	for {
		data, err := events.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			s.err = err
			return s
		}
		if string(data) == "[DONE]" {
			s.outcome = api.OutcomeDone
			continue
		}
		var e chunk
		if json.Unmarshal(data, &e) != nil || len(e.Choices) == 0 || e.Choices[0].Delta.Content == "" {
			continue
		}
		lastToken = time.Now()
		if s.tokens == 0 {
			s.firstToken = lastToken.Sub(start)
		}
		s.tokens++
	}
	s.total = time.Since(start)
	if s.tokens > 1 {
		s.interToken = (lastToken.Sub(start) - s.firstToken) / time.Duration(s.tokens-1)
	}
	return s
}
