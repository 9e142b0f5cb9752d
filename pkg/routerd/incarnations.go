package routerd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/go-kit/log"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/incarnation"
	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/signals"
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

// watchIncarnations creates what notices restarts of servers. It requires the directory, the peers and the client of
// the servers.
func (d *Daemon) watchIncarnations(report ServerReport, logger log.Logger) {
	d.restarts = incarnation.NewExchange(incarnation.ExchangeDeps{
		Port: d.peers, Peers: d.roster.Peers, Receive: func(box string, r incarnation.Restart) { d.incarnations.RecordRemote(box, r) }, Logger: logger,
	})
	d.incarnations = incarnation.New(incarnation.Deps{
		List: d.directory, Started: clock.Now(), LinkFailed: d.paths.LinkFailed, Announce: d.restarts.Announce, Query: d.queryOf(report, logger), Logger: logger,
		Alive: func(server routing.Incarnation, openedBefore, ranAfter time.Time) bool {
			return d.upstream.Carries(server.String(), openedBefore, ranAfter)
		},
		Lifetime: func(server routing.Incarnation, opened time.Time) (from, until time.Time, ok bool) {
			return d.upstream.Lifetime(server.String(), opened)
		},
	})
	d.directory.OnRestoredEntry(d.incarnations.RecordRestoredEntry)
	d.endChecker = incarnation.NewEndChecker(incarnation.EndCheckerDeps{
		Ask: func(ctx context.Context, server *routing.Server) (int64, error) {
			return d.readStart(ctx, report, server)
		},
		MayAsk:    func(server *routing.Server) bool { return report.Target != "" && !d.isRestricted(server) },
		Reach:     d.reach,
		Record:    d.incarnations.RecordReport,
		LifeAfter: d.incarnations.LifeAfter,
		Logger:    logger,
	})
}

// isRestricted reports whether a server limits its requests, and may count a query as one.
func (d *Daemon) isRestricted(server *routing.Server) bool {
	state := d.balancer.Signals().State(signals.KeyOf(server.Incarnation()), clock.Now())
	return state.Constrained() || state.Brittle.Set
}

// reach opens a connection to a server, which a later request may use.
func (d *Daemon) reach(ctx context.Context, server *routing.Server) incarnation.Life {
	key := server.Incarnation().String()
	conn, err := d.serverDialer.Dial(ctx, key, server.Address)
	switch {
	case isBroken(err):
		return incarnation.LifeRuns
	case err != nil:
		return incarnation.LifeUnknown
	}
	d.upstream.AddIdle(key, conn)
	return incarnation.LifeRuns
}

// queryOf returns what has a server queried when it started, nil if servers can't be queried. One whose requests are restricted
// is not, as it may count a query as a request.
func (d *Daemon) queryOf(report ServerReport, logger log.Logger) func(*routing.Server) bool {
	if report.Target == "" {
		return nil
	}
	q := incarnation.NewQuerier(incarnation.QuerierDeps{
		Logger: logger,
		Query: func(ctx context.Context, server *routing.Server) (int64, error) {
			return d.readStart(ctx, report, server)
		},
		Record: func(server *routing.Server, a incarnation.Answer) { d.incarnations.RecordReport(server, a) },
	})
	return func(server *routing.Server) bool { return !d.isRestricted(server) && q.Query(server) }
}

// readStart reads when the process of a server started. A report that ends with its connection counts if it is a whole object.
func (d *Daemon) readStart(ctx context.Context, report ServerReport, server *routing.Server) (int64, error) {
	resp, err := d.upstream.Do(ctx, upstream.Request{
		ServerKey: server.Incarnation().String(), Address: server.Address, Method: http.MethodGet, Target: report.Target, Host: server.Address, Header: report.Header(server.ID),
	})
	if err != nil {
		return 0, queryError(err)
	}
	defer resp.Close()
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
	default:
		return 0, fmt.Errorf("%w: status %d", incarnation.ErrNoStart, resp.Status)
	}
	started, ok := report.Started(body)
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
