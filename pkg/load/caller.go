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

// sample is one request's end.
type sample struct {
	outcome    api.Outcome
	tokens     int
	firstToken time.Duration
	between    time.Duration
	total      time.Duration
	err        error
}

// caller sends chat completions.
type caller struct {
	opts Options
	http *http.Client
}

func newCaller(o Options) *caller {
	return &caller{opts: o, http: &http.Client{Transport: newTransport(o)}}
}

// chat is the body of a request.
type chat struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Messages  []message `json:"messages"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// call sends one request and reads its answer to the end.
func (c *caller) call(ctx context.Context, target, class string, n int) sample {
	body, err := json.Marshal(chat{
		Model:     c.opts.Model,
		Stream:    true,
		MaxTokens: c.opts.MaxTokens,
		Messages:  []message{{Role: "user", Content: fmt.Sprintf("%s request %d of run %d", class, n, c.opts.Seed)}},
	})
	if err != nil {
		return sample{err: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return sample{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+c.opts.Key)
	req.Header.Set(api.HeaderClass, class)
	began := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return sample{err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return sample{outcome: api.Outcome(resp.Header.Get(api.HeaderOutcome)), total: time.Since(began)}
	}
	return readAnswer(resp.Body, began)
}

// event is the part of a streamed event that is measured.
type event struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func readAnswer(body io.Reader, began time.Time) sample {
	s := sample{outcome: api.OutcomeUnknown}
	var last time.Time
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
		var e event
		if json.Unmarshal(data, &e) != nil || len(e.Choices) == 0 || e.Choices[0].Delta.Content == "" {
			continue
		}
		last = time.Now()
		if s.tokens == 0 {
			s.firstToken = last.Sub(began)
		}
		s.tokens++
	}
	s.total = time.Since(began)
	if s.tokens > 1 {
		s.between = (last.Sub(began) - s.firstToken) / time.Duration(s.tokens-1)
	}
	return s
}
