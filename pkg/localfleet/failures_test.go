package localfleet

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc/pool"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/api"
	"headhill.example/headhill/pkg/callrate"
	"headhill.example/headhill/pkg/objectstore"
	"headhill.example/headhill/pkg/standin/engine"
	standin "headhill.example/headhill/pkg/standin/objectstore"
	"headhill.example/headhill/pkg/standin/service"
)

// ownerOf returns the index of the box that owns a shard.
func (f *Fleet) ownerOf(ctx context.Context, t *testing.T, shard string) int {
	t.Helper()
	owner := -1
	require.Eventually(t, func() bool {
		st, err := f.AdminClient(0).Status(ctx)
		if err != nil {
			return false
		}
		for _, b := range st.Boxes {
			for _, s := range b.Shards {
				if s.Shard == shard {
					owner = f.index(b.Box)
				}
			}
		}
		return owner >= 0
	}, 10*time.Second, 10*time.Millisecond)
	return owner
}

// owners returns, for each shard, the boxes that consider themselves its owner.
func (f *Fleet) owners(ctx context.Context) map[string][]string {
	m := make(map[string][]string)
	for i, b := range f.Boxes {
		for _, s := range b.Status(ctx) {
			if s.Box != f.names[i] {
				continue
			}
			for _, sh := range s.Shards {
				m[sh.Shard] = append(m[sh.Shard], s.Box)
			}
		}
	}
	return m
}

func (f *Fleet) index(name string) int {
	for i := range f.Boxes {
		if f.names[i] == name {
			return i
		}
	}
	return -1
}

// checkResponse returns an error unless resp is the complete response to content.
func checkResponse(resp Response, content string) error {
	want := strings.Join(engine.Answer(content, strings.Count(resp.Text, " ")), "")
	if resp.Complete && resp.Text == want && resp.Outcome == api.OutcomeDone {
		return nil
	}
	return fmt.Errorf("%s: status %d, outcome %q, text %q, error %+v", content, resp.Status, resp.Outcome, resp.Text, resp.Error)
}

// A call that must not be repeated must run at most once even if its box is killed, the
// caller retries at another box, and the platform loses responses.
func TestKeyedCallsRunOnceWhileBoxesAreKilled(t *testing.T) {
	for _, fences := range []bool{false, true} {
		t.Run(fmt.Sprint("fences=", fences), func(t *testing.T) { checkKeyedCallsWhileBoxesAreKilled(t, fences) })
	}
}

func checkKeyedCallsWhileBoxesAreKilled(t *testing.T, fences bool) {
	withFleet(t, func(o *Options) { o.Boxes, o.ChecksFences = 3, fences }, func(ctx context.Context, f *Fleet) {
		f.Service.SetFaults(service.Faults{Delay: 30 * time.Millisecond})
		f.Platform.SetFaults(standin.Faults{Delay: 10 * time.Millisecond, DropWriteResponses: 5})
		bases := []string{f.CallerURL(0), f.CallerURL(1), f.CallerURL(2)}
		p := pool.New()
		for i := range 60 {
			p.Go(func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				callUntilDefinite(ctx, bases, i)
			})
		}
		time.Sleep(300 * time.Millisecond)
		f.KillBox(0)
		p.Wait()
		runs := f.Service.AllRuns()
		for key, n := range runs {
			require.LessOrEqual(t, n, 1, "%s ran %d times", key, n)
		}
		require.Greater(t, len(runs), 50, "too few calls ran")
	})
}

// callUntilDefinite sends a keyed call and retries it at the next box while there is no
// response or the request was not run.
func callUntilDefinite(ctx context.Context, bases []string, i int) {
	h := http.Header{api.HeaderIdempotencyKey: {fmt.Sprint("key-", i)}}
	for attempt := range 8 {
		resp, err := Call(ctx, bases[(i+attempt)%len(bases)], "/x", nil, h)
		if err == nil && resp.Outcome != api.OutcomeNotRun {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Killing the owner of a shard must not affect responses to callers of other boxes.
func TestOwnerKilledDuringBurst(t *testing.T) {
	withFleet(t, func(o *Options) { o.Boxes = 3 }, func(ctx context.Context, f *Fleet) {
		owner := f.ownerOf(ctx, t, EngineService)
		var bases []string
		for i := range f.Boxes {
			if i != owner {
				bases = append(bases, f.CallerURL(i))
			}
		}
		p := pool.New().WithErrors()
		for i := range 150 {
			p.Go(func() error {
				time.Sleep(time.Duration(i) * 4 * time.Millisecond)
				content := fmt.Sprint("burst-", i)
				resp, err := Chat(ctx, bases[i%len(bases)], content, nil)
				if err != nil {
					return err
				}
				return checkResponse(resp, content)
			})
		}
		time.Sleep(300 * time.Millisecond)
		f.KillBox(owner)
		require.NoError(t, p.Wait())
	})
}

// gapRecorder records the longest time between two consecutive calls of record.
type gapRecorder struct {
	mu      sync.Mutex
	last    time.Time
	longest time.Duration
}

func (g *gapRecorder) record() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if !g.last.IsZero() {
		g.longest = max(g.longest, now.Sub(g.last))
	}
	g.last = now
}

// sendSteadily sends a short request every 10 ms until stop is closed, and records each
// successful response in g.
func sendSteadily(ctx context.Context, base string, stop <-chan struct{}, g *gapRecorder) error {
	p := pool.New().WithErrors()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return p.Wait()
		case <-time.After(10 * time.Millisecond):
		}
		p.Go(func() error {
			resp, err := Call(ctx, base, "/x", nil, nil)
			if err != nil {
				return err
			}
			if resp.Status != http.StatusOK {
				return fmt.Errorf("call %d: status %d %s", i, resp.Status, resp.Text)
			}
			g.record()
			return nil
		})
	}
}

// A shard must move immediately on a graceful stop, and after the failure timeout when its
// owner is killed. The limit is generous, and the longest gap is logged.
func TestGrantGapOnStopAndKill(t *testing.T) {
	for _, kill := range []bool{false, true} {
		t.Run(fmt.Sprint("kill=", kill), func(t *testing.T) {
			withFleet(t, func(o *Options) { o.Boxes = 3 }, func(ctx context.Context, f *Fleet) {
				owner := f.ownerOf(ctx, t, PlainService)
				other := (owner + 1) % len(f.Boxes)
				var g gapRecorder
				stop := make(chan struct{})
				done := make(chan error, 1)
				go func() { done <- sendSteadily(ctx, f.CallerURL(other), stop, &g) }()
				time.Sleep(300 * time.Millisecond)
				if kill {
					f.Boxes[owner].Kill()
				} else {
					f.Boxes[owner].Stop(ctx)
				}
				time.Sleep(3 * time.Second)
				close(stop)
				require.NoError(t, <-done)
				t.Logf("longest gap: %s", g.longest)
				require.Less(t, g.longest, 10*time.Second)
				f.RemoveBox(owner)
			})
		})
	}
}

// A graceful stop must not interrupt streams, waiting requests, or requests that arrive
// before the load balancer reacts.
func TestGracefulStopInterruptsNoRequest(t *testing.T) {
	withFleet(t, func(o *Options) { o.Slots = 4 }, func(ctx context.Context, f *Fleet) {
		base := f.CallerURL(0)
		p := pool.New().WithErrors()
		for i := range 60 {
			p.Go(func() error {
				content := fmt.Sprint("stop-", i)
				resp, err := Chat(ctx, base, content, nil)
				if err != nil {
					return err
				}
				return checkResponse(resp, content)
			})
		}
		time.Sleep(50 * time.Millisecond)
		f.Boxes[0].Stop(ctx)
		require.NoError(t, p.Wait())
		f.RemoveBox(0)
	})
}

// A leaving server must get no new requests after a few seconds, whichever source reports
// it, even if the platform is down and the owner is replaced.
func TestLeavingServerReceivesNoNewRequests(t *testing.T) {
	sources := map[string]func(ctx context.Context, t *testing.T, f *Fleet){
		"engine response": func(_ context.Context, _ *testing.T, f *Fleet) {
			f.Engines[0].SetFaults(engine.Faults{Leaving: true})
		},
		"platform box list": func(_ context.Context, _ *testing.T, f *Fleet) {
			f.Platform.SetBox(objectstore.Box{ID: "engine-1", State: objectstore.BoxLeaving})
			// Wait until the boxes have read the list.
			time.Sleep(3500 * time.Millisecond)
		},
		"accepted plan": func(ctx context.Context, t *testing.T, f *Fleet) {
			// The plan is applied at the box that is killed next, while the platform is down: an
			// accepted plan must not be lost.
			owner := f.ownerOf(ctx, t, EngineService)
			_, err := f.Apply(ctx, owner, fmt.Sprintf("[server engine-1]\nservice = %s\nhall = %s\naddress = %s\nslots = %d\nstate = leaving\n", EngineService, Hall, f.addresses[0], f.opts.Slots))
			require.NoError(t, err)
		},
	}
	for name, leave := range sources {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(o *Options) { o.Boxes = 3 }, func(ctx context.Context, f *Fleet) {
				leave(ctx, t, f)
				f.Platform.SetFaults(standin.Faults{Down: true})
				f.KillBox(f.ownerOf(ctx, t, EngineService))
				time.Sleep(3 * time.Second)
				before := f.Engines[0].Stats().Started
				for i := range 20 {
					content := fmt.Sprint("leaving-", i)
					resp, err := Chat(ctx, f.CallerURL(i%2), content, nil)
					require.NoError(t, err)
					require.NoError(t, checkResponse(resp, content))
				}
				require.Equal(t, before, f.Engines[0].Stats().Started, "leaving server received new requests")
			})
		})
	}
}

// During an outage of the platform requests must be served, keyed calls that must not be
// repeated must be rejected immediately, and a new box must get the configuration from its
// peers. Afterwards the fleet must recover within the call budget.
func TestPlatformOutage(t *testing.T) {
	withFleet(t, func(o *Options) { o.Boxes = 3 }, func(ctx context.Context, f *Fleet) {
		f.Platform.SetFaults(standin.Faults{Down: true})
		_, err := f.AddBox()
		require.NoError(t, err)
		require.NoError(t, f.WaitReady(ctx))
		require.NoError(t, f.WaitGeneration(ctx, 1))
		time.Sleep(time.Second)
		for shard, owners := range f.owners(ctx) {
			require.Len(t, owners, 1, "owners of %s", shard)
		}
		for i := range f.Boxes {
			content := fmt.Sprint("outage-", i)
			resp, err := Chat(ctx, f.CallerURL(i), content, nil)
			require.NoError(t, err)
			require.NoError(t, checkResponse(resp, content))
			resp, err = Call(ctx, f.CallerURL(i), "/x", nil, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, resp.Status, "call without a key failed during the outage: %s", resp.Text)
		}
		resp, err := Call(ctx, f.CallerURL(0), "/x", nil, http.Header{api.HeaderIdempotencyKey: {"k"}})
		require.NoError(t, err)
		require.Equal(t, api.OutcomeNotRun, resp.Outcome)
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
		require.Zero(t, f.Service.Runs("k"))

		f.Platform.SetFaults(standin.Faults{})
		before, _ := f.Platform.Calls()
		start := time.Now()
		var g uint64
		require.Eventually(t, func() bool {
			g, err = f.Apply(ctx, 3, "[class extra]\ntier = 2\nfirst-token = 1s\n")
			return err == nil
		}, 20*time.Second, 50*time.Millisecond)
		require.NoError(t, f.WaitGeneration(ctx, g))
		after, denied := f.Platform.Calls()
		seconds := time.Since(start).Seconds() + 1
		require.Zero(t, denied)
		require.Less(t, float64(after.Reads-before.Reads), callrate.DefaultBudget.ReadsPerSecond*seconds)
		require.Less(t, float64(after.Writes-before.Writes), callrate.DefaultBudget.WritesPerSecond*seconds)
		require.Eventually(t, func() bool {
			resp, err := Call(ctx, f.CallerURL(1), "/x", nil, http.Header{api.HeaderIdempotencyKey: {"k"}})
			return err == nil && resp.Status == http.StatusOK
		}, 20*time.Second, 100*time.Millisecond, "rejected key cannot be used again")
		require.Equal(t, 1, f.Service.Runs("k"))
	})
}

// An accepted plan must be in force on every box within seconds, and on a box that starts
// after the platform was restored to an older state.
func TestAcceptedPlanIsInForceOnAllBoxes(t *testing.T) {
	withFleet(t, func(o *Options) { o.Boxes = 3 }, func(ctx context.Context, f *Fleet) {
		old := f.Platform.Snapshot()
		start := time.Now()
		g, err := f.Apply(ctx, 2, "[class extra]\ntier = 2\nfirst-token = 1s\n")
		require.NoError(t, err)
		require.NoError(t, f.WaitGeneration(ctx, g))
		t.Logf("generation in force on all boxes after %s", time.Since(start))
		require.Less(t, time.Since(start), 7*time.Second)
		f.Platform.Restore(old)
		_, err = f.AddBox()
		require.NoError(t, err)
		require.NoError(t, f.WaitReady(ctx))
		for _, b := range f.Boxes {
			require.GreaterOrEqual(t, b.Generation(), g)
		}
		_, err = f.Apply(ctx, 0, "[class more]\ntier = 2\nfirst-token = 1s\n")
		require.ErrorContains(t, err, "restored from a backup")
	})
}
