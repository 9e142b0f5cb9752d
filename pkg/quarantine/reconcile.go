package quarantine

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/clock"
)

// ObserveEra schedules a comparison of the record with the ledger, as the store was restored from an
// older copy: it may lack held requests and list released ones. The boxes do so at random times, and
// the first one repairs the record.
func (p *Persister) ObserveEra() {
	if p.Ledger.Empty() {
		return
	}
	p.scheduleReconcile(clock.Now().Add(remoteWriteDelay + rand.N(remoteWriteSpread)))
}

func (p *Persister) scheduleReconcile(at time.Time) {
	p.mu.Lock()
	p.reconcileAt = at
	p.mu.Unlock()
	p.signal()
}

// reconcileIfDue makes the comparison if it is due.
func (p *Persister) reconcileIfDue(ctx context.Context, now time.Time) {
	p.mu.Lock()
	due := !p.reconcileAt.IsZero() && !now.Before(p.reconcileAt)
	if due {
		p.reconcileAt = time.Time{}
	}
	p.mu.Unlock()
	if !due {
		return
	}
	if err := p.reconcile(ctx); err != nil {
		_ = level.Info(p.Logger).Log("msg", "comparing the record of held requests failed", "err", err, "outcome", "retrying")
		p.scheduleReconcile(clock.Now().Add(retryDelay + rand.N(retryDelay)))
	}
}

func (p *Persister) reconcile(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	var conflict *ConflictError
	for range maxConflicts {
		err := p.tryReconcile(ctx)
		if !errors.As(err, &conflict) {
			return err
		}
	}
	return conflict
}

func (p *Persister) tryReconcile(ctx context.Context) error {
	s, err := p.Store.Read(ctx)
	if err != nil {
		return err
	}
	repaired, added, removed := p.repairRecord(s.Record)
	suspects := p.Ledger.suspectsWorthSaving()
	list, differs := p.updateSuspects(s.Record.Suspects, suspects, time.Now())
	if added+removed == 0 && !differs {
		return nil
	}
	repaired.Suspects = list
	if err := p.Store.Write(ctx, repaired, s.Revision); err != nil {
		return err
	}
	p.markSaved(list, suspects)
	_ = level.Info(p.Logger).Log("msg", "record of held requests repaired after a restore", "added", added, "removed", removed, "held", len(repaired.Held), "suspects", len(list), "revision", s.Revision)
	return nil
}

// repairRecord returns the held requests of the record with those that the ledger holds and without those that it has
// released. Requests that the ledger does not know are kept.
func (p *Persister) repairRecord(r Record) (repaired Record, added, removed int) {
	listed := make(map[Fingerprint]bool)
	for _, h := range r.Held {
		f, ok := h.fingerprint()
		if item, known := p.Ledger.Item(f); ok && known && !item.verdict().Held {
			removed++
			continue
		}
		listed[f] = true
		repaired.Held = append(repaired.Held, h)
	}
	for _, item := range p.Ledger.heldItems() {
		if !listed[item.Fingerprint] {
			added++
			repaired.Held = append(repaired.Held, heldRequest(&item, item.verdict().Trials))
		}
	}
	repaired.Held = slices.Clip(repaired.Held[max(0, len(repaired.Held)-maxHeld):])
	return repaired, added, removed
}
