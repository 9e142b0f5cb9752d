package autoscale

import "time"

const (
	// trendTime is the time over which the trend of the load is measured.
	trendTime = 1200 * time.Millisecond
	// trendMost bounds the forecast, as a multiple of the load of now.
	trendMost = 1.15
	// holdTime is how long a load that was forecast is still prepared for.
	holdTime = 4 * time.Second
)

// Forecast foresees the load at the time at which a server ordered now would serve.
type Forecast struct{ samples []sample }

type sample struct {
	at    time.Time
	load  float64
	ahead float64
}

// Add takes in the load of now.
func (f *Forecast) Add(load float64, boot time.Duration, now time.Time) {
	s := sample{at: now, load: load, ahead: load}
	if before, ok := f.before(now.Add(-trendTime)); ok {
		slope := (load - before.load) / now.Sub(before.at).Seconds()
		s.ahead = min(max(load, load+slope*boot.Seconds()), trendMost*load)
	}
	f.samples = append(f.samples, s)
	for len(f.samples) > 0 && now.Sub(f.samples[0].at) > holdTime {
		f.samples = f.samples[1:]
	}
}

// before is the newest sample that is not younger than a time.
func (f *Forecast) before(t time.Time) (sample, bool) {
	for i := len(f.samples) - 1; i >= 0; i-- {
		if !f.samples[i].at.After(t) {
			return f.samples[i], true
		}
	}
	return sample{}, false
}

// Peak is the highest load that was foreseen of late.
func (f *Forecast) Peak() float64 {
	peak := 0.0
	for _, s := range f.samples {
		peak = max(peak, s.ahead)
	}
	return peak
}
