package measure

import (
	"math"
	"time"
)

// sequence is a call running or queued on a server.
type sequence struct {
	call *call
	// prefillLeft and prefilled count the prompt tokens still to process and those
	// processed.
	prefillLeft  int
	prefilled    int
	generated    int
	startedAt    time.Duration
	firstTokenAt time.Duration
}

// server models a backend server with several engines that batch continuously.
type server struct {
	index    int
	scenario *Scenario
	running  []*sequence
	// waiting holds sequences queued until a slot is free.
	waiting    []*sequence
	down       bool
	slowFactor float64
	// stepping is set while a step is in progress. epoch increases with each crash,
	// to discard steps started before it.
	stepping    bool
	epoch       int
	prefixCache []int
	// loadHistory holds past sequence counts, for delayed load reports.
	loadHistory []loadSample
	// sequenceSeconds is the integral over time of the number of running sequences.
	sequenceSeconds float64
	accountedAt     time.Duration
}

type loadSample struct {
	at      time.Duration
	running int
}

func newServer(i int, sc *Scenario) *server { return &server{index: i, scenario: sc, slowFactor: 1} }

func (s *server) slots() int { return s.scenario.slots() }

// account updates sequenceSeconds to now.
func (s *server) account(now time.Duration) {
	s.sequenceSeconds += float64(len(s.running)) * (now - s.accountedAt).Seconds()
	s.accountedAt = now
}

// add starts a call, or queues it if all slots are in use.
func (s *server) add(now time.Duration, c *call) *sequence {
	q := &sequence{call: c, startedAt: now, prefillLeft: s.prefillTokens(c)}
	if len(s.running) >= s.slots() {
		s.waiting = append(s.waiting, q)
		return q
	}
	s.account(now)
	s.running = append(s.running, q)
	return q
}

// cachedPromptShare is the share of a prompt that a cached prefix covers.
const cachedPromptShare = 0.8

// prefillTokens returns the number of tokens to prefill, given the prefix cache. A
// call resumed after a crash also prefills the tokens already delivered.
func (s *server) prefillTokens(c *call) int {
	n := c.promptTokens
	if s.lookupPrefix(c.prefix) {
		n = int(float64(n) * (1 - cachedPromptShare))
	}
	return n + c.delivered
}

func (s *server) lookupPrefix(prefix int) bool {
	for i, p := range s.prefixCache {
		if p == prefix {
			s.prefixCache = append(append(s.prefixCache[:i:i], s.prefixCache[i+1:]...), p)
			return true
		}
	}
	s.prefixCache = append(s.prefixCache, prefix)
	if len(s.prefixCache) > s.scenario.CachedPrefixes {
		s.prefixCache = s.prefixCache[1:]
	}
	return false
}

// prefillChunkTokens is the largest number of prompt tokens of a sequence that one
// step processes.
const prefillChunkTokens = 512

// stepTime returns the duration of the next step. Sequences are spread evenly over
// the engines.
func (s *server) stepTime() time.Duration {
	engines := float64(s.scenario.EnginesPerServer)
	perEngine := math.Ceil(float64(len(s.running)) / engines)
	prefill := 0
	for _, q := range s.running {
		prefill += min(q.prefillLeft, prefillChunkTokens)
	}
	d := float64(s.scenario.StepBase) + perEngine*float64(s.scenario.StepPerSequence) + float64(prefill)/engines*float64(s.scenario.PrefillPerToken)
	return time.Duration(d * s.slowFactor)
}

// step completes a step, in which each sequence prefills a chunk of its prompt or
// generates a token. It returns the sequences that ended and the numbers of tokens
// prefilled and generated.
func (s *server) step(now time.Duration) (ended []*sequence, prefilled, generated int) {
	s.account(now)
	remaining := s.running[:0]
	for _, q := range s.running {
		if q.prefillLeft > 0 {
			n := min(q.prefillLeft, prefillChunkTokens)
			q.prefillLeft -= n
			q.prefilled += n
			prefilled += n
			if q.prefillLeft > 0 {
				remaining = append(remaining, q)
				continue
			}
		}
		generated++
		q.generated++
		q.call.addToken(now)
		if q.firstTokenAt == 0 {
			q.firstTokenAt = now
		}
		if q.call.delivered >= q.call.outputTokens {
			ended = append(ended, q)
			continue
		}
		remaining = append(remaining, q)
	}
	s.running = remaining
	s.admit()
	s.recordLoad(now)
	return ended, prefilled, generated
}

func (s *server) admit() {
	for len(s.waiting) > 0 && len(s.running) < s.slots() {
		s.running = append(s.running, s.waiting[0])
		s.waiting = s.waiting[1:]
	}
}

// remove cancels a call on the server.
func (s *server) remove(now time.Duration, c *call) {
	s.account(now)
	s.running = withoutCall(s.running, c)
	s.waiting = withoutCall(s.waiting, c)
	s.admit()
}

func withoutCall(list []*sequence, c *call) []*sequence {
	remaining := list[:0]
	for _, q := range list {
		if q.call != c {
			remaining = append(remaining, q)
		}
	}
	return remaining
}

// crash takes the server down and returns the sequences lost.
func (s *server) crash(now time.Duration) []*sequence {
	s.account(now)
	lost := append(append([]*sequence(nil), s.running...), s.waiting...)
	s.running, s.waiting, s.prefixCache = nil, nil, nil
	s.down = true
	s.stepping = false
	s.epoch++
	s.recordLoad(now)
	return lost
}

func (s *server) recordLoad(now time.Duration) {
	s.loadHistory = append(s.loadHistory, loadSample{at: now, running: len(s.running) + len(s.waiting)})
	if len(s.loadHistory) > 4096 {
		s.loadHistory = append([]loadSample(nil), s.loadHistory[2048:]...)
	}
}

// delayedLoad returns the load at time now-lag.
func (s *server) delayedLoad(now, lag time.Duration) int {
	n := 0
	for i := len(s.loadHistory) - 1; i >= 0; i-- {
		if s.loadHistory[i].at <= now-lag {
			return s.loadHistory[i].running
		}
	}
	return n
}
