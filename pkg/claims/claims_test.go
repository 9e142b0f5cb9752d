package claims

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"headhill.example/headhill/pkg/callrate"
	"headhill.example/headhill/pkg/objectstore"
	standin "headhill.example/headhill/pkg/standin/objectstore"
)

// step is one step of a history of claims.
type step struct {
	Kind   string
	Home   int
	Key    int
	Faults standin.Faults
}

func genStep() *rapid.Generator[step] {
	return rapid.Custom(func(t *rapid.T) step {
		return step{
			Kind: rapid.SampledFrom([]string{"claim", "claim", "claim", "again", "done", "free", "restart", "faults", "heal"}).Draw(t, "kind"),
			Home: rapid.IntRange(0, 2).Draw(t, "home"),
			Key:  rapid.IntRange(0, 3).Draw(t, "key"),
			Faults: standin.Faults{
				Down:       rapid.IntRange(0, 5).Draw(t, "down") == 0,
				Stale:      rapid.IntRange(0, 3).Draw(t, "stale") == 0,
				LoseWrites: rapid.IntRange(0, 2).Draw(t, "lose"),
			},
		}
	})
}

// world is a few homes of one claim shard, as after views of the membership that
// differ, and what callers were told.
type world struct {
	platform *standin.Server
	homes    []*Coordinator
	n        int
	// last is the last attempt for a key, holder the one that was told Granted
	// and has not freed the key.
	last    map[int]string
	holder  map[int]string
	done    map[int]bool
	problem string
}

func newWorld() *world {
	w := &world{platform: standin.New(), last: map[int]string{}, holder: map[int]string{}, done: map[int]bool{}}
	for range 3 {
		w.homes = append(w.homes, w.newHome())
	}
	return w
}

func (w *world) newHome() *Coordinator {
	return NewCoordinator(w.platform.Client(), "p", 0, log.NewNopLogger())
}

func key(n int) Key { return KeyOf("o", fmt.Sprint("key", n)) }

func (w *world) do(s step) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	h := w.homes[s.Home]
	switch s.Kind {
	case "claim":
		w.n++
		w.last[s.Key] = fmt.Sprint("attempt", w.n)
		w.claim(ctx, h, s.Key, w.last[s.Key])
	case "again":
		// The same attempt asks another home, as when an answer was lost.
		if w.last[s.Key] != "" {
			w.claim(ctx, h, s.Key, w.last[s.Key])
		}
	case "done":
		if a := w.holder[s.Key]; a != "" && h.End(ctx, key(s.Key), a, false) == nil {
			w.done[s.Key] = true
		}
	case "free":
		if a := w.holder[s.Key]; a != "" && !w.done[s.Key] {
			// Whoever frees an attempt's key never uses the attempt again, whether
			// the answer arrives or not.
			_ = h.End(ctx, key(s.Key), a, true)
			delete(w.holder, s.Key)
			delete(w.last, s.Key)
		}
	case "restart":
		w.homes[s.Home] = w.newHome()
	case "faults":
		w.platform.SetFaults(s.Faults)
	case "heal":
		w.platform.SetFaults(standin.Faults{})
	}
}

func (w *world) claim(ctx context.Context, h *Coordinator, k int, attempt string) {
	r, err := h.Claim(ctx, key(k), attempt)
	if err != nil || r.State != Granted {
		return
	}
	if other := w.holder[k]; other != "" && other != attempt {
		w.problem = fmt.Sprintf("key %d was given to %s while %s has it", k, attempt, other)
	}
	w.holder[k] = attempt
}

// No history of homes that come and go, lost answers, stale reads and outages
// gives one key to two attempts.
func TestKeyIsGrantedToOneAttempt(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(genStep(), 1, 80).Draw(rt, "steps")
		w := newWorld()
		synctest.Test(t, func(*testing.T) {
			for _, s := range steps {
				w.do(s)
			}
			// Whatever a home has under way ends within its bound.
			time.Sleep(10 * time.Second)
		})
		require.Empty(rt, w.problem)
	})
}

// holding is a transport that holds one write back until told.
type holding struct {
	next http.RoundTripper
	hold func()
}

func (h *holding) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodPut && h.hold != nil {
		hold := h.hold
		h.hold = nil
		hold()
	}
	return h.next.RoundTrip(r)
}

// A home that is frozen in mid-append, and resumed after another home took the
// key, must not give it out.
func TestCoordinatorPausedMidAppendDoesNotGrantTakenKey(t *testing.T) {
	ctx := t.Context()
	p := standin.New()
	tr := &holding{next: p.Transport()}
	frozen := NewCoordinator(objectstore.NewClientOver(tr, "http://platform", "", callrate.Default), "p", 0, log.NewNopLogger())
	other := NewCoordinator(p.Client(), "p", 0, log.NewNopLogger())
	tr.hold = func() {
		r, err := other.Claim(ctx, key(1), "other")
		require.NoError(t, err)
		require.Equal(t, Granted, r.State)
	}
	r, err := frozen.Claim(ctx, key(1), "frozen")
	require.NoError(t, err)
	require.Equal(t, Taken, r.State)
}

// A box whose home did not answer claims by itself, for the same attempt. The home may
// have recorded that claim all the same: the other claims of the box's batch are not
// recorded by that.
func TestClaimRecordedElsewhereDoesNotCommitItsBatch(t *testing.T) {
	ctx := t.Context()
	p := standin.New()
	home, stale, third := NewCoordinator(p.Client(), "p", 0, log.NewNopLogger()), NewCoordinator(p.Client(), "p", 0, log.NewNopLogger()), NewCoordinator(p.Client(), "p", 0, log.NewNopLogger())
	_, err := stale.Claim(ctx, key(9), "loads the log")
	require.NoError(t, err)
	r, err := home.Claim(ctx, key(1), "first")
	require.NoError(t, err)
	require.Equal(t, Granted, r.State)

	claim := func(k Key, attempt string) *operation {
		return &operation{ctx: ctx, rec: record{Op: opClaim, Key: k, Attempt: attempt, At: time.Now()}, done: make(chan operationResult, 1)}
	}
	batch := []*operation{claim(key(1), "first"), claim(key(2), "second")}
	require.NoError(t, stale.append(batch))
	for _, op := range batch {
		got := <-op.done
		require.NoError(t, got.err)
		require.Equal(t, Granted, got.State)
	}
	r, err = third.Claim(ctx, key(2), "third")
	require.NoError(t, err)
	require.Equal(t, Taken, r.State, "the second attempt has it and may run")
}

// During an outage the first caller waits for the platform at most appendTimeout,
// the following ones get their final answer at once.
func TestClaimsFailFastDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New()
		h := NewCoordinator(p.Client(), "p", 0, log.NewNopLogger())
		p.SetFaults(standin.Faults{Down: true})
		began := time.Now()
		_, err := h.Claim(t.Context(), key(1), "a")
		var unavailable *UnavailableError
		require.ErrorAs(t, err, &unavailable)
		require.LessOrEqual(t, time.Since(began), appendTimeout)
		began = time.Now()
		_, err = h.Claim(t.Context(), key(2), "b")
		require.ErrorAs(t, err, &unavailable)
		require.Zero(t, time.Since(began))
		p.SetFaults(standin.Faults{})
		time.Sleep(pauseAfterFailure)
		r, err := h.Claim(t.Context(), key(2), "b")
		require.NoError(t, err)
		require.Equal(t, Granted, r.State)
	})
}

// Many claims at once share few writes.
func TestConcurrentClaimsAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New()
		p.SetFaults(standin.Faults{Delay: 5 * time.Millisecond})
		h := NewCoordinator(p.Client(), "p", 0, log.NewNopLogger())
		done := make(chan error, 100)
		for i := range 100 {
			go func() {
				r, err := h.Claim(t.Context(), key(i), fmt.Sprint("a", i))
				if err == nil && r.State != Granted {
					err = fmt.Errorf("state %d", r.State)
				}
				done <- err
			}()
		}
		for range 100 {
			require.NoError(t, <-done)
		}
		calls, _ := p.Calls()
		require.LessOrEqual(t, calls.Writes, uint64(10))
	})
}

// Of many callers that send one key at once to one home, one may run.
func TestConcurrentClaimsOfOneKeyGrantOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New()
		p.SetFaults(standin.Faults{Delay: 5 * time.Millisecond})
		h := NewCoordinator(p.Client(), "p", 0, log.NewNopLogger())
		states := make(chan State, 50)
		// A write under way gathers the callers into one batch.
		go func() { _, _ = h.Claim(t.Context(), key(2), "first") }()
		synctest.Wait()
		for i := range 50 {
			go func() {
				r, _ := h.Claim(t.Context(), key(1), fmt.Sprint("a", i))
				states <- r.State
			}()
		}
		granted := 0
		for range 50 {
			if <-states == Granted {
				granted++
			}
		}
		require.Equal(t, 1, granted)
	})
}

func FuzzRecord(f *testing.F) {
	f.Add([]byte(`{"op":"claim","key":"000102030405060708090a0b0c0d0e0f","attempt":"a"}`))
	f.Add([]byte(`{"op":"done","key":"00","attempt":""}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		x := newIndex()
		_ = x.Restore(0, [][]byte{data})
		require.LessOrEqual(t, len(x.entries), len(data))
	})
}
