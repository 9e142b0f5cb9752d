package roster

import "headhill.example/headhill/pkg/forms"

// lowestLevel is the lowest level of forms that any of some boxes reads.
func lowestLevel(entries []Entry) int {
	lowest := forms.Level
	for _, e := range entries {
		lowest = min(lowest, forms.EffectiveLevel(e.Level))
	}
	return lowest
}

// LowestLevel is the lowest level of forms that any box reads, this one's at the most.
func (r *Roster) LowestLevel() int { return lowestLevel(r.Entries()) }

// OlderBuilds names boxes, some at the most, that read less than this one: those whose build is yet to
// be replaced.
func (r *Roster) OlderBuilds(most int) []string {
	names := []string{}
	for _, e := range r.Entries() {
		if len(names) < most && !forms.Complete(e.Level) {
			names = append(names, e.Box)
		}
	}
	return names
}
