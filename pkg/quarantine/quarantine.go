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

// Quarantine holds back requests that crash servers, and requests with parts of prompts that do, sharing its state
// with the other boxes.
type Quarantine struct {
	ledger    *Ledger
	gossiper  *Gossiper
	persister *Persister
	logger    log.Logger
	// onHeld cancels the requests in progress that are now held, or have a part that is.
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
	msg, part := "request held", ""
	if f.IsPart() {
		msg = "part held"
		if i, ok := q.ledger.Item(f); ok {
			part = i.Part
		}
	}
	_ = level.Warn(q.logger).Log("msg", msg, "request", f, "part", part, "ends", v.Crashes, "trials", v.Trials, "next_trial", clock.Until(v.NextTrial))
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

// Finding is the verdict that decides on a request.
type Finding struct {
	// Fingerprint is that of the request itself or of a part of its prompt.
	Fingerprint Fingerprint
	// Part is the ID of the part, "" for the request itself.
	Part string
	Verdict
}

// Find returns the verdict that decides on a request: the first one of itself and of the parts of its prompt that
// is held, else the one with most crashes. Most requests are not suspect and are not hashed.
func (q *Quarantine) Find(r *Request) Finding {
	var worst Finding
	if q.ledger.Empty() {
		return worst
	}
	if q.ledger.MaySuspect(OutlineOf(r)) {
		f := FingerprintOf(r)
		worst = Finding{Fingerprint: f, Verdict: q.ledger.Verdict(f)}
	}
	if !q.ledger.HasParts() {
		return worst
	}
	for n, f := range r.partFingerprints() {
		v := q.ledger.Verdict(f)
		if v.Held && !worst.Held || v.Held == worst.Held && v.Crashes > worst.Crashes {
			worst = Finding{Fingerprint: f, Part: r.Parts[n], Verdict: v}
		}
	}
	return worst
}

// RecordCrash records that a server crashed while it had a request of this box.
func (q *Quarantine) RecordCrash(r *Request, incarnation IncarnationHash, at time.Time) {
	life := q.ledger.lifeOf(incarnation, r.SentAt)
	q.ledger.RecordCrash(FingerprintOf(r), life, at)
	for n, f := range r.partFingerprints() {
		q.ledger.RecordPartCrash(f, r.Parts[n], n, life, at)
	}
}

// RecordSuccess records that a server responded to a request and stayed up. whole is set if the response is
// successful and complete, which acquits the parts of the prompt.
func (q *Quarantine) RecordSuccess(r *Request, whole bool, now time.Time) {
	if !q.ledger.Empty() && q.ledger.MaySuspect(OutlineOf(r)) {
		q.persister.RecordSuccess(FingerprintOf(r))
	}
	if !whole {
		return
	}
	for _, f := range r.partFingerprints() {
		q.persister.RecordSoundPart(f, now)
	}
}

// BeginTrial reports whether this box may send a held request as a trial now.
func (q *Quarantine) BeginTrial(ctx context.Context, f Fingerprint, now time.Time) bool {
	return q.persister.BeginTrial(ctx, f, now)
}

// Counts returns the number of suspected and of held requests.
func (q *Quarantine) Counts() map[string]int64 {
	suspects, held := q.ledger.Counts()
	return map[string]int64{"suspected": int64(suspects), "held": int64(held)}
}
