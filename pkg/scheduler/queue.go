package scheduler

import (
	"container/list"
	"math"
	"time"
)

// Heap IDs. A waiting request is in the deadline heap; a flow is in the other two.
const (
	heapDeadline = 0
	heapEligible = 0
	heapShed     = 1
)

// request is a request that is waiting or granted.
type request struct {
	Request
	flow *flow
	// elem is the element of the flow's queue while the request waits.
	elem        *list.Element
	deadlinePos int
	// The following fields are set when the request is granted.
	server    *server
	grantedAt time.Time
	started   bool
	// chargedTokens is the estimate that was charged to the flow's counter.
	chargedTokens float64
}

func (r *request) position(int) *int { return &r.deadlinePos }

// arrivedBefore orders requests by arrival, with the ID as tie-breaker.
func (r *request) arrivedBefore(o *request) bool {
	if !r.Arrival.Equal(o.Arrival) {
		return r.Arrival.Before(o.Arrival)
	}
	if r.ID.Box != o.ID.Box {
		return r.ID.Box < o.ID.Box
	}
	return r.ID.Seq < o.ID.Seq
}

// flow is the queue of one organisation in one class.
type flow struct {
	class        *class
	organisation *organisation
	// counter is the virtual token counter of fair queueing (Sheng et al., OSDI 2024):
	// the number of tokens served so far, divided by the organisation's weight.
	counter   float64
	queue     *list.List
	positions [2]int
}

func (f *flow) position(heap int) *int { return &f.positions[heap] }

func (f *flow) head() *request { return f.queue.Front().Value.(*request) }
func (f *flow) tail() *request { return f.queue.Back().Value.(*request) }

// weightedLen is the queue length relative to the organisation's weight. The flow with
// the largest value is shed first.
func (f *flow) weightedLen() float64 { return float64(f.queue.Len()) / f.organisation.weight() }

// insert adds r in arrival order. It searches from the back because only requests that
// are registered again may belong further forward.
func (f *flow) insert(r *request) {
	for e := f.queue.Back(); e != nil; e = e.Prev() {
		if e.Value.(*request).arrivedBefore(r) {
			r.elem = f.queue.InsertAfter(r, e)
			return
		}
	}
	r.elem = f.queue.PushFront(r)
}

func counterLess(a, b *flow) bool {
	if a.counter != b.counter {
		return a.counter < b.counter
	}
	return a.organisation.name < b.organisation.name
}

func arrivalLess(a, b *flow) bool { return a.head().arrivedBefore(b.head()) }

func shedLess(a, b *flow) bool {
	if a.weightedLen() != b.weightedLen() {
		return a.weightedLen() > b.weightedLen()
	}
	return a.organisation.name < b.organisation.name
}

func deadlineLess(a, b *request) bool {
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.arrivedBefore(b)
}

// class is a configured class with its queues.
type class struct {
	Class
	allowedServers serverSet
	numWaiting     int
	// floorCredit, in output tokens, is the work that the floor entitles the class to.
	// The class is owed a start when it reaches the mean cost of a request.
	floorCredit float64
	// flows holds the class's flows by organisation.
	flows map[string]*flow
	// eligible holds the non-empty flows whose organisation is below its concurrency
	// limit, by the order in which they are served.
	eligible *indexedHeap[*flow]
	// shedOrder holds all non-empty flows, by the order in which they are shed.
	shedOrder *indexedHeap[*flow]
	// idleCounter is the highest counter of a flow that became empty.
	idleCounter float64
	// meanOutputTokens is the running mean of the output tokens of a request, or
	// initialOutputTokens until outputKnown is set.
	meanOutputTokens float64
	outputKnown      bool
	startRate        startRate
	// lastRetryAt is the latest retry time that was given to a refused caller.
	lastRetryAt time.Time
}

// initialOutputTokens is the assumed output of a request before any has completed.
const initialOutputTokens = 128

func newClass(c Class, fair bool) *class {
	less := counterLess
	if !fair {
		less = arrivalLess
	}
	return &class{
		Class:            c,
		flows:            make(map[string]*flow),
		eligible:         newHeap(heapEligible, less),
		shedOrder:        newHeap(heapShed, shedLess),
		meanOutputTokens: initialOutputTokens,
	}
}

// recordOutput adds the size of a complete response to the running mean.
func (c *class) recordOutput(outputTokens int) {
	if !c.outputKnown {
		c.meanOutputTokens = float64(outputTokens)
		c.outputKnown = true
	}
	c.meanOutputTokens += smoothingFactor * (float64(outputTokens) - c.meanOutputTokens)
}

// sharedWaiting is the number of waiting requests that exceed the class's floor places.
func (c *class) sharedWaiting() int { return max(0, c.numWaiting-c.FloorPlaces) }

// add queues a request. The counter of a flow that becomes active is raised to the
// minimum of the eligible flows, so that a flow can't accumulate service while idle.
func (c *class) add(o *organisation, r *request) {
	f := c.flows[o.name]
	if f == nil {
		f = &flow{class: c, organisation: o, queue: list.New()}
		c.flows[o.name] = f
	}
	if f.queue.Len() == 0 {
		f.counter = math.Max(f.counter, c.minCounter())
	}
	r.flow = f
	f.insert(r)
	c.numWaiting++
	c.shedOrder.add(f)
	if !o.atConcurrencyLimit() {
		c.eligible.add(f)
	}
}

// minCounter is the lowest counter of the eligible flows. If there are none, it is
// idleCounter, so that the service received before the class became idle still counts.
func (c *class) minCounter() float64 {
	if f, ok := c.eligible.min(); ok {
		return f.counter
	}
	return c.idleCounter
}

// remove removes a waiting request from its flow.
func (c *class) remove(r *request) {
	f := r.flow
	f.queue.Remove(r.elem)
	r.elem = nil
	c.numWaiting--
	if f.queue.Len() == 0 {
		c.eligible.remove(f)
		c.shedOrder.remove(f)
		c.idleCounter = math.Max(c.idleCounter, f.counter)
		return
	}
	c.eligible.fix(f)
	c.shedOrder.fix(f)
}

// unblock makes a flow eligible again after its organisation fell below its concurrency
// limit.
func (c *class) unblock(f *flow) {
	if f.queue.Len() > 0 {
		c.eligible.add(f)
	}
}

// evictIdleFlows evicts empty flows whose counter would be raised to the minimum anyway
// when they become active.
func (c *class) evictIdleFlows() {
	minCounter := c.minCounter()
	for name, f := range c.flows {
		if f.queue.Len() == 0 && f.counter <= minCounter && f.organisation.running == 0 {
			delete(c.flows, name)
		}
	}
}
