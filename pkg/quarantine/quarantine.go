package quarantine

import (
	"context"
	"net"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/sourcegraph/conc"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/datagram"
)

// Deps are what a Quarantine is built on.
type Deps struct {
	Port *datagram.Port
	// Peers are the addresses of the other boxes.
	Peers func() []*net.UDPAddr
	Store Store
	// Timeout bounds a call to the store.
	Timeout time.Duration
	Logger  log.Logger
}

// Quarantine is a box's part in keeping requests that crash servers away from them.
type Quarantine struct {
	ledger *Ledger
	sharer *Sharer
	keeper *Keeper
	logger log.Logger
	// onHeld ends the requests in progress that are held from now on.
	onHeld func(Fingerprint)
}

// New returns a quarantine that hears the port's messages from now on.
func New(d Deps) *Quarantine {
	q := &Quarantine{ledger: NewLedger(), logger: d.Logger, onHeld: func(Fingerprint) {}}
	q.sharer = NewSharer(SharerDeps{Port: d.Port, Peers: d.Peers, Ledger: q.ledger, Logger: d.Logger})
	q.keeper = NewKeeper(KeeperDeps{
		Store: d.Store, Ledger: q.ledger, Sharer: q.sharer, Logger: d.Logger, Timeout: d.Timeout,
		OnHeld: func(f Fingerprint) { go q.held(f) },
	})
	return q
}

// OnHeld sets who is told of each request that is held from now on. It is set before Run.
func (q *Quarantine) OnHeld(f func(Fingerprint)) { q.onHeld = f }

func (q *Quarantine) held(f Fingerprint) {
	v := q.ledger.Verdict(f)
	_ = level.Warn(q.logger).Log("msg", "request held", "request", f, "ends", v.Crashes, "trials", v.Trials, "next_trial", clock.Until(v.NextTrial))
	q.onHeld(f)
}

// Run shares and keeps what is known until ctx ends.
func (q *Quarantine) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { q.sharer.Run(ctx) })
	wg.Go(func() { q.keeper.Run(ctx) })
	wg.Wait()
}

// MaySuspect tells whether a request may be known: only then its fingerprint is worth the hash of
// its body.
func (q *Quarantine) MaySuspect(r *Request) bool {
	return !q.ledger.Empty() && q.ledger.MaySuspect(OutlineOf(r))
}

// Verdict says what is to be done with a request.
func (q *Quarantine) Verdict(f Fingerprint) Verdict { return q.ledger.Verdict(f) }

// RecordCrash notes that a life of a server ended under a request of this box.
func (q *Quarantine) RecordCrash(f Fingerprint, life IncarnationHash, at time.Time) {
	q.ledger.RecordCrash(f, life, at)
}

// RecordSuccess notes that a request was run to its end.
func (q *Quarantine) RecordSuccess(f Fingerprint) { q.keeper.RecordSuccess(f) }

// BeginTrial returns whether this box may try a held request now.
func (q *Quarantine) BeginTrial(ctx context.Context, f Fingerprint, now time.Time) bool {
	return q.keeper.BeginTrial(ctx, f, now)
}

// Counts is how many requests are suspected and how many are held, by these words.
func (q *Quarantine) Counts() map[string]int64 {
	suspects, held := q.ledger.Counts()
	return map[string]int64{"suspected": int64(suspects), "held": int64(held)}
}
