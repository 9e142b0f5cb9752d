package loadshare

import (
	"maps"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/loadshare/loadpb"
	"headhill.example/headhill/pkg/signals"
)

// Kinds of datagrams.
const (
	// kindReport carries what a box has servers do to a relay, kindSummary to others
	// what a relay has added up.
	kindReport  = "load-report"
	kindSummary = "load-summary"
	// kindPlaced carries to a relay, and kindPassed from one, where prompts went.
	kindPlaced = "placements"
	kindPassed = "placements-passed"
)

const (
	// reportPause is how long changes are gathered before they are reported.
	reportPause = 5 * time.Millisecond
	// relayBudget is what a relay may send with its summaries, in bytes a second. The
	// target allows a box 18 KB/s for control; one box of a hall is a relay.
	relayBudget = 32 << 10
	// summaryPauseLeast and summaryPauseMost bound the time between two summaries: a
	// change is not older than that, also where the budget would ask for more.
	summaryPauseLeast = 5 * time.Millisecond
	summaryPauseMost  = 80 * time.Millisecond
	// hallsPause is the least time between two summaries to other halls: bytes between
	// halls are dear.
	hallsPause = 40 * time.Millisecond
	// refreshDefault is how often loads are sent again though nothing has changed, as
	// datagrams are lost.
	refreshDefault = time.Second
	// believed is how long a box's word is taken.
	believed = 3 * time.Second
	// loadsMost and placementsMost bound what one datagram holds.
	loadsMost      = 100
	placementsMost = 50
)

// pauseAfter is the time until the next summary, after one of so many bytes.
func pauseAfter(bytes int) time.Duration {
	pause := time.Duration(float64(bytes) / relayBudget * float64(time.Second))
	return min(max(pause, summaryPauseLeast), summaryPauseMost)
}

// Loads and demands of some boxes.
type (
	loads   = map[balancer.ServerKey]balancer.Load
	demands = map[balancer.ServiceKey]balancer.Demand
)

// work is what some boxes have the servers do.
type work struct {
	loads   loads
	demands demands
	signals signals.Observations
}

func newWork() work {
	return work{loads: make(loads), demands: make(demands), signals: make(signals.Observations)}
}

// split cuts a round of loads into messages.
func split(hall string, round uint32, all work, now time.Time) []*loadpb.Loads {
	list := []*loadpb.Loads{{Hall: hall, Round: round}}
	for _, key := range latest(all.signals) {
		list[0].Signals = append(list[0].Signals, encodeSignal(key, all.signals[key], now))
	}
	for key, d := range all.demands {
		list[0].Demands = append(list[0].Demands, encodeDemand(key, d))
	}
	for key, l := range all.loads {
		m := list[len(list)-1]
		if len(m.Servers)+len(m.Down)+len(m.Failing) >= loadsMost {
			m = &loadpb.Loads{Hall: hall, Round: round}
			list = append(list, m)
		}
		if l.Backlog > 0 || l.Running > 0 {
			m.Servers, m.Backlog = append(m.Servers, uint32(key)), append(m.Backlog, uint32(l.Backlog))
			m.Running, m.Memory = append(m.Running, uint32(l.Running)), append(m.Memory, uint32(l.MemoryTokens))
		}
		if l.DownReports > 0 {
			m.Down, m.Boxes = append(m.Down, uint32(key)), append(m.Boxes, uint32(l.DownReports))
		}
		if l.ScaledCalls > 0 {
			m.Failing, m.FailingBoxes = append(m.Failing, uint32(key)), append(m.FailingBoxes, uint32(l.FailureReports))
			m.Failed, m.Calls = append(m.Failed, uint32(l.ScaledFailures)), append(m.Calls, uint32(l.ScaledCalls))
		}
	}
	for i, m := range list {
		m.Part, m.Parts = uint32(i), uint32(len(list))
	}
	return list
}

func encodeDemand(key balancer.ServiceKey, d balancer.Demand) *loadpb.Demand {
	p := &loadpb.Demand{
		Service: uint32(key), Interactive: uint32(d.Interactive), Bulk: uint32(d.Bulk), Speeds: float32(d.SpeedSum), Samples: uint32(d.Samples),
	}
	for rank, tokens := range d.PendingPrefill {
		if tokens > 0 {
			p.WaitingRanks, p.Waiting = append(p.WaitingRanks, uint32(rank)), append(p.Waiting, uint32(tokens))
		}
	}
	return p
}

// decodeDemand reads a demand. Ranks that are none are left out.
func decodeDemand(p *loadpb.Demand) balancer.Demand {
	d := balancer.Demand{
		Interactive: float64(p.GetInteractive()), Bulk: float64(p.GetBulk()), SpeedSum: float64(max(0, p.GetSpeeds())), Samples: bounded(p.GetSamples()),
	}
	for i, rank := range p.GetWaitingRanks() {
		if int(rank) < len(d.PendingPrefill) && i < len(p.GetWaiting()) {
			d.PendingPrefill[rank] = bounded(p.GetWaiting()[i])
		}
	}
	return d
}

// signalsMost bounds the signals of one round: many servers may leave at once.
const signalsMost = 32

// latest are the servers with the latest observations, some at the most.
func latest(list signals.Observations) []signals.Key {
	keys := slices.SortedFunc(maps.Keys(list), func(a, b signals.Key) int { return list[b].ReceivedAt.Compare(list[a].ReceivedAt) })
	return keys[:min(len(keys), signalsMost)]
}

func encodeSignal(key signals.Key, o signals.Observation, now time.Time) *loadpb.Signal {
	p := &loadpb.Signal{Server: uint32(key), AgeMs: uint32(min(max(now.Sub(o.ReceivedAt).Milliseconds(), 0), signalAgeMostMS)), Leaving: o.Leaving}
	if o.Limit.Set {
		p.Limit = proto.Float64(o.Limit.PerSecond)
	}
	return p
}

// signalAgeMostMS bounds the age of a signal that is sent, in milliseconds: none is believed for so long.
const signalAgeMostMS = 3_600_000

// decodeSignal reads a signal. It returns false for one that can't be meant.
func decodeSignal(p *loadpb.Signal, received time.Time) (signals.Observation, bool) {
	o := signals.Observation{ReceivedAt: received.Add(-time.Duration(p.GetAgeMs()) * time.Millisecond), Leaving: p.GetLeaving()}
	if p.Limit != nil {
		o.Limit = signals.Limit{Set: true, PerSecond: p.GetLimit()}
	}
	return o, o.Limit.PerSecond >= 0 && !math.IsInf(o.Limit.PerSecond, 0)
}

// read adds a message's loads to those of its round.
func read(m *loadpb.Loads, w work, received time.Time) {
	to := w.loads
	for _, p := range m.GetSignals() {
		if o, ok := decodeSignal(p, received); ok {
			w.signals[signals.Key(p.GetServer())] = o
		}
	}
	for _, d := range m.GetDemands() {
		w.demands[balancer.ServiceKey(d.GetService())] = decodeDemand(d)
	}
	for i, key := range m.GetServers() {
		l := to[balancer.ServerKey(key)]
		l.Backlog = bounded(m.GetBacklog()[i])
		l.Running = bounded(m.GetRunning()[i])
		l.MemoryTokens = bounded(m.GetMemory()[i])
		to[balancer.ServerKey(key)] = l
	}
	for i, key := range m.GetDown() {
		l := to[balancer.ServerKey(key)]
		l.DownReports = bounded(m.GetBoxes()[i])
		to[balancer.ServerKey(key)] = l
	}
	for i, key := range m.GetFailing() {
		l := to[balancer.ServerKey(key)]
		l.FailureReports = bounded(m.GetFailingBoxes()[i])
		l.ScaledFailures = bounded(m.GetFailed()[i])
		l.ScaledCalls = bounded(m.GetCalls()[i])
		to[balancer.ServerKey(key)] = l
	}
}

// valueMost bounds a value that is believed.
const valueMost = 1 << 28

func bounded(v uint32) int { return int(min(v, valueMost)) }

func placementsOf(list []*loadpb.Placement) []balancer.Placement {
	placements := make([]balancer.Placement, len(list))
	for i, p := range list {
		placements[i] = balancer.Placement{Server: balancer.ServerKey(p.GetServer()), Parts: p.GetParts(), Prefilled: p.GetPrefilled()}
	}
	return placements
}

func placementsMessage(hall string, list []balancer.Placement) *loadpb.Placements {
	m := &loadpb.Placements{Hall: hall}
	for _, p := range list {
		m.Placements = append(m.Placements, &loadpb.Placement{Server: uint32(p.Server), Prefilled: p.Prefilled, Parts: p.Parts})
	}
	return m
}

// rounds puts the parts of each sender's latest round together.
type rounds map[string]*pendingRound

type pendingRound struct {
	round uint32
	parts map[uint32]bool
	work  work
}

// partsMost bounds the parts of a round that is believed.
const partsMost = 1000

// add takes a part in. It returns the whole round with its last part.
func (r rounds) add(sender string, m *loadpb.Loads, received time.Time) (work, bool) {
	if m.GetParts() > partsMost || m.GetPart() >= m.GetParts() || !wellFormed(m) {
		return work{}, false
	}
	p := r[sender]
	if p == nil || p.round != m.GetRound() {
		p = &pendingRound{round: m.GetRound(), parts: make(map[uint32]bool), work: newWork()}
		r[sender] = p
	}
	p.parts[m.GetPart()] = true
	read(m, p.work, received)
	if len(p.parts) < int(m.GetParts()) {
		return work{}, false
	}
	delete(r, sender)
	return p.work, true
}

// wellFormed tells whether the lists of a message that belong together have one length.
func wellFormed(m *loadpb.Loads) bool {
	servers, failing := len(m.GetServers()), len(m.GetFailing())
	return len(m.GetBacklog()) == servers && len(m.GetRunning()) == servers &&
		len(m.GetMemory()) == servers && len(m.GetDown()) == len(m.GetBoxes()) &&
		len(m.GetFailingBoxes()) == failing && len(m.GetFailed()) == failing && len(m.GetCalls()) == failing
}

// workTable holds what some senders have reported last.
type workTable map[string]reportedWork

type reportedWork struct {
	work
	heard time.Time
}

// sum adds up what all senders have reported.
func (t workTable) sum(now time.Time) work {
	total := newWork()
	for _, w := range t {
		if now.Sub(w.heard) <= believed {
			total.add(w.work)
		}
	}
	return total
}

// forget drops senders that have fallen silent.
func (t workTable) forget(now time.Time) {
	for sender, w := range t {
		if now.Sub(w.heard) > believed {
			delete(t, sender)
		}
	}
}

// add adds other work to this.
func (w work) add(more work) {
	for key, l := range more.loads {
		w.loads[key] = w.loads[key].Plus(l)
	}
	for key, d := range more.demands {
		w.demands[key] = w.demands[key].Plus(d)
	}
	w.signals.Merge(more.signals)
}

// without is a total less the work of one sender. The total may hold an older word of
// that sender. Signals are not added up, so that none is taken off.
func (w work) without(part work) work {
	rest := work{loads: maps.Clone(w.loads), demands: maps.Clone(w.demands), signals: w.signals}
	for key, l := range part.loads {
		sum := rest.loads[key].Minus(l)
		if sum == (balancer.Load{}) {
			delete(rest.loads, key)
			continue
		}
		rest.loads[key] = sum
	}
	for key, d := range part.demands {
		rest.demands[key] = rest.demands[key].Minus(d)
	}
	return rest
}
