package roster

import "headhill.example/headhill/pkg/forms"

// lowestLevel returns the lowest forms level among the entries, at most that of this build.
func lowestLevel(entries []Entry) int {
	lowest := forms.Level
	for _, e := range entries {
		lowest = min(lowest, forms.EffectiveLevel(e.Level))
	}
	return lowest
}

// LowestLevel returns the lowest forms level among all boxes, at most that of this build.
func (r *Roster) LowestLevel() int { return lowestLevel(r.Entries()) }

// OlderBuilds returns the names of up to limit boxes whose build reads a lower forms level than
// this one.
func (r *Roster) OlderBuilds(limit int) []string {
	names := []string{}
	for _, e := range r.Entries() {
		if len(names) < limit && !forms.Complete(e.Level) {
			names = append(names, e.Box)
		}
	}
	return names
}
