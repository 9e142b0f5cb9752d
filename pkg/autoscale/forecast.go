package autoscale

import "time"

const (
	// trendWindow is the interval over which the load trend is measured.
	trendWindow = 1200 * time.Millisecond
	// maxForecastRatio caps the forecast as a multiple of the current load.
	maxForecastRatio = 1.15
	// forecastRetention is how long a forecast is retained after it was made.
	forecastRetention = 4 * time.Second
)

// Forecast predicts the load at the time when a server ordered now would begin to serve.
type Forecast struct{ samples []sample }

type sample struct {
	at       time.Time
	load     float64
	forecast float64
}

// Add records the current load and derives a forecast from its trend.
func (f *Forecast) Add(load float64, boot time.Duration, now time.Time) {
	s := sample{at: now, load: load, forecast: load}
	if earlier, ok := f.sampleBefore(now.Add(-trendWindow)); ok {
		slope := (load - earlier.load) / now.Sub(earlier.at).Seconds()
		s.forecast = min(max(load, load+slope*boot.Seconds()), maxForecastRatio*load)
	}
	f.samples = append(f.samples, s)
	for len(f.samples) > 0 && now.Sub(f.samples[0].at) > forecastRetention {
		f.samples = f.samples[1:]
	}
}

// sampleBefore returns the newest sample taken at or before t.
func (f *Forecast) sampleBefore(t time.Time) (sample, bool) {
	for i := len(f.samples) - 1; i >= 0; i-- {
		if !f.samples[i].at.After(t) {
			return f.samples[i], true
		}
	}
	return sample{}, false
}

// Peak returns the highest forecast within the retention time.
func (f *Forecast) Peak() float64 {
	peak := 0.0
	for _, s := range f.samples {
		peak = max(peak, s.forecast)
	}
	return peak
}
