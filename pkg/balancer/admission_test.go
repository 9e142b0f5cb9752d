package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/routing"
)

// playedEngine prefills the most urgent prompt that waits, one at a time.
type playedEngine struct {
	queue []*playedRequest
	busy  time.Time
}

// playedRequest is one request of a played load.
type playedRequest struct {
	rank    int
	tokens  int
	arrived time.Time
	until   time.Time
	lease   *Lease
	begun   bool
	refused bool
	late    bool
}

// playedLoad is a service whose engines get more than they can prefill.
type playedLoad struct {
	balancer *Balancer
	random   *rand.Rand
	now      time.Time
	engines  map[string]*playedEngine
	servers  []routing.Server
	// admit tells whether requests are refused whose turn comes too late.
	admit    bool
	requests []*playedRequest
}

const (
	// playedSpeed is what an engine prefills, in tokens a second.
	playedSpeed = 36_700.0
	playedTick  = 10 * time.Millisecond
	playedWait  = 2 * time.Second
	// playedPatience is how long a caller waits for a first event.
	playedPatience = 6 * time.Second
	playedRanks    = 6
)

func newPlayedLoad(engines int, admit bool) *playedLoad {
	p := &playedLoad{
		balancer: New(log.NewNopLogger()), random: rand.New(rand.NewPCG(5, 9)), now: time.Unix(1_700_000_000, 0),
		engines: make(map[string]*playedEngine), servers: servers(engines), admit: admit,
	}
	for i := range p.servers {
		p.engines[p.servers[i].ID] = &playedEngine{}
	}
	return p
}

// play lets requests come at a rate, in tokens a second, for some time.
func (p *playedLoad) play(rate float64, d time.Duration) {
	owed := 0.0
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(playedTick) {
		for owed += rate * playedTick.Seconds(); owed > 0; {
			r := &playedRequest{rank: p.random.IntN(playedRanks), tokens: 1000 + p.random.IntN(9000), arrived: p.now, until: p.now.Add(playedPatience)}
			owed -= float64(r.tokens)
			p.requests = append(p.requests, r)
			p.arrive(r)
		}
		for _, e := range p.engines {
			p.step(e)
		}
	}
}

// arrive sends a request to an engine, or refuses it. The least urgent wait for a third of what
// the most urgent do.
func (p *playedLoad) arrive(r *playedRequest) {
	turn, known := p.balancer.EstimateQueue("models", r.rank, len(p.servers), p.now)
	most := playedWait - playedWait*2/3*time.Duration(r.rank)/(playedRanks-1)
	if p.admit && known && turn.Wait > most {
		r.refused = true
		return
	}
	r.lease, _ = p.balancer.Pick(Query{
		Candidates: p.servers, Engine: true, Service: "models", Class: fmt.Sprint("class-", r.rank), Rank: r.rank, PromptTokens: r.tokens,
	}, p.now)
	e := p.engines[r.lease.Server.ID]
	e.queue = append(e.queue, r)
}

// step ends the prompt that was prefilled, and takes the next one.
func (p *playedLoad) step(e *playedEngine) {
	left := e.queue[:0]
	for _, r := range e.queue {
		if p.now.After(r.until) {
			r.late = true
			r.lease.Done(ResultAbandoned, p.now)
			continue
		}
		left = append(left, r)
	}
	e.queue = left
	if p.now.Before(e.busy) || len(e.queue) == 0 {
		return
	}
	next := 0
	for i, r := range e.queue {
		if r.rank < e.queue[next].rank {
			next = i
		}
	}
	r := e.queue[next]
	e.queue = append(e.queue[:next], e.queue[next+1:]...)
	e.busy = p.now.Add(time.Duration(float64(r.tokens) / playedSpeed * float64(time.Second)))
	r.begun = true
	r.lease.PrefillDone(e.busy)
	r.lease.Done(ResultDone, e.busy)
}

// outcome adds up what became of the requests of each rank.
type playedOutcome struct{ asked, begun, refused, late int }

func (p *playedLoad) outcomes() [playedRanks]playedOutcome {
	var list [playedRanks]playedOutcome
	for _, r := range p.requests {
		o := &list[r.rank]
		o.asked++
		switch {
		case r.begun:
			o.begun++
		case r.refused:
			o.refused++
		case r.late:
			o.late++
		}
	}
	return list
}

// A service has 15, 30 or 55 in 100 of the engines that its load asks for, for eight seconds, at
// the start of a day or in its middle. What can't have its turn in time is refused at once, the
// least urgent first: nearly nothing waits in vain, the engines are kept busy, and no rank gets
// less than a less urgent one.
func TestOverloadedServiceRefusesTheLeastUrgent(t *testing.T) {
	for _, share := range []float64{0.15, 0.30, 0.55} {
		for _, before := range []time.Duration{0, 5 * time.Second} {
			t.Run(fmt.Sprintf("%.0f in 100 after %s", 100*share, before), func(t *testing.T) {
				const engines = 12
				capacity := engines * playedSpeed
				p := newPlayedLoad(engines, true)
				p.play(0.5*capacity, before+time.Second)
				p.requests = nil
				p.play(capacity/share, 8*time.Second)
				p.play(0, playedPatience+time.Second)
				list := p.outcomes()
				t.Logf("%+v", list)
				asked, begun, late := 0, 0, 0
				for rank, o := range list {
					asked, begun, late = asked+o.asked, begun+o.begun, late+o.late
					if rank > 0 {
						assert.GreaterOrEqual(t, share100(list[rank-1])+2, share100(o), "rank %d against %d", rank-1, rank)
					}
				}
				assert.Greater(t, float64(begun), 0.9*share*float64(asked), "the engines are kept busy")
				assert.Less(t, float64(late), 0.1*float64(asked), "nearly nothing waits in vain")
			})
		}
	}
}

func share100(o playedOutcome) float64 { return 100 * float64(o.begun) / float64(o.asked) }

// Without admission the same load fills the queues: far more waits in vain.
func TestQueuesFillWithoutAdmission(t *testing.T) {
	const engines = 12
	late := func(admit bool) int {
		p := newPlayedLoad(engines, admit)
		p.play(0.5*engines*playedSpeed, time.Second)
		p.play(engines*playedSpeed/0.3, 20*time.Second)
		n := 0
		for _, o := range p.outcomes() {
			n += o.late
		}
		return n
	}
	with, without := late(true), late(false)
	t.Logf("%d wait in vain with admission, %d without", with, without)
	assert.Less(t, 10*with, without)
}

// A service with room refuses nobody.
func TestServiceWithRoomRefusesNobody(t *testing.T) {
	p := newPlayedLoad(12, true)
	p.play(0.8*12*playedSpeed, 20*time.Second)
	for rank, o := range p.outcomes() {
		assert.Zero(t, o.refused, "rank %d", rank)
	}
}

func TestWaitCountsWhatIsBefore(t *testing.T) {
	now := time.Now()
	b := New(log.NewNopLogger())
	_, known := b.EstimateQueue("models", 0, 2, now)
	assert.False(t, known)
	others := Demand{SpeedSum: samplesLeast * 1000, Samples: samplesLeast}
	others.PendingPrefill.add(2, 3000)
	others.PendingPrefill.add(4, 5000)
	b.SetPeerLoads(nil, map[ServiceKey]Demand{ServiceKeyOf("models"): others}, now)
	for rank, want := range map[int]time.Duration{0: 0, 1: 0, 2: 1500 * time.Millisecond, 3: 1500 * time.Millisecond, 4: 4 * time.Second, routing.MaxRank: 4 * time.Second} {
		turn, known := b.EstimateQueue("models", rank, 2, now)
		require.True(t, known, "also of a service that this box had no request for")
		assert.Equal(t, want, turn.Wait, "rank %d", rank)
	}
}

// The last places of engines are kept for urgent requests: a less urgent one goes where places are
// left for its rank, and nowhere once there are none; it is not sent to wait at a full engine while
// another has a place.
func TestLastPlacesAreKeptForUrgentRequests(t *testing.T) {
	now := time.Now()
	b := New(log.NewNopLogger())
	list := serversWithPlaces(2, 20)
	b.SetPeerLoads(map[ServerKey]Load{KeyOf(list[0].Incarnation()): {Running: 14}, KeyOf(list[1].Incarnation()): {Running: 11, Backlog: 90_000}}, nil, now)

	assert.True(t, b.HasFreeSlot(list, 0.6, now))
	l, _ := b.Pick(Query{Candidates: list, Engine: true, Service: "models", MaxOccupancy: 0.6, PromptTokens: 300}, now)
	assert.Equal(t, list[1].ID, l.Server.ID, "however long its prompts")
	assert.False(t, b.HasFreeSlot(list, 0.6, now), "twelve of twenty are taken on both")
	assert.True(t, b.HasFreeSlot(list, 1, now))

	l, _ = b.Pick(Query{Candidates: list, Engine: true, Service: "models", MaxOccupancy: 1, PromptTokens: 300}, now)
	assert.Equal(t, list[0].ID, l.Server.ID)
	assert.True(t, b.HasFreeSlot(serversWithPlaces(1, placesFew-1), 0.01, now), "none are kept of a few")
}

// What waits and is less urgent gives way: it holds no places before a request that the engines
// take first.
func TestRequestPassesWhatIsLessUrgent(t *testing.T) {
	now := time.Now()
	b := New(log.NewNopLogger())
	others := Demand{SpeedSum: samplesLeast * 1000, Samples: samplesLeast}
	others.PendingPrefill.add(1, 3000)
	others.PendingPrefill.add(4, 5000)
	b.SetPeerLoads(nil, map[ServiceKey]Demand{ServiceKeyOf("models"): others}, now)
	for rank, passes := range map[int]bool{0: true, 1: true, 3: true, 4: false, 5: false} {
		turn, known := b.EstimateQueue("models", rank, 2, now)
		require.True(t, known)
		assert.Equal(t, passes, turn.Overtakes, "rank %d", rank)
	}
}

// Places are kept only while more urgent requests come: a service that has none of them gives all
// its places to what there is. A box that has just started takes it that they come.
func TestPlacesAreKeptWhileUrgentRequestsCome(t *testing.T) {
	now := time.Now()
	b := New(log.NewNopLogger())
	urgent := func(rank int, at time.Duration) bool {
		turn, _ := b.EstimateQueue("models", rank, 2, now.Add(at))
		return turn.MoreUrgentSeen
	}
	assert.True(t, urgent(4, 0), "the box has just started")
	assert.False(t, urgent(0, 0), "nothing is more urgent")
	assert.True(t, urgent(4, urgentFor-time.Second))
	assert.False(t, urgent(4, urgentFor), "no other came")
	assert.False(t, urgent(1, urgentFor), "what is less urgent does not count")
	assert.True(t, urgent(4, 2*urgentFor-time.Second))
	assert.False(t, urgent(4, 2*urgentFor))
}

// Places are kept on engines only: a plain service is chosen by what it costs, as ever.
func TestPlainServersAreNotBoundedByPlaces(t *testing.T) {
	now := time.Now()
	choices := func(engine bool) int {
		list := serversWithPlaces(2, 10)
		all := []choice{{Server: &list[0], load: Load{Running: 10}}, {Server: &list[1]}}
		return len(withPlaces(Query{Engine: engine, MaxOccupancy: 1}, all))
	}
	assert.Equal(t, 1, choices(true))
	assert.Equal(t, 2, choices(false))

	_, known := New(log.NewNopLogger()).EstimateQueue("models", 0, 0, now)
	assert.False(t, known, "no servers have no speed")
}
