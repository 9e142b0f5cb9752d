package localfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"headhill.example/headhill/pkg/api"
	"headhill.example/headhill/pkg/sse"
)

// Response is the response that a caller received.
type Response struct {
	Status int
	Header http.Header
	// Text is the content of a chat completion, or the body of any other response.
	Text string
	// Events holds the raw events of a stream.
	Events [][]byte
	// Complete is set if a stream ended with the [DONE] event.
	Complete bool
	// Error is the error event or error body, if any.
	Error *api.Error
	// Outcome is the value of the outcome header or trailer.
	Outcome api.Outcome
}

// Chat sends a streaming chat completion request to the box at a base URL.
func Chat(ctx context.Context, base, content string, header http.Header) (Response, error) {
	body, err := json.Marshal(map[string]any{
		"model":    Model,
		"stream":   true,
		"messages": []map[string]string{{"role": "user", "content": content}},
	})
	if err != nil {
		return Response{}, err
	}
	return do(ctx, http.MethodPost, base+"/v1/chat/completions", body, header)
}

// Call sends a request to the plain service through the box at a base URL.
func Call(ctx context.Context, base, path string, body []byte, header http.Header) (Response, error) {
	return do(ctx, http.MethodPost, base+"/services/"+PlainService+path, body, header)
}

func do(ctx context.Context, method, url string, body []byte, header http.Header) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return Response{}, err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	if req.Header.Get("Authorization") == "" {
		req.Header.Set("Authorization", "Bearer "+CallerKey)
	}
	resp, err := callerClient.Do(req)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	return readResponse(resp)
}

// callerClient never retries requests.
var callerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func readResponse(resp *http.Response) (Response, error) {
	r := Response{Status: resp.StatusCode, Header: resp.Header}
	if resp.Header.Get("Content-Type") == "text/event-stream" {
		err := r.readStream(resp.Body)
		r.Outcome = api.Outcome(resp.Trailer.Get(api.HeaderOutcome))
		return r, err
	}
	data, err := io.ReadAll(resp.Body)
	r.Text = string(data)
	r.Outcome = api.Outcome(resp.Header.Get(api.HeaderOutcome))
	var e api.ErrorBody
	if json.Unmarshal(data, &e) == nil && e.Error.Type != "" {
		r.Error = &e.Error
	}
	return r, err
}

// eventBody holds the fields of an event that the caller uses.
type eventBody struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *api.Error `json:"error"`
}

func (r *Response) readStream(body io.Reader) error {
	events := sse.NewReader(body)
	var text strings.Builder
	defer func() { r.Text = text.String() }()
	for {
		data, err := events.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		r.Events = append(r.Events, append([]byte(nil), data...))
		if string(data) == "[DONE]" {
			r.Complete = true
			continue
		}
		var e eventBody
		if err := json.Unmarshal(data, &e); err != nil {
			return fmt.Errorf("event %q: %w", data, err)
		}
		if e.Error != nil {
			r.Error = e.Error
		}
		for _, c := range e.Choices {
			text.WriteString(c.Delta.Content)
		}
	}
}
