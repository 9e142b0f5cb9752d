package directory

import (
	"context"
	"errors"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/routing"
)

// nobody is the providers of a box that is alone.
type nobody struct{}

func (nobody) Table(context.Context, *routing.Table, uint64) (TableCopy, error) {
	return TableCopy{}, ErrNoProvider
}

func (nobody) Servers(context.Context, uint64, uint64) (ListCopy, error) {
	return ListCopy{}, ErrNoProvider
}

// alone follows a source as a box that knows no other and reads for none.
func alone(source Source, t Timing) FollowOptions {
	return FollowOptions{Source: source, Providers: nobody{}, Timing: t, Reader: func() bool { return false }}
}

// oneProvider is a box that is asked by another.
type oneProvider struct {
	*Directory
	patience time.Duration
}

func (n oneProvider) Table(ctx context.Context, _ *routing.Table, least uint64) (TableCopy, error) {
	ctx, cancel := context.WithTimeout(ctx, n.patience)
	defer cancel()
	return n.TableCopy(ctx, least)
}

func (n oneProvider) Servers(ctx context.Context, since, least uint64) (ListCopy, error) {
	ctx, cancel := context.WithTimeout(ctx, n.patience)
	defer cancel()
	if _, err := n.ListMetadata(ctx, least); err != nil {
		return ListCopy{}, err
	}
	return copySince(n.Directory, since), nil
}

// deadSource answers nothing.
type deadSource struct{}

var errDead = errors.New("dead")

func (deadSource) ReadTable(context.Context) (TableResult, error) { return TableResult{}, errDead }
func (deadSource) WatchTable(context.Context, uint64, time.Duration, int) (TableResult, error) {
	return TableResult{}, errDead
}
func (deadSource) ReadServers(context.Context, string, bool) (ServersPage, error) {
	return ServersPage{}, errDead
}
func (deadSource) ReadEvacuations(context.Context) (Evacuations, error) {
	return Evacuations{}, errDead
}

func (deadSource) WatchServers(context.Context, uint64, time.Duration) (ServerChanges, error) {
	return ServerChanges{}, errDead
}

// followProvider runs f with a box that can ask only one other.
func followProvider(t *testing.T, other *Directory, f func(*Directory)) {
	d := New(log.NewNopLogger())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		x := alone(deadSource{}, testTiming())
		x.Providers = oneProvider{other, time.Second}
		d.Follow(ctx, x)
		close(done)
	}()
	f(d)
	cancel()
	<-done
}

// A box learns all it needs from another, though the source is away.
func TestBoxLearnsFromAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other := knowing(tableOf(3, "a"), 5)
		other.setServers([]routing.Server{{ID: "s", Service: "x"}, {ID: "t", Service: "x", Leaving: true}}, time.Now())
		followProvider(t, other, func(d *Directory) {
			time.Sleep(time.Second)
			require.True(t, d.Loaded())
			assert.Equal(t, other.View().Table, d.View().Table)
			assert.Equal(t, other.listed(), d.listed())
			assert.Equal(t, other.View().TableConfirmedAt, d.View().TableConfirmedAt, "what is copied is as old as it was")
			other.setTable(tableOf(9, "b"), time.Now())
			other.setServers([]routing.Server{{ID: "u", Service: "x"}}, time.Now())
			go func() {
				time.Sleep(300 * time.Millisecond)
				other.table.advance(known{revision: 7, changed: 7})
				other.list.advance(known{revision: 7, changed: 7})
			}()
			d.ApplyNotification(Notification{TableChanged: 7, ServersChanged: 7})
			time.Sleep(time.Second)
			assert.Equal(t, uint64(9), d.View().Table.Version, "it waits until the other has it")
			assert.Equal(t, other.listed(), d.listed())
			assert.Equal(t, target{}, d.table.target())
		})
	})
}

// A box that is behind, or nobody, is no reason to stay behind.
func TestSourceIsAskedWhereOthersAreBehind(t *testing.T) {
	source := &fakeSource{events: []ServerEvent{{Server: routing.Server{ID: "a", Service: "s"}}}}
	withFollower(t, source, func(ctx context.Context, d *Directory) {
		_, err := oneProvider{New(log.NewNopLogger()), time.Millisecond}.Table(ctx, nil, 0)
		assert.ErrorIs(t, err, ErrBehind)
		assert.Len(t, d.listed(), 1)
	})
}

// A list that was on its way while changes came must not undo them.
func TestListOnItsWayUndoesNothing(t *testing.T) {
	d := knowing(tableOf(3, "a"), 5)
	d.ApplyDelta(Delta{From: 5, To: 8, Events: []ServerEvent{{Server: routing.Server{ID: "new", Service: "s"}}}})
	assert.Empty(t, d.takeList(nil, 7, time.Now()))
	assert.Len(t, d.listed(), 1)
	assert.Len(t, d.takeList(nil, 9, time.Now()), 1)
	assert.Empty(t, d.listed())
	assert.Equal(t, uint64(9), d.list.known().revision)
}

// longSource has no history for whoever watches.
type longSource struct{ *simulatedBox }

func (s longSource) WatchTable(ctx context.Context, after uint64, wait time.Duration, _ int) (TableResult, error) {
	if _, err := s.simulatedBox.WatchTable(ctx, after, wait, math.MaxInt); err != nil {
		return TableResult{}, err
	}
	return TableResult{}, ErrHistoryTooLong
}

// A reader that has to read the whole, as what its watch would tell is too long, tells the
// others all the same.
func TestWholeReadInPlaceOfAWatchIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &history{t: t, begun: time.Now(), store: newStore(routeBytes)}
		h.store.change(tableOf(1, "first"))
		d := New(h.logger(0))
		told := make(chan Notification, 8)
		d.OnNotification(func(n Notification) { told <- n })
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			x := alone(longSource{&simulatedBox{history: h, speed: slowLink}}, historyTiming)
			x.Reader = func() bool { return true }
			d.Follow(ctx, x)
			close(done)
		}()
		time.Sleep(time.Second)
		h.store.change(tableOf(2, "second"))
		time.Sleep(time.Second)
		require.Len(t, told, 1)
		assert.Equal(t, uint64(2), (<-told).TableChanged)
		cancel()
		<-done
	})
}
