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

// step is one randomly generated operation on a cluster.
type step struct {
	Kind        string
	Coordinator int
	Key         int
	Faults      standin.Faults
}

func genStep() *rapid.Generator[step] {
	return rapid.Custom(func(t *rapid.T) step {
		return step{
			Kind:        rapid.SampledFrom([]string{"claim", "claim", "claim", "retry", "complete", "release", "restart", "faults", "heal"}).Draw(t, "kind"),
			Coordinator: rapid.IntRange(0, 2).Draw(t, "coordinator"),
			Key:         rapid.IntRange(0, 3).Draw(t, "key"),
			Faults: standin.Faults{
				Down:               rapid.IntRange(0, 5).Draw(t, "down") == 0,
				Stale:              rapid.IntRange(0, 3).Draw(t, "stale") == 0,
				DropWriteResponses: rapid.IntRange(0, 2).Draw(t, "lose writes"),
			},
		}
	})
}

// cluster is a claim shard with several coordinators, as when boxes disagree about the
// membership, and the results that its callers received.
type cluster struct {
	platform     *standin.Server
	coordinators []*Coordinator
	attempts     int
	// lastAttempt is the latest attempt for each key.
	lastAttempt map[int]string
	// holder is the attempt that was granted each key and has not released it.
	holder    map[int]string
	done      map[int]bool
	violation string
}

func newCluster() *cluster {
	c := &cluster{platform: standin.New(), lastAttempt: map[int]string{}, holder: map[int]string{}, done: map[int]bool{}}
	for range 3 {
		c.coordinators = append(c.coordinators, c.newCoordinator())
	}
	return c
}

func (c *cluster) newCoordinator() *Coordinator {
	return NewCoordinator(c.platform.Client(), "p", 0, log.NewNopLogger())
}

func testKey(n int) Key { return KeyOf("o", fmt.Sprint("key", n)) }

func (c *cluster) apply(s step) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	coord := c.coordinators[s.Coordinator]
	switch s.Kind {
	case "claim":
		c.attempts++
		c.lastAttempt[s.Key] = fmt.Sprint("attempt", c.attempts)
		c.claim(ctx, coord, s.Key, c.lastAttempt[s.Key])
	case "retry":
		// Claims again for the same attempt, as after a lost answer.
		if c.lastAttempt[s.Key] != "" {
			c.claim(ctx, coord, s.Key, c.lastAttempt[s.Key])
		}
	case "complete":
		if a := c.holder[s.Key]; a != "" && coord.End(ctx, testKey(s.Key), a, false) == nil {
			c.done[s.Key] = true
		}
	case "release":
		if a := c.holder[s.Key]; a != "" && !c.done[s.Key] {
			// A caller never reuses an attempt after trying to release its key, even if
			// the release failed.
			_ = coord.End(ctx, testKey(s.Key), a, true)
			delete(c.holder, s.Key)
			delete(c.lastAttempt, s.Key)
		}
	case "restart":
		c.coordinators[s.Coordinator] = c.newCoordinator()
	case "faults":
		c.platform.SetFaults(s.Faults)
	case "heal":
		c.platform.SetFaults(standin.Faults{})
	}
}

func (c *cluster) claim(ctx context.Context, coord *Coordinator, k int, attempt string) {
	r, err := coord.Claim(ctx, testKey(k), attempt)
	if err != nil || r.State != Granted {
		return
	}
	if other := c.holder[k]; other != "" && other != attempt {
		c.violation = fmt.Sprintf("key %d was granted to %s while %s holds it", k, attempt, other)
	}
	c.holder[k] = attempt
}

// Checks that a key is never granted to two attempts, in spite of coordinator restarts,
// lost answers, stale reads and outages.
func TestKeyIsGrantedToOneAttempt(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(genStep(), 1, 80).Draw(rt, "steps")
		c := newCluster()
		synctest.Test(t, func(*testing.T) {
			for _, s := range steps {
				c.apply(s)
			}
			// Wait for operations in flight, which end within their timeouts.
			time.Sleep(10 * time.Second)
		})
		require.Empty(rt, c.violation)
	})
}

// interceptTransport calls beforePut before it sends the next PUT request.
type interceptTransport struct {
	next      http.RoundTripper
	beforePut func()
}

func (t *interceptTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodPut && t.beforePut != nil {
		beforePut := t.beforePut
		t.beforePut = nil
		beforePut()
	}
	return t.next.RoundTrip(r)
}

// A coordinator that is paused before its write reaches the platform must not grant a
// key that another coordinator has granted meanwhile.
func TestCoordinatorPausedMidAppendDoesNotGrantTakenKey(t *testing.T) {
	ctx := t.Context()
	platform := standin.New()
	tr := &interceptTransport{next: platform.Transport()}
	paused := NewCoordinator(objectstore.NewClientWithTransport(tr, "http://platform", "", callrate.DefaultBudget), "p", 0, log.NewNopLogger())
	other := NewCoordinator(platform.Client(), "p", 0, log.NewNopLogger())
	tr.beforePut = func() {
		r, err := other.Claim(ctx, testKey(1), "other")
		require.NoError(t, err)
		require.Equal(t, Granted, r.State)
	}
	r, err := paused.Claim(ctx, testKey(1), "paused")
	require.NoError(t, err)
	require.Equal(t, Taken, r.State)
}

// A box records a claim itself if the shard's owner does not respond, although the owner
// may have recorded it. A conflict with that record must not be mistaken for a successful
// append of the whole batch.
func TestClaimRecordedElsewhereDoesNotCommitItsBatch(t *testing.T) {
	ctx := t.Context()
	platform := standin.New()
	first, stale, third := NewCoordinator(platform.Client(), "p", 0, log.NewNopLogger()), NewCoordinator(platform.Client(), "p", 0, log.NewNopLogger()), NewCoordinator(platform.Client(), "p", 0, log.NewNopLogger())
	_, err := stale.Claim(ctx, testKey(9), "load the log")
	require.NoError(t, err)
	r, err := first.Claim(ctx, testKey(1), "first")
	require.NoError(t, err)
	require.Equal(t, Granted, r.State)

	claim := func(k Key, attempt string) *operation {
		return &operation{ctx: ctx, rec: record{Op: opClaim, Key: k, Attempt: attempt, At: time.Now()}, done: make(chan operationResult, 1)}
	}
	batch := []*operation{claim(testKey(1), "first"), claim(testKey(2), "second")}
	require.NoError(t, stale.appendBatch(batch))
	for _, op := range batch {
		result := <-op.done
		require.NoError(t, result.err)
		require.Equal(t, Granted, result.State)
	}
	r, err = third.Claim(ctx, testKey(2), "third")
	require.NoError(t, err)
	require.Equal(t, Taken, r.State, "the second attempt already holds the key")
}

// During an outage the first claim fails within appendTimeout and the following ones
// fail immediately.
func TestClaimsFailFastDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := standin.New()
		c := NewCoordinator(platform.Client(), "p", 0, log.NewNopLogger())
		platform.SetFaults(standin.Faults{Down: true})
		start := time.Now()
		_, err := c.Claim(t.Context(), testKey(1), "a")
		var unavailable *UnavailableError
		require.ErrorAs(t, err, &unavailable)
		require.LessOrEqual(t, time.Since(start), appendTimeout)
		start = time.Now()
		_, err = c.Claim(t.Context(), testKey(2), "b")
		require.ErrorAs(t, err, &unavailable)
		require.Zero(t, time.Since(start))
		platform.SetFaults(standin.Faults{})
		time.Sleep(failFastPeriod)
		r, err := c.Claim(t.Context(), testKey(2), "b")
		require.NoError(t, err)
		require.Equal(t, Granted, r.State)
	})
}

// Concurrent claims must be batched into few writes.
func TestConcurrentClaimsAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := standin.New()
		platform.SetFaults(standin.Faults{Delay: 5 * time.Millisecond})
		c := NewCoordinator(platform.Client(), "p", 0, log.NewNopLogger())
		done := make(chan error, 100)
		for i := range 100 {
			go func() {
				r, err := c.Claim(t.Context(), testKey(i), fmt.Sprint("a", i))
				if err == nil && r.State != Granted {
					err = fmt.Errorf("state %d", r.State)
				}
				done <- err
			}()
		}
		for range 100 {
			require.NoError(t, <-done)
		}
		calls, _ := platform.Calls()
		require.LessOrEqual(t, calls.Writes, uint64(10))
	})
}

// Only one of many concurrent claims of a key at one coordinator may be granted.
func TestConcurrentClaimsOfOneKeyGrantOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := standin.New()
		platform.SetFaults(standin.Faults{Delay: 5 * time.Millisecond})
		c := NewCoordinator(platform.Client(), "p", 0, log.NewNopLogger())
		states := make(chan State, 50)
		// While this write is in flight, the following claims are batched.
		go func() { _, _ = c.Claim(t.Context(), testKey(2), "first") }()
		synctest.Wait()
		for i := range 50 {
			go func() {
				r, _ := c.Claim(t.Context(), testKey(1), fmt.Sprint("a", i))
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

// Restoring arbitrary snapshot data must not panic or create entries out of nothing.
func FuzzRecord(f *testing.F) {
	f.Add([]byte(`{"op":"claim","key":"000102030405060708090a0b0c0d0e0f","attempt":"a"}`))
	f.Add([]byte(`{"op":"done","key":"00","attempt":""}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		x := newIndex()
		_ = x.Restore(0, [][]byte{data})
		require.LessOrEqual(t, len(x.entries), len(data))
	})
}
