// Package load generates load on boxes with requests of several classes and
// measures attainment, goodput and wasted work.
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

// Class is one class of requests.
type Class struct {
	Name string
	// Rate is the mean number of requests per second; arrivals are Poisson.
	Rate float64
	// FirstTokenTarget and InterTokenTarget are latency targets; 0 means none.
	FirstTokenTarget, InterTokenTarget time.Duration
}

// Options configure a run.
type Options struct {
	// Targets are the base URLs of the boxes, used in turn.
	Targets []string
	Key     string
	Model   string
	Classes []Class
	// Duration is the time during which requests are sent.
	Duration time.Duration
	// From BurstStart, the rates are multiplied by BurstFactor for BurstDuration.
	BurstStart, BurstDuration time.Duration
	BurstFactor               float64
	// MaxTokens limits the length of answers; 0 leaves it to the engine.
	MaxTokens int
	// MaxInFlight limits the concurrent requests; requests beyond it are skipped.
	MaxInFlight int
	Seed        uint64
	// Progress, if set, is called every second.
	Progress func(elapsed time.Duration, sent, ended int)
}

// InvalidOptionError reports an unusable option.
type InvalidOptionError struct{ Option, Remedy string }

func (e *InvalidOptionError) Error() string { return fmt.Sprintf("%s: %s", e.Option, e.Remedy) }

func (opts *Options) check() error {
	switch {
	case len(opts.Targets) == 0:
		return &InvalidOptionError{Option: "target", Remedy: "name at least one box"}
	case len(opts.Classes) == 0:
		return &InvalidOptionError{Option: "class", Remedy: "name at least one class"}
	case opts.Duration <= 0:
		return &InvalidOptionError{Option: "duration", Remedy: "must be positive"}
	case opts.MaxInFlight <= 0:
		return &InvalidOptionError{Option: "in-flight", Remedy: "must be positive"}
	}
	return nil
}

// Result holds the results of one class.
type Result struct {
	Class string `json:"class"`
	// Sent includes skipped requests.
	Sent int `json:"sent"`
	// Skipped counts requests not sent because MaxInFlight was reached.
	Skipped int `json:"skipped"`
	Done    int `json:"done"`
	NotRun  int `json:"not_run"`
	Unknown int `json:"unknown"`
	// Failed counts requests that ended with a transport error.
	Failed int `json:"failed"`
	// Attained counts complete answers within the targets.
	Attained   int     `json:"attained"`
	Attainment float64 `json:"attainment"`
	// Goodput is the rate of attained answers per second.
	Goodput float64 `json:"goodput"`
	Tokens  int     `json:"tokens"`
	// WastedTokens counts the tokens of answers that did not complete.
	WastedTokens int         `json:"wasted_tokens"`
	FirstToken   Percentiles `json:"first_token_ms"`
	InterToken   Percentiles `json:"between_tokens_ms"`
	Total        Percentiles `json:"total_ms"`
}

// Percentiles are latency percentiles in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

const (
	// maxHistogramUs is the largest latency that the histograms resolve: ten minutes.
	maxHistogramUs             = 10 * 60 * 1000 * 1000
	histogramSignificantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxHistogramUs, histogramSignificantDigits)
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{P50: ms(50), P95: ms(95), P99: ms(99), Max: float64(h.Max()) / 1000}
}

// recorder collects the results of one class.
type recorder struct {
	mu                            sync.Mutex
	class                         Class
	result                        Result
	firstToken, interToken, total *hdrhistogram.Histogram
}

func newRecorder(c Class) *recorder {
	return &recorder{class: c, result: Result{Class: c.Name}, firstToken: newHistogram(), interToken: newHistogram(), total: newHistogram()}
}

func (rec *recorder) add(s sample) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r := &rec.result
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
	record(rec.firstToken, s.firstToken)
	record(rec.total, s.total)
	if s.interToken > 0 {
		record(rec.interToken, s.interToken)
	}
	if meetsTarget(s.firstToken, rec.class.FirstTokenTarget) && meetsTarget(s.interToken, rec.class.InterTokenTarget) {
		r.Attained++
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Clamped to the range of the histogram.
	_ = h.RecordValue(min(d.Microseconds(), maxHistogramUs))
}

func meetsTarget(d, target time.Duration) bool { return target <= 0 || d <= target }

func (rec *recorder) finish(elapsed time.Duration) Result {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r := rec.result
	if r.Sent > 0 {
		r.Attainment = float64(r.Attained) / float64(r.Sent)
	}
	r.Goodput = float64(r.Attained) / elapsed.Seconds()
	r.FirstToken = percentiles(rec.firstToken)
	r.InterToken = percentiles(rec.interToken)
	r.Total = percentiles(rec.total)
	return r
}

// Run sends the configured load and returns the results by class, in the order of
// opts.Classes. It stops early when ctx is done.
func Run(ctx context.Context, opts Options) ([]Result, error) {
	if err := opts.check(); err != nil {
		return nil, err
	}
	d := &driver{opts: opts, start: time.Now(), inFlight: make(chan struct{}, opts.MaxInFlight), caller: newCaller(opts)}
	recorders := make([]*recorder, len(opts.Classes))
	var arrivals conc.WaitGroup
	for i, c := range opts.Classes {
		recorders[i] = newRecorder(c)
		arrivals.Go(func() { d.sendClass(ctx, recorders[i], opts.Seed+uint64(i)) })
	}
	stop := d.reportProgress()
	arrivals.Wait()
	d.requests.Wait()
	stop()
	elapsed := time.Since(d.start)
	results := make([]Result, len(recorders))
	for i, rec := range recorders {
		results[i] = rec.finish(elapsed)
	}
	return results, nil
}

// driver is the state of one run.
type driver struct {
	opts     Options
	start    time.Time
	inFlight chan struct{}
	caller   *caller
	requests conc.WaitGroup

	mu          sync.Mutex
	sent, ended int
}

// sendClass sends the requests of one class, with exponentially distributed gaps.
func (d *driver) sendClass(ctx context.Context, rec *recorder, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, seed+1))
	next := d.start
	for index := 0; ; index++ {
		rate := rec.class.Rate * d.rateFactor(time.Since(d.start))
		if rate <= 0 {
			return
		}
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if next.Sub(d.start) > d.opts.Duration || !sleepUntil(ctx, next) {
			return
		}
		d.send(ctx, rec, index)
	}
}

func (d *driver) rateFactor(elapsed time.Duration) float64 {
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

func (d *driver) send(ctx context.Context, rec *recorder, index int) {
	rec.mu.Lock()
	rec.result.Sent++
	rec.mu.Unlock()
	select {
	case d.inFlight <- struct{}{}:
	default:
		rec.mu.Lock()
		rec.result.Skipped++
		rec.mu.Unlock()
		return
	}
	d.updateProgress(1, 0)
	baseURL := d.opts.Targets[index%len(d.opts.Targets)]
	d.requests.Go(func() {
		rec.add(d.caller.call(ctx, baseURL, rec.class.Name, index))
		<-d.inFlight
		d.updateProgress(0, 1)
	})
}

func (d *driver) updateProgress(sent, ended int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sent += sent
	d.ended += ended
}

// reportProgress calls Progress every second until stop is called.
func (d *driver) reportProgress() (stop func()) {
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
				d.opts.Progress(time.Since(d.start), sent, ended)
			}
		}
	}()
	return func() { close(done) }
}

// Table formats results as a table.
func Table(results []Result) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-12s %7s %7s %7s %7s %7s %9s %9s %9s %9s %8s %8s\n", "class", "sent", "done", "not-run", "unknown", "failed", "attained", "goodput/s", "first p95", "betw. p95", "tokens", "wasted")
	for _, r := range results {
		fmt.Fprintf(&b, "%-12s %7d %7d %7d %7d %7d %8.1f%% %9.1f %7.0fms %7.1fms %8d %8d\n", r.Class, r.Sent, r.Done, r.NotRun, r.Unknown, r.Failed+r.Skipped, r.Attainment*100, r.Goodput, r.FirstToken.P95, r.InterToken.P95, r.Tokens, r.WastedTokens)
	}
	return b.String()
}

// newTransport returns a transport that keeps a connection for each request in
// flight.
func newTransport(opts Options) *http.Transport {
	return &http.Transport{MaxIdleConns: opts.MaxInFlight, MaxIdleConnsPerHost: opts.MaxInFlight}
}
