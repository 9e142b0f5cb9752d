package routerd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/incarnation"
	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/upstream"
)

// maxReportBytes is the part of a server's report that is read.
const maxReportBytes = 64 << 10

// ServerReport is a request for what a server says of itself, which it answers without running anything.
type ServerReport struct {
	// Target is the request target. Header returns the header that keeps a server with another ID from answering.
	Target string
	Header func(id string) http.Header
	// Started returns when the process started, as in routing.Incarnation. It returns false if the report does not say so.
	Started func(report []byte) (int64, bool)
}

// noReportsTime is how long a server without reports is not asked.
const noReportsTime = time.Minute

// serverQueries asks servers when their processes started, and decides which may be asked: all queries go by way of it. A server without
// reports takes a query for a request.
type serverQueries struct {
	report ServerReport
	client *upstream.Client
	// service returns a service of the routing table, or as it was in the last table that had it; nil if none had.
	service func(name string) *routing.Service
	// restricted reports whether a server limits its requests, and may count a query as one.
	restricted func(*routing.Server) bool
	logger     log.Logger
	// counts are the queries since the start, by the kind of the service and the outcome.
	counts *labelCounter

	mu sync.Mutex
	// withoutReports holds the servers that are not asked, and until when.
	withoutReports map[routing.Incarnation]time.Time
}

// enabled reports whether the platform has a request for reports.
func (q *serverQueries) enabled() bool { return q.report.Target != "" }

// allows reports whether a server may be asked: its entry states when it started, its service is known to be one of engines, and it
// has not lately answered as if it had no reports and does not restrict its requests.
func (q *serverQueries) allows(server *routing.Server) bool {
	return q.enabled() && server.Started != 0 && q.kindOf(server) == kindEngine && !q.lacksReport(server.Incarnation()) && !q.restricted(server)
}

func (q *serverQueries) lacksReport(server routing.Incarnation) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return clock.Now().Before(q.withoutReports[server])
}

// recordStatus records the status of a server's response to a query. A server without reports rejects queries, as they have no ID.
func (q *serverQueries) recordStatus(server *routing.Server, status int) {
	if status != http.StatusBadRequest {
		return
	}
	now := clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	maps.DeleteFunc(q.withoutReports, func(_ routing.Incarnation, until time.Time) bool { return !now.Before(until) })
	q.withoutReports[server.Incarnation()] = now.Add(noReportsTime)
	_ = level.Warn(q.logger).Log("msg", "server has no report", "server", server.ID, "service", server.Service, "status", status, "outcome", "it is not asked when it started", "for", noReportsTime)
}

// Kinds of services in logs and metrics.
const (
	kindEngine  = "engine"
	kindPlain   = "plain"
	kindUnknown = "unknown"
)

// kindOf returns the kind of a server's service.
func (q *serverQueries) kindOf(server *routing.Server) string {
	switch service := q.service(server.Service); {
	case service == nil:
		return kindUnknown
	case service.Engine:
		return kindEngine
	}
	return kindPlain
}

// readStart asks the process that runs at the address of a server when it started. The errors are those of incarnation.QuerierDeps.
func (q *serverQueries) readStart(ctx context.Context, server *routing.Server) (int64, error) {
	if !q.allows(server) {
		return 0, incarnation.ErrNotAsked
	}
	kind, sent := q.kindOf(server), clock.Now()
	resp, err := q.client.Do(ctx, upstream.Request{
		ServerKey: server.Incarnation().String(), Address: server.Address, Method: http.MethodGet, Target: q.report.Target, Host: server.Address, Header: q.report.Header(server.ID), Query: true,
	})
	started, status, via := int64(0), 0, ""
	if err != nil {
		err = queryError(err)
	} else {
		defer resp.Close()
		status, via = resp.Status, resp.Via
		q.recordStatus(server, status)
		started, err = q.parse(resp)
	}
	q.counts.increment(kind + " " + outcomeOf(status, err))
	_ = level.Info(q.logger).Log("msg", "asked server for the start of its process", "server", server.ID, "service", server.Service, "kind", kind, "address", server.Address,
		"entry_started", server.Started, "started", started, "status", status, "via", via, "took_ms", clock.Since(sent).Milliseconds(), "err", err)
	return started, err
}

// outcomeOf returns the outcome of a query as a label.
func outcomeOf(status int, err error) string {
	switch {
	case err == nil:
		return "started"
	case status == 0:
		return "unanswered"
	case status == http.StatusOK:
		return "unstated"
	}
	return "rejected"
}

// parse returns when the process of a server started that sent a response. A report that ends with its connection counts if it is a whole
// object.
func (q *serverQueries) parse(resp *upstream.Response) (int64, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if upstream.EndOf(err) == upstream.EndBroken {
		return 0, err
	}
	switch resp.Status {
	case http.StatusOK:
	case http.StatusMisdirectedRequest:
		return 0, fmt.Errorf("%w: status %d", incarnation.ErrReplaced, resp.Status)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return 0, fmt.Errorf("%w: status %d", incarnation.ErrBusy, resp.Status)
	case http.StatusBadRequest:
		// Any server may answer so that does not know queries, without having compared the ID that it is expected to have.
		return 0, fmt.Errorf("the server rejects queries: status %d", resp.Status)
	default:
		return 0, fmt.Errorf("%w: status %d", incarnation.ErrNoStart, resp.Status)
	}
	started, ok := q.report.Started(body)
	switch {
	case ok:
		return started, nil
	case err != nil:
		return 0, err
	}
	return 0, incarnation.ErrNoStart
}

// queryError returns the error of a query that got no answer.
func queryError(err error) error {
	if isBroken(err) {
		return fmt.Errorf("%w: %w", incarnation.ErrConnectionBroke, err)
	}
	return err
}

// isBroken reports whether a server accepted a connection and broke it, as one does that has as many as it takes. The loss of the box
// by way of which it led says nothing of the server.
func isBroken(err error) bool {
	var lost *upstream.PathLostError
	return !errors.As(err, &lost) && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF))
}
