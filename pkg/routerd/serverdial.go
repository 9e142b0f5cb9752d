package routerd

import (
	"context"
	"net"

	"github.com/go-kit/log"

	"headhill.example/headhill/pkg/serverpath"
	"headhill.example/headhill/pkg/upstream"
)

const (
	// tunnelDescriptorShare is the fraction of the file descriptors available to tunnels of other boxes,
	// each of which takes two.
	tunnelDescriptorShare = 0.1
	// tunnelLoadShare is the fraction of the requests that the box may hold from which on it opens no
	// tunnels for other boxes.
	tunnelLoadShare = 0.8
)

// dialServer returns the function that opens direct connections to servers.
func (a Adapter) dialServer() serverpath.DialFunc {
	if a.DialServer != nil {
		return a.DialServer
	}
	return upstream.DialDirect
}

// checkPath returns the function that checks new connections to servers over paths in doubt; nil if the platform has no
// request for that.
func (a Adapter) checkPath() func(context.Context, net.Conn) error {
	if a.PathCheck == nil {
		return nil
	}
	return func(ctx context.Context, c net.Conn) error { return upstream.CheckPath(ctx, c, a.PathCheck()) }
}

// openServerPaths creates the client of the servers.
func (d *Daemon) openServerPaths(a Adapter, hall string, logger log.Logger) {
	d.paths = serverpath.NewTracker(logger)
	d.serverDialer = serverpath.NewDialer(serverpath.Deps{
		Tracker: d.paths, Hall: hall, Direct: a.dialServer(), Timeout: serverDialTimeout, Peers: d.peerBoxes, HallOf: d.hallOfServer, MayRelay: d.mayRelay,
		OtherServer: d.otherServer, Logger: logger, Check: a.checkPath(),
	})
	d.upstream = upstream.NewClientWithDialer(d.serverDialer, a.Protocol.IDHeader())
	d.serverDialer.AddIdle = d.upstream.AddIdle
}

// peerBoxes returns the other boxes of the roster.
func (d *Daemon) peerBoxes() []serverpath.Peer {
	entries, self := d.roster.Entries(), d.settings.Load().Box.ID
	peers := make([]serverpath.Peer, 0, len(entries))
	for _, e := range entries {
		if e.Box != self {
			peers = append(peers, serverpath.Peer{Address: e.Peer, Hall: e.Hall})
		}
	}
	return peers
}

// isServer reports whether an address is that of a listed server.
func (d *Daemon) isServer(address string) bool {
	_, ok := d.directory.View().ServerAt(address)
	return ok
}

// retryDirect checks whether the link to the server at an address is back.
func (d *Daemon) retryDirect(address string) {
	if s, ok := d.directory.View().ServerAt(address); ok {
		d.serverDialer.RetryDirect(s.Incarnation().String(), address)
	}
}

// hallOfServer returns the hall of the server at an address, "" if it is unknown.
func (d *Daemon) hallOfServer(address string) string {
	s, _ := d.directory.View().ServerAt(address)
	return s.Hall
}

// mayRelay reports whether requests to servers of a hall may pass through boxes of another one. Requests share
// connections to servers, so while any request is limited to some regions, all pass through boxes of the server's region
// only: that of the box or of its caller need not be allowed.
func (d *Daemon) mayRelay(relayHall, serverHall string) bool {
	t := d.directory.View().Table
	return t == nil || !t.LimitsRegions() || d.regionOf(relayHall) == d.regionOf(serverHall)
}

// otherServer returns a server whose address is not the given one.
func (d *Daemon) otherServer(address string) (key, other string, ok bool) {
	s, ok := d.directory.View().AnyOther(address)
	return s.Incarnation().String(), s.Address, ok
}

// needsCapacity reports whether the box needs its capacity for its own callers.
func (d *Daemon) needsCapacity() bool {
	return float64(d.gateway.InProgress()) >= tunnelLoadShare*float64(d.gateway.Limits.MaxRequests)
}

// maxTunnels returns the limit on tunnels of other boxes.
func maxTunnels(l LimitSettings) int {
	return max(1, int(tunnelDescriptorShare*float64(l.Descriptors-reservedDescriptors)/2))
}
