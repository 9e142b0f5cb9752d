package incarnation

import (
	"context"
	"math"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/datagram"
	"headhill.example/headhill/pkg/incarnation/incarnationpb"
	"headhill.example/headhill/pkg/pause"
)

const (
	// datagramKind is the kind of the datagrams of this package.
	datagramKind = "restarts"
	// sends is how often a restart is sent, as datagrams may be lost.
	sends = 3
	// sendBurst is the number of datagrams to each box that are sent without delay. Further ones wait for
	// sendIntervalPerPeer times the number of boxes, which bounds what each box receives whatever their number.
	sendBurst           = 6
	sendIntervalPerPeer = 5 * time.Millisecond
	// sendPause is the pause after a datagram to each box, in which further restarts are collected.
	sendPause = 20 * time.Millisecond
	// maxRestarts limits the restarts of a datagram, maxPending those that wait to be sent.
	maxRestarts = 64
	maxPending  = 1024
	// maxAge is the age from which on a restart is not taken from another box.
	maxAge = 10 * time.Second
)

// ExchangeDeps are the dependencies of an Exchange.
type ExchangeDeps struct {
	Port *datagram.Port
	// Peers returns the addresses of the other boxes.
	Peers func() []*net.UDPAddr
	// Receive is called with each restart that another box has noticed.
	Receive func(box string, r Restart)
	Logger  log.Logger
}

// Exchange informs other boxes of restarts.
type Exchange struct {
	ExchangeDeps
	wake chan struct{}

	mu      sync.Mutex
	pending map[string]pendingRestart
}

// pendingRestart is a restart with the number of times that it is still to be sent.
type pendingRestart struct {
	Restart
	sends int
}

// NewExchange returns an exchange and registers it for messages on the port.
func NewExchange(d ExchangeDeps) *Exchange {
	e := &Exchange{ExchangeDeps: d, wake: make(chan struct{}, 1), pending: make(map[string]pendingRestart)}
	d.Port.Handle(datagramKind, e.receive)
	return e
}

// Announce informs the other boxes of a restart. It does not block.
func (e *Exchange) Announce(r Restart) {
	e.mu.Lock()
	if before, ok := e.pending[r.Server]; ok {
		r.Certain, r.Idle = r.Certain || before.Certain, r.Idle || before.Idle
		r.At = earlier(r.At, before.At)
	}
	if len(e.pending) < maxPending {
		e.pending[r.Server] = pendingRestart{r, sends}
	}
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Run sends what is announced until ctx is done.
func (e *Exchange) Run(ctx context.Context) {
	allowance, last := float64(sendBurst), clock.Now()
	for ctx.Err() == nil {
		peers, batch := e.Peers(), e.next()
		if len(batch) == 0 || len(peers) == 0 {
			select {
			case <-ctx.Done():
			case <-e.wake:
			}
			continue
		}
		interval := time.Duration(len(peers)) * sendIntervalPerPeer
		now := clock.Now()
		allowance = min(sendBurst, allowance+float64(now.Sub(last))/float64(interval))
		last = now
		if allowance < 1 {
			pause.For(ctx, time.Duration((1-allowance)*float64(interval)))
		}
		allowance--
		e.send(batch, peers)
		pause.For(ctx, sendPause)
	}
}

// next returns restarts to send.
func (e *Exchange) next() []Restart {
	e.mu.Lock()
	defer e.mu.Unlock()
	var batch []Restart
	for id, p := range e.pending {
		if len(batch) == maxRestarts {
			break
		}
		batch = append(batch, p.Restart)
		if p.sends--; p.sends == 0 {
			delete(e.pending, id)
			continue
		}
		e.pending[id] = p
	}
	return batch
}

func (e *Exchange) send(batch []Restart, peers []*net.UDPAddr) {
	now := clock.Now()
	m := &incarnationpb.Restarts{}
	for _, r := range batch {
		m.Restarts = append(m.Restarts, &incarnationpb.Restart{Server: r.Server, AgeMs: ageMS(r.At, now), Certain: r.Certain, ConnectionAgeMs: ageMS(r.Opened, now), Idle: r.Idle})
	}
	body, err := proto.Marshal(m)
	if err != nil || !e.Port.Send(datagramKind, body, peers...) {
		_ = level.Warn(e.Logger).Log("msg", "sending restarts of servers failed", "restarts", len(batch), "bytes", len(body), "err", err)
	}
}

// ageMS returns the milliseconds since a time, 0 if it is zero.
func ageMS(t, now time.Time) uint32 {
	if t.IsZero() {
		return 0
	}
	return uint32(min(max(1, now.Sub(t).Milliseconds()), math.MaxUint32))
}

// receive handles a message of another box. It must not block.
func (e *Exchange) receive(m datagram.Message) {
	p := &incarnationpb.Restarts{}
	if err := proto.Unmarshal(m.Body, p); err != nil {
		_ = level.Debug(e.Logger).Log("msg", "restarts of servers dropped", "from", m.Box, "err", err)
		return
	}
	for _, r := range p.GetRestarts() {
		age := time.Duration(r.GetAgeMs()) * time.Millisecond
		if r.GetServer() != "" && age <= maxAge {
			restart := Restart{Server: r.GetServer(), At: m.Received.Add(-age), Certain: r.GetCertain(), Idle: r.GetIdle()}
			if opened := r.GetConnectionAgeMs(); opened > 0 {
				restart.Opened = m.Received.Add(-time.Duration(opened) * time.Millisecond)
			}
			e.Receive(m.Box, restart)
		}
	}
}
