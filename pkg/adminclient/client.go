// Package adminclient is a client of the operators' HTTP interface of a box.
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

// Client sends requests to one box on behalf of one operator.
type Client struct {
	baseURL string
	token   string
	http    *http.Client
}

// New returns a client for the admin port at the URL base.
func New(base, token string) *Client {
	return &Client{baseURL: strings.TrimSuffix(base, "/"), token: token, http: &http.Client{Timeout: 30 * time.Second}}
}

// ResponseError is an error response of the box.
type ResponseError struct {
	Status int
	api.AdminError
}

func (e *ResponseError) Error() string { return e.Message }

// UnreachableError reports that the box could not be reached or its response was
// lost. The request may have taken effect.
type UnreachableError struct {
	BaseURL string
	Cause   error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("%s is unreachable: %v: check --admin or try another box; confirming a plan again is safe, it takes effect once", e.BaseURL, e.Cause)
}

func (e *UnreachableError) Unwrap() error { return e.Cause }

// maxReplyBytes limits the response body.
const maxReplyBytes = 256 << 20

// call sends body as JSON, if not nil, and decodes the response into reply.
func (c *Client) call(ctx context.Context, method, path string, body, reply any) error {
	var reqBody io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return err
		}
		reqBody = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, reqBody)
	if err != nil {
		return &UnreachableError{BaseURL: c.baseURL, Cause: err}
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return &UnreachableError{BaseURL: c.baseURL, Cause: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return &UnreachableError{BaseURL: c.baseURL, Cause: err}
	}
	if resp.StatusCode == http.StatusOK {
		return json.Unmarshal(data, reply)
	}
	respErr := &ResponseError{Status: resp.StatusCode}
	if json.Unmarshal(data, &respErr.AdminError) != nil || respErr.Message == "" {
		respErr.Message = fmt.Sprintf("status %d: check that --admin is the URL of an admin port", resp.StatusCode)
	}
	return respErr
}

// Plan returns the plan for an intent, given as INI text.
func (c *Client) Plan(ctx context.Context, text string) (intent.Plan, error) {
	var r api.PlanReply
	err := c.call(ctx, http.MethodPost, admin.PathPlan, api.PlanRequest{Intent: text}, &r)
	return r.Plan, err
}

// Confirm confirms a plan and returns the generation it became.
func (c *Client) Confirm(ctx context.Context, p intent.Plan) (uint64, error) {
	var r api.ConfirmReply
	err := c.call(ctx, http.MethodPost, admin.PathConfirm, api.ConfirmRequest{Plan: p}, &r)
	return r.Generation, err
}

// Config returns the current configuration of the box.
func (c *Client) Config(ctx context.Context) (api.ConfigReply, error) {
	var r api.ConfigReply
	err := c.call(ctx, http.MethodGet, admin.PathConfig, nil, &r)
	return r, err
}

// Status returns the status of all boxes.
func (c *Client) Status(ctx context.Context) (api.StatusReply, error) {
	var r api.StatusReply
	err := c.call(ctx, http.MethodGet, admin.PathStatus, nil, &r)
	return r, err
}

// Rollout returns which boxes have applied a generation.
func (c *Client) Rollout(ctx context.Context, generation uint64) (api.RolloutReply, error) {
	var r api.RolloutReply
	err := c.call(ctx, http.MethodGet, fmt.Sprintf("%s%d", admin.PathRollout, generation), nil, &r)
	return r, err
}
