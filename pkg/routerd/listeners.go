package routerd

import (
	"net"

	"github.com/samber/oops"
)

func (d *Daemon) listen(l ListenSettings) error {
	for _, p := range []struct {
		key, address string
		dst          *net.Listener
	}{{"caller", l.Caller, &d.callerListener}, {"ready", l.Ready, &d.readyListener}, {"metrics", l.Metrics, &d.metricsListener}} {
		listener, err := net.Listen("tcp", p.address)
		if err != nil {
			d.closeListeners()
			return oops.In("routerd").With("key", p.key).Wrapf(err, "port [listen] %s = %s can't be opened: free the port or set another address", p.key, p.address)
		}
		*p.dst = listener
	}
	if err := d.listenPeer(l.Peer); err != nil {
		d.closeListeners()
		return oops.In("routerd").With("key", "peer").Wrapf(err, "port [listen] peer = %s can't be opened for UDP and TCP: free the port or set another address", l.Peer)
	}
	return nil
}

func (d *Daemon) closeListeners() {
	for _, l := range []net.Listener{d.callerListener, d.readyListener, d.metricsListener, d.snapshotListener} {
		if l != nil {
			l.Close()
		}
	}
}
