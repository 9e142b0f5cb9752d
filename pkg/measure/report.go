package measure

import (
	"fmt"
	"strings"

	"github.com/sourcegraph/conc/iter"
)

// Summary aggregates the results of one variant over all seeds.
type Summary struct {
	Scenario    string         `json:"scenario"`
	Variant     string         `json:"variant"`
	Classes     []ClassSummary `json:"classes"`
	Goodput     Spread         `json:"goodput"`
	BurstTokens Spread         `json:"burst_tokens"`
	Occupancy   Spread         `json:"occupancy"`
	Wasted      Spread         `json:"wasted"`
}

// ClassSummary aggregates the results of one class over all seeds.
type ClassSummary struct {
	Class             string `json:"class"`
	Attainment        Spread `json:"attainment"`
	BurstAttainment   Spread `json:"burst_attainment"`
	WorstOrganisation Spread `json:"worst_organisation"`
	FirstTokenP95Ms   Spread `json:"first_p95_ms"`
	InterTokenP95Ms   Spread `json:"between_p95_ms"`
	LongestWaitMs     Spread `json:"longest_wait_ms"`
	Shed              Spread `json:"shed"`
	Expired           Spread `json:"expired"`
	// ServedOnRetry is the share of retrying callers that were served.
	ServedOnRetry   Spread `json:"served_on_return"`
	BurstStartShare Spread `json:"burst_starts"`
}

// job identifies one run by variant and seed.
type job struct {
	variant int
	seed    uint64
}

// Measure runs every variant with seeds 1 to n in parallel and returns a summary
// of each variant.
func Measure(sc Scenario, variants []Variant, n int) []Summary {
	var jobs []job
	for v := range variants {
		for s := range n {
			jobs = append(jobs, job{variant: v, seed: uint64(s + 1)})
		}
	}
	results := iter.Map(jobs, func(j *job) *Result { return Run(sc, variants[j.variant], j.seed) })
	list := make([]Summary, len(variants))
	for v := range variants {
		list[v] = summarise(results[v*n : (v+1)*n])
	}
	return list
}

func summarise(results []*Result) Summary {
	of := func(f func(*Result) float64) Spread {
		values := make([]float64, len(results))
		for i, r := range results {
			values[i] = f(r)
		}
		return spreadOf(values)
	}
	s := Summary{
		Scenario:    results[0].Scenario,
		Variant:     results[0].Variant,
		Goodput:     of(func(r *Result) float64 { return r.Goodput }),
		BurstTokens: of(func(r *Result) float64 { return r.BurstTokens }),
		Occupancy:   of(func(r *Result) float64 { return r.Occupancy }),
		Wasted:      of(func(r *Result) float64 { return r.Wasted }),
	}
	for i, c := range results[0].Classes {
		class := func(f func(*ClassResult) float64) Spread {
			return of(func(r *Result) float64 { return f(r.Classes[i]) })
		}
		s.Classes = append(s.Classes, ClassSummary{
			Class:             c.Class,
			Attainment:        class(func(c *ClassResult) float64 { return c.Attainment }),
			BurstAttainment:   class(func(c *ClassResult) float64 { return c.BurstAttainment }),
			WorstOrganisation: class(func(c *ClassResult) float64 { return c.WorstOrganisation }),
			FirstTokenP95Ms:   class(func(c *ClassResult) float64 { return c.FirstTokenP95Ms }),
			InterTokenP95Ms:   class(func(c *ClassResult) float64 { return c.InterTokenP95Ms }),
			LongestWaitMs:     class(func(c *ClassResult) float64 { return c.LongestWaitMs }),
			Shed:              class(func(c *ClassResult) float64 { return float64(c.Shed) }),
			Expired:           class(func(c *ClassResult) float64 { return float64(c.Expired) }),
			ServedOnRetry:     class(func(c *ClassResult) float64 { return ratio(c.ServedOnRetry, c.Retried) }),
			BurstStartShare:   class(func(c *ClassResult) float64 { return c.BurstStartShare }),
		})
	}
	return s
}

// percent formats the mean and range of a share as percentages.
func percent(s Spread) string {
	return fmt.Sprintf("%.1f (%.1f-%.1f)", s.Mean*100, s.Min*100, s.Max*100)
}

// Table formats summaries as Markdown.
func Table(list []Summary) string {
	var b strings.Builder
	fmt.Fprintf(&b, "| variant | class | attained %% | in burst %% | worst org. %% | first p95 ms | between p95 ms | longest wait s | shed | expired | served on return %% | burst starts %% |\n")
	fmt.Fprintf(&b, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, s := range list {
		for _, c := range s.Classes {
			fmt.Fprintf(&b, "| %s | %s | %s | %s | %.1f | %.0f | %.1f | %.1f | %.0f | %.0f | %.1f | %.1f |\n",
				s.Variant, c.Class, percent(c.Attainment), percent(c.BurstAttainment), c.WorstOrganisation.Mean*100, c.FirstTokenP95Ms.Mean, c.InterTokenP95Ms.Mean,
				c.LongestWaitMs.Max/1000, c.Shed.Mean, c.Expired.Mean, c.ServedOnRetry.Mean*100, c.BurstStartShare.Mean*100)
		}
	}
	fmt.Fprintf(&b, "\n| variant | goodput /s | tokens/s in burst | slots in use in burst %% | wasted %% |\n| --- | --- | --- | --- | --- |\n")
	for _, s := range list {
		fmt.Fprintf(&b, "| %s | %.1f (%.1f-%.1f) | %.0f | %s | %.2f (%.2f-%.2f) |\n", s.Variant, s.Goodput.Mean, s.Goodput.Min, s.Goodput.Max,
			s.BurstTokens.Mean, percent(s.Occupancy), s.Wasted.Mean*100, s.Wasted.Min*100, s.Wasted.Max*100)
	}
	return b.String()
}
