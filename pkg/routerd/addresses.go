package routerd

// CallerAddress returns the address at which callers connect.
func (d *Daemon) CallerAddress() string { return d.callerListener.Addr().String() }

// ReadyAddress returns the address of the readiness endpoint.
func (d *Daemon) ReadyAddress() string { return d.readyListener.Addr().String() }

// PeerAddress returns the address for datagrams and snapshot requests of other boxes.
func (d *Daemon) PeerAddress() string { return d.peerConn.LocalAddr().String() }

// MetricsAddress returns the address of the metrics endpoint.
func (d *Daemon) MetricsAddress() string { return d.metricsListener.Addr().String() }
