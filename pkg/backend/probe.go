package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/scheduler"
	"headhill.example/headhill/pkg/upstream"
)

// LoadPath is where a backend server publishes its load as a Load.
const LoadPath = "/load"

// Load is a server's account of its load. It lags.
type Load struct {
	Running int  `json:"running"`
	Leaving bool `json:"leaving"`
}

const loadMost = 64 << 10

// Probe asks a server for its load. A server that answers without publishing any
// counts as up and idle.
func (c *Client) Probe(ctx context.Context, s config.Server) (scheduler.LoadReport, error) {
	resp, err := c.upstream.Do(ctx, upstream.Request{
		ServerKey: s.Address, Address: s.Address, Method: http.MethodGet, Target: LoadPath, Host: s.Address,
	})
	if err != nil {
		return scheduler.LoadReport{}, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, loadMost))
	resp.Close(err == nil && len(body) < loadMost)
	if err != nil {
		return scheduler.LoadReport{}, err
	}
	var l Load
	if resp.Status == http.StatusOK {
		// A body of another form is no load.
		_ = json.Unmarshal(body, &l)
	}
	return scheduler.LoadReport{Server: s.Name, Running: l.Running, Leaving: l.Leaving}, nil
}
