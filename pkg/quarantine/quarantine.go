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

// Deps are the dependencies of a Quarantine.
type Deps struct {
	Port *datagram.Port
	// Peers returns the addresses of the other boxes.
	Peers func() []*net.UDPAddr
	Store Store
	// Timeout limits each call to the store.
	Timeout time.Duration
	Logger  log.Logger
}

// Quarantine holds back requests that crash servers, sharing its state with the other boxes.
type Quarantine struct {
	ledger    *Ledger
	gossiper  *Gossiper
	persister *Persister
	logger    log.Logger
	// onHeld cancels the requests in progress that are now held.
	onHeld func(Fingerprint)
}

// New returns a quarantine and registers it for messages on the port.
func New(d Deps) *Quarantine {
	q := &Quarantine{ledger: NewLedger(), logger: d.Logger, onHeld: func(Fingerprint) {}}
	q.gossiper = NewGossiper(GossiperDeps{Port: d.Port, Peers: d.Peers, Ledger: q.ledger, Logger: d.Logger})
	q.persister = NewPersister(PersisterDeps{
		Store: d.Store, Ledger: q.ledger, Gossiper: q.gossiper, Logger: d.Logger, Timeout: d.Timeout,
		OnHeld: func(f Fingerprint) { go q.held(f) },
	})
	return q
}

// OnHeld sets the function that is called for each request that becomes held. It must be called before
// Run.
func (q *Quarantine) OnHeld(f func(Fingerprint)) { q.onHeld = f }

func (q *Quarantine) held(f Fingerprint) {
	v := q.ledger.Verdict(f)
	_ = level.Warn(q.logger).Log("msg", "request held", "request", f, "ends", v.Crashes, "trials", v.Trials, "next_trial", clock.Until(v.NextTrial))
	q.onHeld(f)
}

// Run exchanges evidence with other boxes and updates the store until ctx is done.
func (q *Quarantine) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { q.gossiper.Run(ctx) })
	wg.Go(func() { q.persister.Run(ctx) })
	wg.Wait()
}

// ObserveEra must be called when the store has been restored from an older copy.
func (q *Quarantine) ObserveEra() { q.persister.ObserveEra() }

// MaySuspect reports whether a request may be a suspect. If not, its fingerprint is not needed.
func (q *Quarantine) MaySuspect(r *Request) bool {
	return !q.ledger.Empty() && q.ledger.MaySuspect(OutlineOf(r))
}

// Verdict returns the verdict on a request.
func (q *Quarantine) Verdict(f Fingerprint) Verdict { return q.ledger.Verdict(f) }

// RecordCrash records that a server crashed while it had a request of this box.
func (q *Quarantine) RecordCrash(f Fingerprint, incarnation IncarnationHash, at time.Time) {
	q.ledger.RecordCrash(f, incarnation, at)
}

// RecordSuccess records that a request completed.
func (q *Quarantine) RecordSuccess(f Fingerprint) { q.persister.RecordSuccess(f) }

// BeginTrial reports whether this box may send a held request as a trial now.
func (q *Quarantine) BeginTrial(ctx context.Context, f Fingerprint, now time.Time) bool {
	return q.persister.BeginTrial(ctx, f, now)
}

// Counts returns the number of suspected and of held requests.
func (q *Quarantine) Counts() map[string]int64 {
	suspects, held := q.ledger.Counts()
	return map[string]int64{"suspected": int64(suspects), "held": int64(held)}
}
