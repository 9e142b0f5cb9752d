package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/scheduler"
	"headhill.example/headhill/pkg/upstream"
)

// LoadPath is the path at which a backend server reports its Load.
const LoadPath = "/load"

// Load is the load that a backend server reports. It may be out of date.
type Load struct {
	Running int  `json:"running"`
	Leaving bool `json:"leaving"`
}

const maxLoadBytes = 64 << 10

// loadConnections returns the key of the connections for load reports, which carry no calls: nothing tells a second copy of a report, sent
// late, from the answer to a call.
func loadConnections(s config.Server) string { return "load of " + s.Address }

// Probe requests the load of a server. A server that answers without a load report
// counts as up and idle, one whose report was cut off does not.
func (c *Client) Probe(ctx context.Context, s config.Server) (scheduler.LoadReport, error) {
	resp, err := c.upstream.Do(ctx, upstream.Request{
		ServerKey: loadConnections(s), Address: s.Address, Method: http.MethodGet, Target: LoadPath, Host: s.Address,
	})
	if err != nil {
		return scheduler.LoadReport{}, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxLoadBytes))
	resp.Close()
	if upstream.EndOf(err) == upstream.EndBroken {
		return scheduler.LoadReport{}, err
	}
	var l Load
	if resp.Status == http.StatusOK {
		if upstream.EndOf(err) == upstream.EndClosed && beginsObject(body) {
			return scheduler.LoadReport{}, err
		}
		// Ignore bodies that are not a load report.
		_ = json.Unmarshal(body, &l)
	}
	return scheduler.LoadReport{Server: s.Name, Running: l.Running, Leaving: l.Leaving}, nil
}

// beginsObject reports whether body is the beginning of a JSON object, whose end is missing.
func beginsObject(body []byte) bool {
	var object json.RawMessage
	err := json.NewDecoder(bytes.NewReader(body)).Decode(&object)
	return bytes.HasPrefix(body, []byte("{")) && errors.Is(err, io.ErrUnexpectedEOF)
}

// endProbeTimeout limits the probe of a server that closed the connection of an answer.
const endProbeTimeout = 1300 * time.Millisecond

// RunsOn returns whether a process accepts connections at the address of a server now. It blocks for endProbeTimeout at most.
func (c *Client) RunsOn(ctx context.Context, s config.Server) bool {
	probe := c.upstream.ProbeSince(s.Address, s.Address, clock.Now())
	timer := time.NewTimer(endProbeTimeout)
	defer timer.Stop()
	select {
	case <-probe.Done:
		return probe.State == upstream.StateUp
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
