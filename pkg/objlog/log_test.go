package objlog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"headhill.example/headhill/pkg/callrate"
	"headhill.example/headhill/pkg/objectstore"
	standin "headhill.example/headhill/pkg/standin/objectstore"
)

// memory is a reader that remembers everything it was given.
type memory struct {
	from uint64 // records up to here came in a snapshot
	ids  []string
}

func (m *memory) Restore(index uint64, parts [][]byte) error {
	m.from, m.ids = index, nil
	for _, p := range parts {
		var ids []string
		if err := json.Unmarshal(p, &ids); err != nil {
			return err
		}
		m.ids = append(m.ids, ids...)
	}
	return nil
}

func (m *memory) Apply(index uint64, r Record) error {
	if index != uint64(len(m.ids))+1 {
		return fmt.Errorf("record %d after %d", index, len(m.ids))
	}
	m.ids = append(m.ids, r.ID)
	return nil
}

func (m *memory) state(uint64) ([][]byte, bool) {
	b, _ := json.Marshal(m.ids)
	return [][]byte{b}, true
}

// client is one box's log.
type client struct {
	*Log
	memory *memory
}

func newClient(objects objectstore.Objects) *client {
	m := &memory{}
	l := New(objects, "p/log", m)
	l.limit = 400 // a few records a segment
	return &client{Log: l, memory: m}
}

func rec(id string) Record { return Record{ID: id, Data: json.RawMessage(`{"v":1}`)} }

// op is one step of a history: what box log does.
type op struct {
	Kind   string
	Log    int
	Faults standin.Faults
}

func genOp() *rapid.Generator[op] {
	return rapid.Custom(func(t *rapid.T) op {
		return op{
			Kind: rapid.SampledFrom([]string{"append", "append", "append", "refresh", "restart", "fold", "faults", "heal"}).Draw(t, "kind"),
			Log:  rapid.IntRange(0, 2).Draw(t, "log"),
			Faults: standin.Faults{
				Down:               rapid.IntRange(0, 5).Draw(t, "down") == 0,
				Stale:              rapid.IntRange(0, 3).Draw(t, "stale") == 0,
				DropWriteResponses: rapid.IntRange(0, 2).Draw(t, "lose"),
			},
		}
	})
}

// run is a history under way.
type run struct {
	platform *standin.Server
	logs     []*client
	said     map[string]uint64 // appended, at which index
	refused  map[string]bool
	n        int
}

func newRun() *run {
	r := &run{platform: standin.New(), said: map[string]uint64{}, refused: map[string]bool{}}
	for range 3 {
		r.logs = append(r.logs, newClient(r.platform.Client()))
	}
	return r
}

func (r *run) do(o op) {
	// The bound of a home's or a confirmation's patience, in virtual time.
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	l := r.logs[o.Log]
	switch o.Kind {
	case "append":
		r.append(ctx, l)
	case "refresh":
		_ = l.Refresh(ctx)
	case "restart":
		r.logs[o.Log] = newClient(r.platform.Client())
	case "fold":
		_ = l.Compact(ctx, l.memory.state)
	case "faults":
		r.platform.SetFaults(o.Faults)
	case "heal":
		r.platform.SetFaults(standin.Faults{})
	}
}

func (r *run) append(ctx context.Context, l *client) {
	r.n++
	id, at := fmt.Sprint("r", r.n), l.NextIndex()
	err := l.Append(ctx, at, []Record{rec(id)})
	switch {
	case err == nil:
		r.said[id] = at
	case !objectstore.IsUnknownOutcome(err):
		r.refused[id] = true
	}
}

// TestAppendsAreExact drives several boxes' logs through random appends, lost
// answers, stale reads, outages and folds. An append that succeeded stands once,
// at its index; one that was refused stands nowhere; all boxes read the same.
func TestAppendsAreExact(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ops := rapid.SliceOfN(genOp(), 1, 80).Draw(rt, "ops")
		r := newRun()
		var errs []error
		fresh := newClient(r.platform.Client())
		synctest.Test(t, func(*testing.T) {
			for _, o := range ops {
				r.do(o)
			}
			r.platform.SetFaults(standin.Faults{})
			for _, l := range append(r.logs, fresh) {
				errs = append(errs, l.Refresh(context.Background()))
			}
		})
		for i, l := range r.logs {
			require.NoError(rt, errs[i])
			require.Equal(rt, fresh.memory.ids, l.memory.ids)
		}
		where := make(map[string]int)
		for i, id := range fresh.memory.ids {
			require.Zero(rt, where[id], "%s stands twice", id)
			require.False(rt, r.refused[id], "%s was refused and stands", id)
			where[id] = i + 1
		}
		for id, at := range r.said {
			require.Equal(rt, int(at), where[id], "%s", id)
		}
	})
}

// gate holds requests back, so that a writer is paused in mid-append.
type gate struct {
	next http.RoundTripper
	// hold, when set, is called before a write is passed on; late says that it is
	// passed on although its writer was told that the connection broke.
	hold func()
	late bool
	kept []*http.Request
}

func (g *gate) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodPut && g.hold != nil {
		hold := g.hold
		g.hold = nil
		hold()
	}
	if r.Method == http.MethodPut && g.late {
		g.late = false
		httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
		g.kept = append(g.kept, r.Clone(context.WithoutCancel(r.Context())))
		return nil, errors.New("connection broken")
	}
	return g.next.RoundTrip(r)
}

func gated(p *standin.Server) (*gate, *client) {
	g := &gate{next: p.Transport()}
	return g, newClient(objectstore.NewClientWithTransport(g, "http://platform", "", callrate.DefaultBudget))
}

func TestPausedWriterLosesItsPlace(t *testing.T) {
	ctx := t.Context()
	p := standin.New()
	g, paused := gated(p)
	other := newClient(p.Client())
	require.NoError(t, paused.Refresh(ctx))
	g.hold = func() {
		require.NoError(t, other.Refresh(ctx))
		require.NoError(t, other.Append(ctx, 1, []Record{rec("other")}))
	}
	err := paused.Append(ctx, 1, []Record{rec("paused")})
	require.True(t, IsAppendConflict(err), "%v", err)
	require.Equal(t, []string{"other"}, paused.memory.ids)
}

// A write that its writer gave up on may arrive after all, later than the repeated
// one.
func TestLateWriteTakesNoEffectTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		p := standin.New()
		g, l := gated(p)
		require.NoError(t, l.Refresh(ctx))
		g.late = true
		require.NoError(t, l.Append(ctx, 1, []Record{rec("a")}))
		require.NoError(t, l.Append(ctx, 2, []Record{rec("b")}))
		for _, r := range g.kept {
			resp, err := p.Transport().RoundTrip(r)
			require.NoError(t, err)
			require.Equal(t, http.StatusPreconditionFailed, resp.StatusCode)
		}
		fresh := newClient(p.Client())
		require.NoError(t, fresh.Refresh(ctx))
		require.Equal(t, []string{"a", "b"}, fresh.memory.ids)
	})
}

func TestLostAnswerWhileAnotherAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		p := standin.New()
		g, l := gated(p)
		other := newClient(p.Client())
		require.NoError(t, l.Refresh(ctx))
		// The write takes effect, its answer is lost, and before it is repeated
		// another box appends until the segment is archived.
		p.SetFaults(standin.Faults{DropWriteResponses: 1})
		g.hold = func() {
			g.hold = func() {
				require.NoError(t, other.Refresh(ctx))
				for i := range 20 {
					require.NoError(t, other.Append(ctx, other.NextIndex(), []Record{rec(fmt.Sprint("other", i))}))
				}
			}
		}
		require.NoError(t, l.Append(ctx, 1, []Record{rec("mine")}))
		require.Equal(t, "mine", l.memory.ids[0])
		require.Len(t, l.memory.ids, 21)
	})
}

func TestRestoredPlatformIsNotBelieved(t *testing.T) {
	ctx := t.Context()
	p := standin.New()
	l := newClient(p.Client())
	require.NoError(t, l.Append(ctx, 1, []Record{rec("a")}))
	backup := p.Snapshot()
	require.NoError(t, l.Append(ctx, 2, []Record{rec("b")}))
	p.Restore(backup)
	require.True(t, IsStaleLog(l.Refresh(ctx)))
	err := l.Append(ctx, 3, []Record{rec("c")})
	require.True(t, IsStaleLog(err), "%v", err)
	require.Equal(t, []string{"a", "b"}, l.memory.ids)
}

func TestAppendGivesUpWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New()
		l := newClient(p.Client())
		p.SetFaults(standin.Faults{Down: true})
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		err := l.Append(ctx, 1, []Record{rec("a")})
		require.True(t, objectstore.IsUnknownOutcome(err), "%v", err)
	})
}

func FuzzDecodeSegment(f *testing.F) {
	f.Add([]byte(`{"number":1,"first":1,"records":[{"id":"a","data":{}}]}`))
	f.Add([]byte(`{"number":1,"first":1,"sealed":true,"records":null}`))
	f.Add([]byte(`{"number":0}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := decodeSegment("k", data)
		if err != nil {
			var c *CorruptError
			require.ErrorAs(t, err, &c)
			return
		}
		require.GreaterOrEqual(t, s.next(), s.First)
	})
}

// Two writers may append a record of the same ID, for the same attempt. That one of them
// stands in the log says nothing of what the other wrote with it.
func TestRecordOfAnotherWriterIsNotTakenForOurs(t *testing.T) {
	ctx := t.Context()
	p := standin.New()
	first, second := newClient(p.Client()), newClient(p.Client())
	require.NoError(t, first.Refresh(ctx))
	require.NoError(t, second.Refresh(ctx))
	next := first.NextIndex()
	shared, alone := Record{ID: "shared", Data: []byte("{}")}, Record{ID: "alone", Data: []byte("{}")}
	require.NoError(t, first.Append(ctx, next, []Record{shared}))
	err := second.Append(ctx, next, []Record{shared, alone})
	require.True(t, IsAppendConflict(err), "%v", err)
	require.Equal(t, []string{"shared"}, second.memory.ids)
}
