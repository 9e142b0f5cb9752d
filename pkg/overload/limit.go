package overload

import "time"

const (
	// maxWait is the mean wait of a goroutine for a processor above which the box is overloaded. A request waits
	// many times.
	maxWait = 10 * time.Millisecond
	// minWaits is the least number of waits from which a mean is taken.
	minWaits = 8
	// minArrivals is the number of arrivals in a window without which turning callers away brings no relief.
	minArrivals = 5
	// minRunnable is the least limit. Even an idle box has some runnable goroutines for a moment.
	minRunnable = 4
	// decrease is the factor of the limit after a window with overload, increase the part by which it grows after
	// one without.
	decrease = 0.7
	increase = 0.25
	// calmWindows is the number of windows in a row without an arrival beyond the limit after which it is lifted.
	calmWindows = 10
)

// Window is what was measured in a short time.
type Window struct {
	// Arrivals are the new connections and the requests on kept ones, Beyond those of them beyond the limit.
	Arrivals, Beyond int
	// Runnable is the mean number of runnable goroutines at arrivals.
	Runnable float64
	// Waits is the number of times that goroutines waited for a processor, Wait the mean time.
	Waits uint64
	Wait  time.Duration
}

func (w Window) overloaded() bool {
	return w.Arrivals >= minArrivals && w.Waits >= minWaits && w.Wait > maxWait
}

// Limit is the number of runnable goroutines up to which callers are not turned away. The zero value sets no limit.
type Limit struct {
	// runnable is zero without a limit.
	runnable float64
	// calm counts the latest windows without an arrival beyond the limit.
	calm int
}

// Runnable returns the limit, or zero if there is none.
func (l *Limit) Runnable() float64 { return l.runnable }

// Allows reports whether an arrival that finds a number of runnable goroutines is within the limit.
func (l *Limit) Allows(runnable int) bool { return l.runnable == 0 || float64(runnable) < l.runnable }

// Update adjusts the limit after a window.
func (l *Limit) Update(w Window) {
	switch {
	case w.overloaded():
		before := l.runnable
		if before == 0 {
			before = w.Runnable
		}
		l.runnable, l.calm = max(minRunnable, before*decrease), 0
	case l.runnable == 0:
	case w.Beyond == 0:
		if l.calm++; l.calm == calmWindows {
			l.runnable = 0
		}
	default:
		l.calm = 0
		if w.Wait < maxWait/2 {
			l.runnable += max(1, l.runnable*increase)
		}
	}
}
