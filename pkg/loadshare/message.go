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
	// kindReport carries the load of one box to a relay, kindSummary the sum over several
	// boxes from a relay.
	kindReport  = "load-report"
	kindSummary = "load-summary"
	// kindPlacementReport carries the placements of one box to a relay, kindPlacementRelay
	// those that a relay forwards.
	kindPlacementReport = "placements"
	kindPlacementRelay  = "placements-passed"
)

const (
	// reportDelay is how long changes are batched before they are reported.
	reportDelay = 5 * time.Millisecond
	// relayBytesPerSecond limits the rate at which a relay sends summaries.
	relayBytesPerSecond = 32 << 10
	// minSummaryInterval and maxSummaryInterval bound the time between two summaries. The
	// upper bound takes precedence over relayBytesPerSecond.
	minSummaryInterval = 5 * time.Millisecond
	maxSummaryInterval = 80 * time.Millisecond
	// interHallInterval is the minimum time between two summaries to other halls. It saves
	// bandwidth on the links between halls.
	interHallInterval = 40 * time.Millisecond
	// defaultRefreshInterval is how often unchanged loads are resent, since datagrams may be
	// lost.
	defaultRefreshInterval = time.Second
	// reportTTL is how long a report counts after it was received.
	reportTTL = 3 * time.Second
	// maxLoadsPerDatagram and maxPlacementsPerDatagram limit the size of one datagram.
	maxLoadsPerDatagram      = 100
	maxPlacementsPerDatagram = 50
)

// summaryInterval returns the time until the next summary, given the bytes of the last one.
func summaryInterval(bytes int) time.Duration {
	interval := time.Duration(float64(bytes) / relayBytesPerSecond * float64(time.Second))
	return min(max(interval, minSummaryInterval), maxSummaryInterval)
}

type (
	loads   = map[balancer.ServerKey]balancer.Load
	demands = map[balancer.ServiceKey]balancer.Demand
)

// work is the load, demand and server signals reported by one or more boxes.
type work struct {
	loads   loads
	demands demands
	signals signals.Observations
}

func newWork() work {
	return work{loads: make(loads), demands: make(demands), signals: make(signals.Observations)}
}

// splitRound encodes a round as messages that each fit into a datagram.
func splitRound(hall string, round uint32, all work, now time.Time) []*loadpb.Loads {
	list := []*loadpb.Loads{{Hall: hall, Round: round}}
	for _, key := range latestSignals(all.signals) {
		list[0].Signals = append(list[0].Signals, encodeSignal(key, all.signals[key], now))
	}
	for key, d := range all.demands {
		list[0].Demands = append(list[0].Demands, encodeDemand(key, d))
	}
	for key, l := range all.loads {
		m := list[len(list)-1]
		if len(m.Servers)+len(m.Down)+len(m.Failing) >= maxLoadsPerDatagram {
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

// decodeDemand decodes a demand. Invalid ranks are ignored.
func decodeDemand(p *loadpb.Demand) balancer.Demand {
	d := balancer.Demand{
		Interactive: float64(p.GetInteractive()), Bulk: float64(p.GetBulk()), SpeedSum: float64(max(0, p.GetSpeeds())), Samples: clamp(p.GetSamples()),
	}
	for i, rank := range p.GetWaitingRanks() {
		if int(rank) < len(d.PendingPrefill) && i < len(p.GetWaiting()) {
			d.PendingPrefill[rank] = clamp(p.GetWaiting()[i])
		}
	}
	return d
}

// maxSignals limits the signals of one round.
const maxSignals = 32

// latestSignals returns the keys of the most recent observations, at most maxSignals.
func latestSignals(list signals.Observations) []signals.Key {
	keys := slices.SortedFunc(maps.Keys(list), func(a, b signals.Key) int { return list[b].ReceivedAt.Compare(list[a].ReceivedAt) })
	return keys[:min(len(keys), maxSignals)]
}

func encodeSignal(key signals.Key, o signals.Observation, now time.Time) *loadpb.Signal {
	p := &loadpb.Signal{Server: uint32(key), AgeMs: uint32(min(max(now.Sub(o.ReceivedAt).Milliseconds(), 0), maxSignalAgeMS)), Leaving: o.Leaving}
	if o.Limit.Set {
		p.Limit = proto.Float64(o.Limit.PerSecond)
	}
	if o.Brittle.Set {
		p.Brittle = proto.Float64(o.Brittle.PerSecond)
	}
	if age := now.Sub(o.RejectedAt).Milliseconds(); !o.RejectedAt.IsZero() && age < maxSignalAgeMS {
		p.RejectedAgeMs = uint32(max(age, 0)) + 1
	}
	return p
}

// maxSignalAgeMS caps the age sent with a signal. It exceeds the lifetime of every signal.
const maxSignalAgeMS = 3_600_000

// decodeSignal decodes a signal. It returns false if the limit is invalid.
func decodeSignal(p *loadpb.Signal, received time.Time) (signals.Observation, bool) {
	o := signals.Observation{ReceivedAt: received.Add(-time.Duration(p.GetAgeMs()) * time.Millisecond), Leaving: p.GetLeaving()}
	if p.Limit != nil {
		o.Limit = signals.Limit{Set: true, PerSecond: p.GetLimit()}
	}
	if p.Brittle != nil {
		o.Brittle = signals.Brittle{Set: true, PerSecond: p.GetBrittle()}
	}
	if age := p.GetRejectedAgeMs(); age > 0 {
		o.RejectedAt = received.Add(-time.Duration(age-1) * time.Millisecond)
	}
	return o, isFiniteRate(o.Limit.PerSecond) && isFiniteRate(o.Brittle.PerSecond)
}

func isFiniteRate(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

// mergeMessage adds the contents of a message to the work of its round.
func mergeMessage(m *loadpb.Loads, w work, received time.Time) {
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
		l.Backlog = clamp(m.GetBacklog()[i])
		l.Running = clamp(m.GetRunning()[i])
		l.MemoryTokens = clamp(m.GetMemory()[i])
		to[balancer.ServerKey(key)] = l
	}
	for i, key := range m.GetDown() {
		l := to[balancer.ServerKey(key)]
		l.DownReports = clamp(m.GetBoxes()[i])
		to[balancer.ServerKey(key)] = l
	}
	for i, key := range m.GetFailing() {
		l := to[balancer.ServerKey(key)]
		l.FailureReports = clamp(m.GetFailingBoxes()[i])
		l.ScaledFailures = clamp(m.GetFailed()[i])
		l.ScaledCalls = clamp(m.GetCalls()[i])
		to[balancer.ServerKey(key)] = l
	}
}

// maxValue caps every value decoded from a datagram.
const maxValue = 1 << 28

func clamp(v uint32) int { return int(min(v, maxValue)) }

func decodePlacements(list []*loadpb.Placement) []balancer.Placement {
	placements := make([]balancer.Placement, len(list))
	for i, p := range list {
		placements[i] = balancer.Placement{Server: balancer.ServerKey(p.GetServer()), Parts: p.GetParts(), Prefilled: p.GetPrefilled()}
	}
	return placements
}

func encodePlacements(hall string, list []balancer.Placement) *loadpb.Placements {
	m := &loadpb.Placements{Hall: hall}
	for _, p := range list {
		m.Placements = append(m.Placements, &loadpb.Placement{Server: uint32(p.Server), Prefilled: p.Prefilled, Parts: p.Parts})
	}
	return m
}

// rounds reassembles the parts of the latest round of each sender.
type rounds map[string]*pendingRound

type pendingRound struct {
	round      uint32
	receivedAt time.Time
	parts      map[uint32]bool
	work       work
	// complete is set once all parts have arrived.
	complete bool
}

const (
	// maxParts limits the parts of a round. Rounds with more are dropped.
	maxParts = 1000
	// maxReorderedRounds is by how many a round may be lower than the latest to count as an older one. A sender that has
	// restarted counts from a random number.
	maxReorderedRounds = 1 << 12
)

// add records a part of a round. It returns the work of the round once all parts have arrived. Parts of older rounds
// are ignored.
func (r rounds) add(sender string, m *loadpb.Loads, received time.Time) (work, bool) {
	if m.GetParts() > maxParts || m.GetPart() >= m.GetParts() || !wellFormed(m) {
		return work{}, false
	}
	p := r[sender]
	if p.precedes(m.GetRound(), received) {
		p = &pendingRound{round: m.GetRound(), parts: make(map[uint32]bool), work: newWork()}
		r[sender] = p
	}
	if p.round != m.GetRound() || p.complete {
		return work{}, false
	}
	p.receivedAt = received
	p.parts[m.GetPart()] = true
	mergeMessage(m, p.work, received)
	if len(p.parts) < int(m.GetParts()) {
		return work{}, false
	}
	all := p.work
	p.complete, p.parts, p.work = true, nil, work{}
	return all, true
}

// precedes reports whether a round that is received now replaces this one.
func (p *pendingRound) precedes(round uint32, received time.Time) bool {
	if p == nil || received.Sub(p.receivedAt) > reportTTL {
		return true
	}
	ahead := int32(round - p.round)
	return ahead > 0 || ahead < -maxReorderedRounds
}

// evictStale removes the rounds that have expired.
func (r rounds) evictStale(now time.Time) {
	maps.DeleteFunc(r, func(_ string, p *pendingRound) bool { return now.Sub(p.receivedAt) > reportTTL })
}

// wellFormed reports whether the parallel lists of a message have equal lengths.
func wellFormed(m *loadpb.Loads) bool {
	servers, failing := len(m.GetServers()), len(m.GetFailing())
	return len(m.GetBacklog()) == servers && len(m.GetRunning()) == servers &&
		len(m.GetMemory()) == servers && len(m.GetDown()) == len(m.GetBoxes()) &&
		len(m.GetFailingBoxes()) == failing && len(m.GetFailed()) == failing && len(m.GetCalls()) == failing
}

// workTable holds the last report of each sender.
type workTable map[string]reportedWork

type reportedWork struct {
	work
	receivedAt time.Time
}

// sum returns the total of all reports that have not expired.
func (t workTable) sum(now time.Time) work {
	total := newWork()
	for _, w := range t {
		if now.Sub(w.receivedAt) <= reportTTL {
			total.add(w.work)
		}
	}
	return total
}

// evictStale removes the reports that have expired.
func (t workTable) evictStale(now time.Time) {
	for sender, w := range t {
		if now.Sub(w.receivedAt) > reportTTL {
			delete(t, sender)
		}
	}
}

// add adds other to w in place.
func (w work) add(other work) {
	for key, l := range other.loads {
		w.loads[key] = w.loads[key].Plus(l)
	}
	for key, d := range other.demands {
		w.demands[key] = w.demands[key].Plus(d)
	}
	w.signals.Merge(other.signals)
}

// without returns the total minus the work of one sender. The total may contain an older
// report of that sender. Signals are merged rather than summed, so they stay.
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
