package measure

import (
	"math"
	"time"
)

// sequence is a call on a server.
type sequence struct {
	call *call
	// prefill is the number of prompt tokens still to read.
	prefill   int
	read      int
	generated int
	startedAt time.Duration
	firstAt   time.Duration
}

// server is the model of one backend server: several engines that batch
// continuously.
type server struct {
	index   int
	opts    *Scenario
	running []*sequence
	// waiting sequences were sent to a full server; the scheduler sends none.
	waiting []*sequence
	down    bool
	slow    float64
	// stepping is set while a step is under way; epoch tells a step from before
	// a crash.
	stepping bool
	epoch    int
	cache    []int
	// loads are the running counts at past moments, for reports that lag.
	loads []loadAt
	// held is the time integral of running sequences, in sequence seconds.
	held   float64
	heldAt time.Duration
}

type loadAt struct {
	at      time.Duration
	running int
}

func newServer(i int, o *Scenario) *server { return &server{index: i, opts: o, slow: 1} }

func (s *server) slots() int { return s.opts.slots() }

// account brings the integral up to now.
func (s *server) account(now time.Duration) {
	s.held += float64(len(s.running)) * (now - s.heldAt).Seconds()
	s.heldAt = now
}

// add takes a call; more than the batch holds wait their turn.
func (s *server) add(now time.Duration, c *call) *sequence {
	q := &sequence{call: c, startedAt: now, prefill: s.uncached(c)}
	if len(s.running) >= s.slots() {
		s.waiting = append(s.waiting, q)
		return q
	}
	s.account(now)
	s.running = append(s.running, q)
	return q
}

// cachedShare is the part of a prompt that a cached prefix spares.
const cachedShare = 0.8

// uncached is the number of prompt tokens to read, given the prefix cache. A call
// that goes on after a crash also has to read what was delivered.
func (s *server) uncached(c *call) int {
	n := c.promptTokens
	if s.hit(c.prefix) {
		n = int(float64(n) * (1 - cachedShare))
	}
	return n + c.delivered
}

func (s *server) hit(prefix int) bool {
	for i, p := range s.cache {
		if p == prefix {
			s.cache = append(append(s.cache[:i:i], s.cache[i+1:]...), p)
			return true
		}
	}
	s.cache = append(s.cache, prefix)
	if len(s.cache) > s.opts.CachedPrefixes {
		s.cache = s.cache[1:]
	}
	return false
}

// chunkTokens bounds the prompt tokens that an engine reads in one step.
const chunkTokens = 512

// stepTime is the time of the next step: engines share the sequences evenly.
func (s *server) stepTime() time.Duration {
	engines := float64(s.opts.EnginesPerServer)
	each := math.Ceil(float64(len(s.running)) / engines)
	prefill := 0
	for _, q := range s.running {
		prefill += min(q.prefill, chunkTokens)
	}
	d := float64(s.opts.StepBase) + each*float64(s.opts.StepEach) + float64(prefill)/engines*float64(s.opts.PrefillEach)
	return time.Duration(d * s.slow)
}

// step ends a step: each sequence reads a chunk of its prompt or gets a token. It
// returns the sequences that ended.
func (s *server) step(now time.Duration) (ended []*sequence, read, generated int) {
	s.account(now)
	kept := s.running[:0]
	for _, q := range s.running {
		if q.prefill > 0 {
			n := min(q.prefill, chunkTokens)
			q.prefill -= n
			q.read += n
			read += n
			if q.prefill > 0 {
				kept = append(kept, q)
				continue
			}
		}
		generated++
		q.generated++
		q.call.token(now)
		if q.firstAt == 0 {
			q.firstAt = now
		}
		if q.call.delivered >= q.call.outputTokens {
			ended = append(ended, q)
			continue
		}
		kept = append(kept, q)
	}
	s.running = kept
	s.admit()
	s.note(now)
	return ended, read, generated
}

func (s *server) admit() {
	for len(s.waiting) > 0 && len(s.running) < s.slots() {
		s.running = append(s.running, s.waiting[0])
		s.waiting = s.waiting[1:]
	}
}

// remove takes a call off the server, as when its caller left.
func (s *server) remove(now time.Duration, c *call) {
	s.account(now)
	s.running = without(s.running, c)
	s.waiting = without(s.waiting, c)
	s.admit()
}

func without(list []*sequence, c *call) []*sequence {
	kept := list[:0]
	for _, q := range list {
		if q.call != c {
			kept = append(kept, q)
		}
	}
	return kept
}

// crash loses everything on the server.
func (s *server) crash(now time.Duration) []*sequence {
	s.account(now)
	lost := append(append([]*sequence(nil), s.running...), s.waiting...)
	s.running, s.waiting, s.cache = nil, nil, nil
	s.down = true
	s.stepping = false
	s.epoch++
	s.note(now)
	return lost
}

func (s *server) note(now time.Duration) {
	s.loads = append(s.loads, loadAt{at: now, running: len(s.running) + len(s.waiting)})
	if len(s.loads) > 4096 {
		s.loads = append([]loadAt(nil), s.loads[2048:]...)
	}
}

// reported is the load as it was lag ago.
func (s *server) reported(now, lag time.Duration) int {
	n := 0
	for i := len(s.loads) - 1; i >= 0; i-- {
		if s.loads[i].at <= now-lag {
			return s.loads[i].running
		}
	}
	return n
}
