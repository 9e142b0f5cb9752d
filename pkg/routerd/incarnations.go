package routerd

import (
	"time"

	"github.com/go-kit/log"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/incarnation"
	"headhill.example/headhill/pkg/routing"
)

// watchIncarnations creates what notices restarts of servers. It requires the directory, the peers and the client of
// the servers.
func (d *Daemon) watchIncarnations(logger log.Logger) {
	d.restarts = incarnation.NewExchange(incarnation.ExchangeDeps{
		Port: d.peers, Peers: d.roster.Peers, Receive: func(box string, r incarnation.Restart) { d.incarnations.RecordRemote(box, r) }, Logger: logger,
	})
	d.incarnations = incarnation.New(incarnation.Deps{
		List: d.directory, Started: clock.Now(), LinkFailed: d.paths.LinkFailed, Announce: d.restarts.Announce, Logger: logger,
		Alive: func(server routing.Incarnation, openedBefore, ranAfter time.Time) bool {
			return d.upstream.Carries(server.String(), openedBefore, ranAfter)
		},
		RunningSince: func(server routing.Incarnation, opened time.Time) (time.Time, bool) {
			return d.upstream.RunningSince(server.String(), opened)
		},
	})
	d.directory.OnRestoredEntry(d.incarnations.RecordRestoredEntry)
}
