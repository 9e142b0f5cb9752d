package routerd

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/incarnation"
	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/signals"
)

// watchIncarnations creates what notices restarts of servers. It requires the directory, the peers and the client of
// the servers.
func (d *Daemon) watchIncarnations(logger log.Logger) {
	d.restarts = incarnation.NewExchange(incarnation.ExchangeDeps{
		Port: d.peers, Peers: d.roster.Peers, Receive: func(box string, r incarnation.Restart) { d.incarnations.RecordRemote(box, r) }, Logger: logger,
	})
	d.incarnations = incarnation.New(incarnation.Deps{
		List: d.directory, Started: clock.Now(), LinkFailed: d.paths.LinkFailed, Announce: d.restarts.Announce, Query: d.queryOf(), Logger: logger,
		Alive: func(server routing.Incarnation, openedBefore, ranAfter time.Time) bool {
			return d.upstream.Carries(server.String(), openedBefore, ranAfter)
		},
		Lifetime: func(server routing.Incarnation, opened time.Time) (from, until time.Time, ok bool) {
			return d.upstream.Lifetime(server.String(), opened)
		},
	})
	d.directory.OnRestoredEntry(d.incarnations.RecordRestoredEntry)
	d.endChecker = incarnation.NewEndChecker(incarnation.EndCheckerDeps{
		Ask:       d.queries.readStart,
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

// queryOf returns what has a server queried when it started, if it may be, nil if servers can't be queried.
func (d *Daemon) queryOf() func(*routing.Server) bool {
	if !d.queries.enabled() {
		return nil
	}
	q := incarnation.NewQuerier(incarnation.QuerierDeps{
		Query:  d.queries.readStart,
		Record: func(server *routing.Server, a incarnation.Answer) { d.incarnations.RecordReport(server, a) },
	})
	return func(server *routing.Server) bool { return d.queries.allows(server) && q.Query(server) }
}
