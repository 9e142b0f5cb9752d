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

// recorder is a state machine that records the IDs of all applied records.
type recorder struct {
	snapshotIndex uint64
	ids           []string
}

func (m *recorder) Restore(index uint64, parts [][]byte) error {
	m.snapshotIndex, m.ids = index, nil
	for _, p := range parts {
		var ids []string
		if err := json.Unmarshal(p, &ids); err != nil {
			return err
		}
		m.ids = append(m.ids, ids...)
	}
	return nil
}

func (m *recorder) Apply(index uint64, r Record) error {
	if index != uint64(len(m.ids))+1 {
		return fmt.Errorf("applied record %d after %d records", index, len(m.ids))
	}
	m.ids = append(m.ids, r.ID)
	return nil
}

func (m *recorder) state(uint64) ([][]byte, bool) {
	b, _ := json.Marshal(m.ids)
	return [][]byte{b}, true
}

// testLog is the log of one box.
type testLog struct {
	*Log
	recorder *recorder
}

func newTestLog(objects objectstore.Objects) *testLog {
	m := &recorder{}
	l := New(objects, "p/log", m)
	l.maxSegmentBytes = 400 // a few records per segment
	return &testLog{Log: l, recorder: m}
}

func newRecord(id string) Record { return Record{ID: id, Data: json.RawMessage(`{"v":1}`)} }

// op is one step of a history, applied to one box's log.
type op struct {
	Kind   string
	Log    int
	Faults standin.Faults
}

func drawOp() *rapid.Generator[op] {
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

// history is the state of a random history.
type history struct {
	platform     *standin.Server
	logs         []*testLog
	acknowledged map[string]uint64 // index by record ID
	rejected     map[string]bool
	appends      int
}

func newHistory() *history {
	r := &history{platform: standin.New(), acknowledged: map[string]uint64{}, rejected: map[string]bool{}}
	for range 3 {
		r.logs = append(r.logs, newTestLog(r.platform.Client()))
	}
	return r
}

func (r *history) do(o op) {
	// Bounds the operation as its callers do, in virtual time.
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	l := r.logs[o.Log]
	switch o.Kind {
	case "append":
		r.append(ctx, l)
	case "refresh":
		_ = l.Refresh(ctx)
	case "restart":
		r.logs[o.Log] = newTestLog(r.platform.Client())
	case "fold":
		_ = l.Compact(ctx, l.recorder.state)
	case "faults":
		r.platform.SetFaults(o.Faults)
	case "heal":
		r.platform.SetFaults(standin.Faults{})
	}
}

func (r *history) append(ctx context.Context, l *testLog) {
	r.appends++
	id, at := fmt.Sprint("r", r.appends), l.NextIndex()
	err := l.Append(ctx, at, []Record{newRecord(id)})
	switch {
	case err == nil:
		r.acknowledged[id] = at
	case !objectstore.IsUnknownOutcome(err):
		r.rejected[id] = true
	}
}

// TestAppendsAreExact drives the logs of several boxes through random appends, lost
// responses, stale reads, outages and compactions. A successful append must be present
// exactly once at its index, a rejected one must be absent, and all boxes must read
// the same records.
func TestAppendsAreExact(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ops := rapid.SliceOfN(drawOp(), 1, 80).Draw(rt, "ops")
		r := newHistory()
		var errs []error
		fresh := newTestLog(r.platform.Client())
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
			require.Equal(rt, fresh.recorder.ids, l.recorder.ids)
		}
		indexes := make(map[string]int)
		for i, id := range fresh.recorder.ids {
			require.Zero(rt, indexes[id], "record %s was appended twice", id)
			require.False(rt, r.rejected[id], "record %s was rejected but is in the log", id)
			indexes[id] = i + 1
		}
		for id, at := range r.acknowledged {
			require.Equal(rt, int(at), indexes[id], "index of record %s", id)
		}
	})
}

// interceptor delays or drops writes to simulate a suspended writer.
type interceptor struct {
	next http.RoundTripper
	// beforeWrite, if set, is called once before a write is forwarded. deliverLate makes the
	// next write fail with a connection error and keeps it for late delivery.
	beforeWrite func()
	deliverLate bool
	delayed     []*http.Request
}

func (g *interceptor) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodPut && g.beforeWrite != nil {
		beforeWrite := g.beforeWrite
		g.beforeWrite = nil
		beforeWrite()
	}
	if r.Method == http.MethodPut && g.deliverLate {
		g.deliverLate = false
		httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
		g.delayed = append(g.delayed, r.Clone(context.WithoutCancel(r.Context())))
		return nil, errors.New("connection broken")
	}
	return g.next.RoundTrip(r)
}

func newIntercepted(p *standin.Server) (*interceptor, *testLog) {
	g := &interceptor{next: p.Transport()}
	return g, newTestLog(objectstore.NewClientWithTransport(g, "http://platform", "", callrate.DefaultBudget))
}

func TestSuspendedWriterFailsToAppend(t *testing.T) {
	ctx := t.Context()
	p := standin.New()
	g, suspended := newIntercepted(p)
	other := newTestLog(p.Client())
	require.NoError(t, suspended.Refresh(ctx))
	g.beforeWrite = func() {
		require.NoError(t, other.Refresh(ctx))
		require.NoError(t, other.Append(ctx, 1, []Record{newRecord("other")}))
	}
	err := suspended.Append(ctx, 1, []Record{newRecord("suspended")})
	require.True(t, IsAppendConflict(err), "%v", err)
	require.Equal(t, []string{"other"}, suspended.recorder.ids)
}

// A write that is delivered after its retry succeeded must not take effect.
func TestLateWriteHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		p := standin.New()
		g, l := newIntercepted(p)
		require.NoError(t, l.Refresh(ctx))
		g.deliverLate = true
		require.NoError(t, l.Append(ctx, 1, []Record{newRecord("a")}))
		require.NoError(t, l.Append(ctx, 2, []Record{newRecord("b")}))
		for _, r := range g.delayed {
			resp, err := p.Transport().RoundTrip(r)
			require.NoError(t, err)
			require.Equal(t, http.StatusPreconditionFailed, resp.StatusCode)
		}
		fresh := newTestLog(p.Client())
		require.NoError(t, fresh.Refresh(ctx))
		require.Equal(t, []string{"a", "b"}, fresh.recorder.ids)
	})
}

func TestLostResponseWithConcurrentAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		p := standin.New()
		g, l := newIntercepted(p)
		other := newTestLog(p.Client())
		require.NoError(t, l.Refresh(ctx))
		// The write takes effect but its response is lost. Before the retry, another box appends
		// until the segment is archived.
		p.SetFaults(standin.Faults{DropWriteResponses: 1})
		g.beforeWrite = func() {
			g.beforeWrite = func() {
				require.NoError(t, other.Refresh(ctx))
				for i := range 20 {
					require.NoError(t, other.Append(ctx, other.NextIndex(), []Record{newRecord(fmt.Sprint("other", i))}))
				}
			}
		}
		require.NoError(t, l.Append(ctx, 1, []Record{newRecord("mine")}))
		require.Equal(t, "mine", l.recorder.ids[0])
		require.Len(t, l.recorder.ids, 21)
	})
}

func TestRestoredPlatformIsDetected(t *testing.T) {
	ctx := t.Context()
	p := standin.New()
	l := newTestLog(p.Client())
	require.NoError(t, l.Append(ctx, 1, []Record{newRecord("a")}))
	backup := p.Snapshot()
	require.NoError(t, l.Append(ctx, 2, []Record{newRecord("b")}))
	p.Restore(backup)
	require.True(t, IsStaleLog(l.Refresh(ctx)))
	err := l.Append(ctx, 3, []Record{newRecord("c")})
	require.True(t, IsStaleLog(err), "%v", err)
	require.Equal(t, []string{"a", "b"}, l.recorder.ids)
}

func TestAppendOutcomeUnknownWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New()
		l := newTestLog(p.Client())
		p.SetFaults(standin.Faults{Down: true})
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		err := l.Append(ctx, 1, []Record{newRecord("a")})
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
		require.GreaterOrEqual(t, s.nextIndex(), s.First)
	})
}

// Two writers may append a record with the same ID for the same attempt. Finding it in the
// log must not be taken as proof that the rest of the append was written.
func TestPartlyWrittenAppendConflicts(t *testing.T) {
	ctx := t.Context()
	p := standin.New()
	first, second := newTestLog(p.Client()), newTestLog(p.Client())
	require.NoError(t, first.Refresh(ctx))
	require.NoError(t, second.Refresh(ctx))
	next := first.NextIndex()
	shared, alone := Record{ID: "shared", Data: []byte("{}")}, Record{ID: "alone", Data: []byte("{}")}
	require.NoError(t, first.Append(ctx, next, []Record{shared}))
	err := second.Append(ctx, next, []Record{shared, alone})
	require.True(t, IsAppendConflict(err), "%v", err)
	require.Equal(t, []string{"shared"}, second.recorder.ids)
}
