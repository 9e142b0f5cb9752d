package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/scheduler"
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
func (c *Client) Probe(ctx context.Context, s config.Server) (scheduler.Report, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Address+LoadPath, nil)
	if err != nil {
		return scheduler.Report{}, err
	}
	resp, err := c.shared.RoundTrip(req)
	if err != nil {
		return scheduler.Report{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, loadMost))
	if err != nil {
		return scheduler.Report{}, err
	}
	var l Load
	if resp.StatusCode == http.StatusOK {
		// A body of another form is no load.
		_ = json.Unmarshal(body, &l)
	}
	return scheduler.Report{Server: s.Name, Running: l.Running, Leaving: l.Leaving}, nil
}
