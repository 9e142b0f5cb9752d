// Package adminclient calls the operators' interface of a box.
package adminclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"headhill.example/headhill/pkg/admin"
	"headhill.example/headhill/pkg/api"
	"headhill.example/headhill/pkg/intent"
)

// Client calls one box as one operator.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// New returns a client for the admin port at base, a URL.
func New(base, token string) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), token: token, http: &http.Client{Timeout: 30 * time.Second}}
}

// ResponseError is an error that the box answered with.
type ResponseError struct {
	Status int
	api.AdminError
}

func (e *ResponseError) Error() string { return e.Message }

// UnreachableError says that the box could not be asked, or its answer was lost.
type UnreachableError struct {
	Base  string
	Cause error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("%s does not answer: %v: check --admin, or ask another box; a plan may be confirmed again, it takes effect once", e.Base, e.Cause)
}

func (e *UnreachableError) Unwrap() error { return e.Cause }

const replyMost = 256 << 20

func (c *Client) call(ctx context.Context, method, path string, body, reply any) error {
	var in io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return err
		}
		in = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, in)
	if err != nil {
		return &UnreachableError{Base: c.base, Cause: err}
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return &UnreachableError{Base: c.base, Cause: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, replyMost))
	if err != nil {
		return &UnreachableError{Base: c.base, Cause: err}
	}
	if resp.StatusCode == http.StatusOK {
		return json.Unmarshal(data, reply)
	}
	answered := &ResponseError{Status: resp.StatusCode}
	if json.Unmarshal(data, &answered.AdminError) != nil || answered.Message == "" {
		answered.Message = fmt.Sprintf("status %d: check that --admin names an admin port", resp.StatusCode)
	}
	return answered
}

// Plan asks what an intent would change.
func (c *Client) Plan(ctx context.Context, text string) (intent.Plan, error) {
	var r api.PlanReply
	err := c.call(ctx, http.MethodPost, admin.PathPlan, api.PlanRequest{Intent: text}, &r)
	return r.Plan, err
}

// Confirm confirms a plan and returns its generation.
func (c *Client) Confirm(ctx context.Context, p intent.Plan) (uint64, error) {
	var r api.ConfirmReply
	err := c.call(ctx, http.MethodPost, admin.PathConfirm, api.ConfirmRequest{Plan: p}, &r)
	return r.Generation, err
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (api.ConfigReply, error) {
	var r api.ConfigReply
	err := c.call(ctx, http.MethodGet, admin.PathConfig, nil, &r)
	return r, err
}

// Status describes the fleet.
func (c *Client) Status(ctx context.Context) (api.StatusReply, error) {
	var r api.StatusReply
	err := c.call(ctx, http.MethodGet, admin.PathStatus, nil, &r)
	return r, err
}

// Rollout says which boxes have a generation in force.
func (c *Client) Rollout(ctx context.Context, generation uint64) (api.RolloutReply, error) {
	var r api.RolloutReply
	err := c.call(ctx, http.MethodGet, fmt.Sprintf("%s%d", admin.PathRollout, generation), nil, &r)
	return r, err
}
