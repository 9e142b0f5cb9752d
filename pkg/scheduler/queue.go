package scheduler

import (
	"container/list"
	"math"
	"time"
)

// Heaps that a waiting request or a flow stands in.
const (
	heapDeadline = 0
	heapServe    = 0
	heapShed     = 1
)

// request is a reservation inside the scheduler, waiting or granted.
type request struct {
	Request
	flow *flow
	// elem is the place in the flow's list while waiting.
	elem       *list.Element
	deadlineAt int
	// The rest is set at the grant.
	server    *server
	grantedAt time.Time
	started   bool
	charged   float64
}

func (r *request) place(int) *int { return &r.deadlineAt }

// before orders requests of one flow: first arrival first.
func (r *request) before(o *request) bool {
	if !r.Arrival.Equal(o.Arrival) {
		return r.Arrival.Before(o.Arrival)
	}
	if r.ID.Box != o.ID.Box {
		return r.ID.Box < o.ID.Box
	}
	return r.ID.Seq < o.ID.Seq
}

// flow is the waiting work of one organisation in one class.
type flow struct {
	class *class
	org   *organisation
	// counter is the virtual token counter (Sheng et al., OSDI 2024): weighted
	// tokens served so far.
	counter float64
	queue   *list.List
	places  [2]int
}

func (f *flow) place(heap int) *int { return &f.places[heap] }

func (f *flow) head() *request { return f.queue.Front().Value.(*request) }
func (f *flow) tail() *request { return f.queue.Back().Value.(*request) }

// load is the flow's queue relative to its weight: what it is shed by.
func (f *flow) load() float64 { return float64(f.queue.Len()) / f.org.weight() }

// insert keeps the queue in arrival order. A re-registered request may belong
// further forward, so the search runs from the back.
func (f *flow) insert(r *request) {
	for e := f.queue.Back(); e != nil; e = e.Prev() {
		if e.Value.(*request).before(r) {
			r.elem = f.queue.InsertAfter(r, e)
			return
		}
	}
	r.elem = f.queue.PushFront(r)
}

func servedLess(a, b *flow) bool {
	if a.counter != b.counter {
		return a.counter < b.counter
	}
	return a.org.name < b.org.name
}

func arrivalLess(a, b *flow) bool { return a.head().before(b.head()) }

func shedLess(a, b *flow) bool {
	if a.load() != b.load() {
		return a.load() > b.load()
	}
	return a.org.name < b.org.name
}

func deadlineLess(a, b *request) bool {
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.before(b)
}

// class is the waiting work of one class.
type class struct {
	Class
	allowed serverSet
	waiting int
	// credit, in output tokens, grows by the floor at each start while work waits;
	// when it reaches the work of a usual request the class is owed a start.
	credit float64
	flows  map[string]*flow
	// serve holds the flows that may start a request, shed all that wait.
	serve       *prioHeap[*flow]
	shed        *prioHeap[*flow]
	idleCounter float64
	// meanOutput is the running mean of output tokens, a guess until one is seen.
	meanOutput float64
	seenOutput bool
	starts     startRate
	// lastReturn is the last turn that was given to a refused caller.
	lastReturn time.Time
}

// initialOutput is the guess for a class's output tokens before any is seen.
const initialOutput = 128

func newClass(c Class, fair bool) *class {
	less := servedLess
	if !fair {
		less = arrivalLess
	}
	return &class{
		Class:      c,
		flows:      make(map[string]*flow),
		serve:      newHeap(heapServe, less),
		shed:       newHeap(heapShed, shedLess),
		meanOutput: initialOutput,
	}
}

// learn takes the size of a whole answer into the running mean.
func (c *class) learn(outputTokens int) {
	if !c.seenOutput {
		c.meanOutput = float64(outputTokens)
		c.seenOutput = true
	}
	c.meanOutput += smoothing * (float64(outputTokens) - c.meanOutput)
}

// beyond is how many of the class's waiting requests stand in the shared part
// of the queue.
func (c *class) beyond() int { return max(0, c.waiting-c.FloorPlaces) }

// add puts a request in the queue. A flow that becomes active is lifted to the
// least active counter, so that it can't save up service while idle.
func (c *class) add(o *organisation, r *request) {
	f := c.flows[o.name]
	if f == nil {
		f = &flow{class: c, org: o, queue: list.New()}
		c.flows[o.name] = f
	}
	if f.queue.Len() == 0 {
		f.counter = math.Max(f.counter, c.minCounter())
	}
	r.flow = f
	f.insert(r)
	c.waiting++
	c.shed.add(f)
	if !o.blocked() {
		c.serve.add(f)
	}
}

// minCounter is the least counter among the flows that may start. While there is
// none, it is that of the flow that left last, so that an idle class forgets no
// service.
func (c *class) minCounter() float64 {
	if f, ok := c.serve.min(); ok {
		return f.counter
	}
	return c.idleCounter
}

// remove takes a waiting request out.
func (c *class) remove(r *request) {
	f := r.flow
	f.queue.Remove(r.elem)
	r.elem = nil
	c.waiting--
	if f.queue.Len() == 0 {
		c.serve.remove(f)
		c.shed.remove(f)
		c.idleCounter = math.Max(c.idleCounter, f.counter)
		return
	}
	c.serve.fix(f)
	c.shed.fix(f)
}

// unblock lets a flow start requests again after its organisation fell below
// its concurrency limit.
func (c *class) unblock(f *flow) {
	if f.queue.Len() > 0 {
		c.serve.add(f)
	}
}

// forget drops idle flows whose counter a newcomer would get anyway.
func (c *class) forget() {
	least := c.minCounter()
	for name, f := range c.flows {
		if f.queue.Len() == 0 && f.counter <= least && f.org.running == 0 {
			delete(c.flows, name)
		}
	}
}
