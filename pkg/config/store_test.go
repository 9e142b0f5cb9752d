package config

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"headhill.example/headhill/pkg/objectstore"
	"headhill.example/headhill/pkg/objlog"
	standin "headhill.example/headhill/pkg/standin/objectstore"
)

func newTestStore(p *standin.Server) *Store {
	return NewStore(p.Client(), "p", log.NewNopLogger())
}

func acceptedClass(name string) AcceptedChange {
	return AcceptedChange{Operator: "op", Change: Change{Classes: []Class{{Name: name, Tier: 1, Floor: 0.01, FloorPlaces: 1}}}}
}

func confirm(t *testing.T, s *Store, id string) uint64 {
	t.Helper()
	g, err := s.Confirm(t.Context(), id, s.Current().Generation, acceptedClass(id))
	require.NoError(t, err)
	return g
}

func TestConcurrentPlansConflict(t *testing.T) {
	p := standin.New()
	a, b := newTestStore(p), newTestStore(p)
	g, err := a.Confirm(t.Context(), "plan-a", 0, acceptedClass("a"))
	require.NoError(t, err)
	require.Equal(t, uint64(1), g)
	_, err = b.Confirm(t.Context(), "plan-b", 0, acceptedClass("b"))
	var raced *ConflictError
	require.ErrorAs(t, err, &raced)
	require.NoError(t, a.Refresh(t.Context()))
	_, exists := a.Current().Class("b")
	require.False(t, exists, "the conflicting plan was applied")
}

func TestConfirmIsIdempotent(t *testing.T) {
	p := standin.New()
	a, b := newTestStore(p), newTestStore(p)
	first := confirm(t, a, "plan")
	confirm(t, a, "later")
	again, err := b.Confirm(t.Context(), "plan", 0, acceptedClass("plan"))
	require.NoError(t, err)
	require.Equal(t, first, again)
	require.Equal(t, uint64(2), b.Current().Generation)
}

func TestConfirmSucceedsWhenResponsesAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New()
		s := newTestStore(p)
		p.SetFaults(standin.Faults{DropWriteResponses: 2})
		require.Equal(t, uint64(1), confirm(t, s, "plan"))
	})
}

func TestConfirmFailsDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New()
		s := newTestStore(p)
		require.NoError(t, s.Refresh(t.Context()))
		p.SetFaults(standin.Faults{Down: true})
		_, err := s.Confirm(t.Context(), "plan", 0, acceptedClass("a"))
		require.True(t, objectstore.IsUnavailable(err), "%v", err)
		p.SetFaults(standin.Faults{})
		require.Equal(t, uint64(1), confirm(t, s, "plan"))
	})
}

func TestNeverRevertsOnARestoredPlatform(t *testing.T) {
	p := standin.New()
	s := newTestStore(p)
	confirm(t, s, "a")
	backup := p.Snapshot()
	confirm(t, s, "b")
	p.Restore(backup)
	require.True(t, objlog.IsStaleLog(s.Refresh(t.Context())))
	require.Error(t, s.StaleLogErr())
	_, exists := s.Current().Class("b")
	require.True(t, exists, "an accepted change was lost")
	_, err := s.Confirm(t.Context(), "c", 2, acceptedClass("c"))
	require.True(t, objlog.IsStaleLog(err), "%v", err)
}

// A box that got newer entries from a peer than a stale platform returns must keep
// them, and must not append to the old log.
func TestPeerEntriesSurviveAStalePlatform(t *testing.T) {
	p := standin.New()
	ahead := newTestStore(p)
	confirm(t, ahead, "a")
	p.SetFaults(standin.Faults{Stale: true})
	confirmWithoutFaults := func(id string) {
		p.SetFaults(standin.Faults{})
		confirm(t, ahead, id)
	}
	behind := newTestStore(p)
	require.NoError(t, behind.Refresh(t.Context()))
	oldLog := p.Snapshot()
	confirmWithoutFaults("b")
	entries, ok := ahead.EntriesSince(1)
	require.True(t, ok)
	for _, e := range entries {
		require.NoError(t, behind.ApplyEntry(e))
	}
	p.Restore(oldLog)
	require.True(t, objlog.IsStaleLog(behind.Refresh(t.Context())))
	require.Equal(t, uint64(2), behind.Current().Generation)
	_, err := behind.Confirm(t.Context(), "c", 2, acceptedClass("c"))
	require.True(t, objlog.IsStaleLog(err), "%v", err)
}

func TestApplyEntryRejectsGapsAndIgnoresDuplicates(t *testing.T) {
	p := standin.New()
	from, to := newTestStore(p), newTestStore(p)
	for i := range 3 {
		confirm(t, from, fmt.Sprint("p", i))
	}
	entries, _ := from.EntriesSince(0)
	require.Error(t, to.ApplyEntry(entries[2]), "applying an entry after a gap must fail")
	for _, e := range append(entries, entries...) {
		require.NoError(t, to.ApplyEntry(e))
	}
	require.Equal(t, from.Current().Classes(), to.Current().Classes())
}

func TestLongLogIsFolded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New()
		s := newTestStore(p)
		confirm(t, s, "c")
		for i := range 1500 {
			o := Organisation{Name: fmt.Sprint("o", i), Class: "c"}
			g, err := s.Confirm(t.Context(), fmt.Sprint("p", i), uint64(i+1), AcceptedChange{Change: Change{Organisations: []Organisation{o}}})
			require.NoError(t, err)
			require.Equal(t, uint64(i+2), g)
		}
		time.Sleep(time.Minute)
		entries, err := p.Client().List(t.Context(), "p/config/")
		require.NoError(t, err)
		require.Less(t, len(entries), 2*objlog.MinSegmentsToCompact)
		fresh := newTestStore(p)
		require.NoError(t, fresh.Refresh(t.Context()))
		require.Equal(t, s.Current().Generation, fresh.Current().Generation)
		require.Equal(t, s.Current().Export(), fresh.Current().Export())
	})
}

// historyStep is one step of a generated history of three boxes.
type historyStep struct {
	Kind   string
	Box    int
	From   int
	Faults standin.Faults
}

// Under any sequence of lost responses, stale reads, outages, pulls from peers and
// restarts, no accepted generation may be lost and all boxes must converge.
func TestAcceptedGenerationsAreNotLost(t *testing.T) {
	gen := rapid.Custom(func(t *rapid.T) historyStep {
		return historyStep{
			Kind: rapid.SampledFrom([]string{"confirm", "confirm", "refresh", "pull", "restart", "faults", "heal"}).Draw(t, "kind"),
			Box:  rapid.IntRange(0, 2).Draw(t, "box"),
			From: rapid.IntRange(0, 2).Draw(t, "from"),
			Faults: standin.Faults{
				Down:               rapid.IntRange(0, 4).Draw(t, "down") == 0,
				Stale:              rapid.IntRange(0, 2).Draw(t, "stale") == 0,
				DropWriteResponses: rapid.IntRange(0, 2).Draw(t, "lose"),
			},
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(gen, 1, 60).Draw(rt, "steps")
		p := standin.New()
		boxes := []*Store{newTestStore(p), newTestStore(p), newTestStore(p)}
		accepted := map[uint64]string{}
		problem := ""
		synctest.Test(t, func(*testing.T) {
			for i, st := range steps {
				s := boxes[st.Box]
				before := s.Current().Generation
				ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
				switch st.Kind {
				case "confirm":
					id := fmt.Sprint("p", i)
					if g, err := s.Confirm(ctx, id, before, acceptedClass(id)); err == nil {
						if accepted[g] != "" {
							problem = fmt.Sprintf("generation %d was assigned to both %s and %s", g, accepted[g], id)
						}
						accepted[g] = id
					}
				case "refresh":
					_ = s.Refresh(ctx)
				case "pull":
					if entries, ok := boxes[st.From].EntriesSince(before); ok {
						for _, e := range entries {
							_ = s.ApplyEntry(e)
						}
					}
				case "restart":
					boxes[st.Box] = newTestStore(p)
				case "faults":
					p.SetFaults(st.Faults)
				case "heal":
					p.SetFaults(standin.Faults{})
				}
				cancel()
				if now := boxes[st.Box].Current().Generation; st.Kind != "restart" && now < before {
					problem = fmt.Sprintf("box reverted from generation %d to %d", before, now)
				}
			}
			p.SetFaults(standin.Faults{})
			for _, s := range boxes {
				if err := s.Refresh(context.Background()); err != nil {
					problem = err.Error()
				}
			}
		})
		require.Empty(rt, problem)
		for _, s := range boxes {
			require.Equal(rt, boxes[0].Current().Classes(), s.Current().Classes())
		}
		for g, id := range accepted {
			_, exists := boxes[0].Current().Class(id)
			require.True(rt, exists, "plan %s was accepted as generation %d but is missing", id, g)
		}
	})
}

func TestKeyMovesBetweenOrganisations(t *testing.T) {
	hash := HashKey("secret")
	s := NewState().Apply(Change{Organisations: []Organisation{{Name: "b", KeyHashes: []string{hash}}}})
	s = s.Apply(Change{Organisations: []Organisation{{Name: "a", KeyHashes: []string{hash}}, {Name: "b"}}})
	o, ok := s.OrganisationByKey("secret")
	require.True(t, ok)
	require.Equal(t, "a", o.Name)
	_, ok = s.OrganisationByKey("other")
	require.False(t, ok)
}

func TestLargeServicesAreSplitByHall(t *testing.T) {
	var c Change
	c.Services = []Service{{Name: "s", Kind: ServiceKindEngine}}
	for i := range 200 {
		c.Servers = append(c.Servers, Server{Name: fmt.Sprint("v", i), Service: "s", Hall: fmt.Sprint("h", i%2), Address: fmt.Sprintf("10.0.0.1:%d", i+1)})
	}
	st := NewState().Apply(c)
	total := 0
	for _, sh := range st.Shards() {
		require.LessOrEqual(t, len(sh.Servers), 64)
		require.NotEmpty(t, sh.Hall)
		total += len(sh.Servers)
	}
	require.Equal(t, 200, total)
}
