// Package load drives boxes with callers of several classes and measures what
// they get: attainment, goodput and wasted work.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"

	"headhill.example/headhill/pkg/api"
)

// Class is one class of callers.
type Class struct {
	Name string
	// Rate is in requests a second, arriving at random.
	Rate float64
	// FirstTokenTarget and InterTokenTarget are the targets to measure against; 0 means none.
	FirstTokenTarget, InterTokenTarget time.Duration
}

// Options shape a run.
type Options struct {
	// Targets are the callers' base URLs; requests take turns.
	Targets []string
	Key     string
	Model   string
	Classes []Class
	// Duration bounds the time in which requests begin.
	Duration time.Duration
	// BurstStart, BurstDuration and BurstFactor multiply the rates for a while.
	BurstStart, BurstDuration time.Duration
	BurstFactor               float64
	// MaxTokens bounds the answers; 0 leaves their length to the engine.
	MaxTokens int
	// MaxInFlight bounds the requests under way; what would exceed it is not sent
	// and counted as skipped.
	MaxInFlight int
	Seed        uint64
	// Progress is called each second.
	Progress func(elapsed time.Duration, sent, ended int)
}

// InvalidOptionError says which option can't be used.
type InvalidOptionError struct{ Option, Remedy string }

func (e *InvalidOptionError) Error() string { return fmt.Sprintf("%s: %s", e.Option, e.Remedy) }

func (o *Options) check() error {
	switch {
	case len(o.Targets) == 0:
		return &InvalidOptionError{Option: "target", Remedy: "name at least one box"}
	case len(o.Classes) == 0:
		return &InvalidOptionError{Option: "class", Remedy: "name at least one class"}
	case o.Duration <= 0:
		return &InvalidOptionError{Option: "duration", Remedy: "must be positive"}
	case o.MaxInFlight <= 0:
		return &InvalidOptionError{Option: "in-flight", Remedy: "must be positive"}
	}
	return nil
}

// Result is what the callers of one class got.
type Result struct {
	Class string `json:"class"`
	Sent  int    `json:"sent"`
	// Skipped requests exceeded the bound of requests under way.
	Skipped int `json:"skipped"`
	Done    int `json:"done"`
	NotRun  int `json:"not_run"`
	Unknown int `json:"unknown"`
	// Failed requests got no answer at all.
	Failed int `json:"failed"`
	// Attained answers were whole and within the targets.
	Attained   int     `json:"attained"`
	Attainment float64 `json:"attainment"`
	// Goodput is in attained answers a second.
	Goodput float64 `json:"goodput"`
	Tokens  int     `json:"tokens"`
	// WastedTokens were generated for answers that did not complete.
	WastedTokens int `json:"wasted_tokens"`
	// Percentiles of the time to the first token, between tokens, and in all, in
	// milliseconds.
	FirstToken Percentiles `json:"first_token_ms"`
	InterToken Percentiles `json:"between_tokens_ms"`
	Total      Percentiles `json:"total_ms"`
}

// Percentiles of a histogram, in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

const (
	histogramMost   = 10 * 60 * 1000 * 1000 // ten minutes in microseconds
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMost, histogramDigits)
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{P50: ms(50), P95: ms(95), P99: ms(99), Max: float64(h.Max()) / 1000}
}

// account gathers one class's answers.
type account struct {
	mu                        sync.Mutex
	class                     Class
	result                    Result
	firstToken, between, full *hdrhistogram.Histogram
}

func newAccount(c Class) *account {
	return &account{class: c, result: Result{Class: c.Name}, firstToken: newHistogram(), between: newHistogram(), full: newHistogram()}
}

func (a *account) add(s sample) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := &a.result
	switch {
	case s.err != nil:
		r.Failed++
	case s.outcome == api.OutcomeDone:
		r.Done++
	case s.outcome == api.OutcomeNotRun:
		r.NotRun++
	default:
		r.Unknown++
	}
	r.Tokens += s.tokens
	if s.outcome != api.OutcomeDone {
		r.WastedTokens += s.tokens
		return
	}
	record(a.firstToken, s.firstToken)
	record(a.full, s.total)
	if s.between > 0 {
		record(a.between, s.between)
	}
	if within(s.firstToken, a.class.FirstTokenTarget) && within(s.between, a.class.InterTokenTarget) {
		r.Attained++
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Values beyond the histogram's end count as its end.
	_ = h.RecordValue(min(d.Microseconds(), histogramMost))
}

func within(d, target time.Duration) bool { return target <= 0 || d <= target }

func (a *account) finish(elapsed time.Duration) Result {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.result
	if r.Sent > 0 {
		r.Attainment = float64(r.Attained) / float64(r.Sent)
	}
	r.Goodput = float64(r.Attained) / elapsed.Seconds()
	r.FirstToken = percentiles(a.firstToken)
	r.InterToken = percentiles(a.between)
	r.Total = percentiles(a.full)
	return r
}

// Run drives the boxes and returns a result for each class, in their order. It
// returns early when ctx ends.
func Run(ctx context.Context, o Options) ([]Result, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	d := &driver{opts: o, began: time.Now(), slots: make(chan struct{}, o.MaxInFlight), caller: newCaller(o)}
	accounts := make([]*account, len(o.Classes))
	var arrivals conc.WaitGroup
	for i, c := range o.Classes {
		accounts[i] = newAccount(c)
		arrivals.Go(func() { d.arrive(ctx, accounts[i], o.Seed+uint64(i)) })
	}
	stop := d.progress()
	arrivals.Wait()
	d.requests.Wait()
	stop()
	elapsed := time.Since(d.began)
	results := make([]Result, len(accounts))
	for i, a := range accounts {
		results[i] = a.finish(elapsed)
	}
	return results, nil
}

// driver is one run under way.
type driver struct {
	opts     Options
	began    time.Time
	slots    chan struct{}
	caller   *caller
	requests conc.WaitGroup

	mu          sync.Mutex
	sent, ended int
}

// arrive begins the requests of one class, with exponential gaps.
func (d *driver) arrive(ctx context.Context, a *account, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, seed+1))
	next := d.began
	for n := 0; ; n++ {
		rate := a.class.Rate * d.factor(time.Since(d.began))
		if rate <= 0 {
			return
		}
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if next.Sub(d.began) > d.opts.Duration || !sleepUntil(ctx, next) {
			return
		}
		d.begin(ctx, a, n)
	}
}

func (d *driver) factor(elapsed time.Duration) float64 {
	if d.opts.BurstFactor > 0 && elapsed >= d.opts.BurstStart && elapsed < d.opts.BurstStart+d.opts.BurstDuration {
		return d.opts.BurstFactor
	}
	return 1
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func (d *driver) begin(ctx context.Context, a *account, n int) {
	a.mu.Lock()
	a.result.Sent++
	a.mu.Unlock()
	select {
	case d.slots <- struct{}{}:
	default:
		a.mu.Lock()
		a.result.Skipped++
		a.mu.Unlock()
		return
	}
	d.count(1, 0)
	target := d.opts.Targets[n%len(d.opts.Targets)]
	d.requests.Go(func() {
		a.add(d.caller.call(ctx, target, a.class.Name, n))
		<-d.slots
		d.count(0, 1)
	})
}

func (d *driver) count(sent, ended int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sent += sent
	d.ended += ended
}

func (d *driver) progress() (stop func()) {
	if d.opts.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		t := time.NewTicker(time.Second)
		defer t.Stop()
		for {
			select {
			case <-done:
				return
			case <-t.C:
				d.mu.Lock()
				sent, ended := d.sent, d.ended
				d.mu.Unlock()
				d.opts.Progress(time.Since(d.began), sent, ended)
			}
		}
	}()
	return func() { close(done) }
}

// Table formats results for people.
func Table(results []Result) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-12s %7s %7s %7s %7s %7s %9s %9s %9s %9s %8s %8s\n", "class", "sent", "done", "not-run", "unknown", "failed", "attained", "goodput/s", "first p95", "betw. p95", "tokens", "wasted")
	for _, r := range results {
		fmt.Fprintf(&b, "%-12s %7d %7d %7d %7d %7d %8.1f%% %9.1f %7.0fms %7.1fms %8d %8d\n", r.Class, r.Sent, r.Done, r.NotRun, r.Unknown, r.Failed+r.Skipped, r.Attainment*100, r.Goodput, r.FirstToken.P95, r.InterToken.P95, r.Tokens, r.WastedTokens)
	}
	return b.String()
}

// newTransport keeps enough connections for the run.
func newTransport(o Options) *http.Transport {
	return &http.Transport{MaxIdleConns: o.MaxInFlight, MaxIdleConnsPerHost: o.MaxInFlight}
}
