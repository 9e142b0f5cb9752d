package intent

import (
	"fmt"
	"slices"

	"headhill.example/headhill/pkg/config"
)

// warnings returns the consequences that an operator should know of before
// confirming.
func warnings(old, next *config.State, diffs []ItemDiff) []string {
	var w []string
	w = append(w, floorWarning(next))
	for _, c := range next.Classes() {
		w = append(w, classWarnings(next, c)...)
	}
	for _, s := range next.Services() {
		w = append(w, serviceWarnings(next, s)...)
	}
	for _, d := range diffs {
		w = append(w, diffWarnings(old, d)...)
	}
	return slices.DeleteFunc(w, func(s string) bool { return s == "" })
}

// floorWarning reports how much capacity the floors reserve. Only through floors
// can a higher tier wait for a lower one.
func floorWarning(st *config.State) string {
	sum, places := 0.0, 0
	for _, c := range st.Classes() {
		sum += c.Floor
		places += c.FloorPlaces
	}
	if sum == 0 {
		return ""
	}
	return fmt.Sprintf("floors: up to %.1f%% of the work goes to classes by their floor, and %d queue places stand besides each shard's bound; floors make higher tiers wait, they never shed them", sum*100, places)
}

func classWarnings(st *config.State, c config.Class) []string {
	var w []string
	if c.FirstToken == 0 {
		w = append(w, fmt.Sprintf("class %s has no first-token target: its attainment is not measured", c.Name))
	}
	if len(c.Servers) > 0 && !anyActive(st, c.Servers) {
		w = append(w, fmt.Sprintf("class %s: none of its servers is active, its requests will be refused", c.Name))
	}
	return w
}

func anyActive(st *config.State, names []string) bool {
	for _, n := range names {
		if s, ok := st.Server(n); ok && s.State == config.ServerStateActive {
			return true
		}
	}
	return false
}

func serviceWarnings(st *config.State, s config.Service) []string {
	var names []string
	unchecked := 0
	for _, v := range st.Servers() {
		if v.Service != s.Name {
			continue
		}
		names = append(names, v.Name)
		if !v.Fences {
			unchecked++
		}
	}
	var w []string
	if !anyActive(st, names) {
		w = append(w, fmt.Sprintf("service %s has no active server: its calls will be refused", s.Name))
	}
	if !s.Repeatable && unchecked > 0 {
		w = append(w, fmt.Sprintf("service %s: %d server(s) do not check fences; calls that may not be repeated rest on the claim alone", s.Name, unchecked))
	}
	return w
}

func diffWarnings(old *config.State, d ItemDiff) []string {
	switch {
	case d.Verb == VerbRemove && d.Kind == config.KindServer:
		s, _ := old.Server(d.Name)
		if s.State == config.ServerStateActive {
			return []string{fmt.Sprintf("server %s is removed while active: set state = leaving first, so that what runs there is counted to its end", d.Name)}
		}
	case d.Verb == VerbRemove && d.Kind == config.KindOrganisation:
		return []string{fmt.Sprintf("organisation %s is removed: its callers get 401 at once", d.Name)}
	}
	return nil
}
