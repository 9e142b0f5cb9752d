package config

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// Limits of class settings.
const (
	// MinFloor and MaxFloor limit the floor of a class, as a fraction.
	MinFloor = 0.005
	MaxFloor = 0.15
	// MaxFloorSum limits the sum of all floors, and so the capacity that floors
	// can take from the highest tier.
	MaxFloorSum = 0.30
	// MaxTier is the number of the lowest tier.
	MaxTier = 16
)

// Violation is a rule that an item of the configuration violates.
type Violation struct {
	Ref
	Remedy string
}

func (f Violation) String() string { return fmt.Sprintf("%s %s: %s", f.Kind, f.Name, f.Remedy) }

// ValidationError lists all violations of a configuration.
type ValidationError struct{ Violations []Violation }

func (e *ValidationError) Error() string {
	lines := []string{fmt.Sprintf("the configuration would have %d fault(s), nothing was changed:", len(e.Violations))}
	for _, f := range e.Violations {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}

// validator collects the violations of a state.
type validator struct {
	state      *State
	violations []Violation
}

func (v *validator) addViolation(k ItemKind, name, format string, args ...any) {
	v.violations = append(v.violations, Violation{Ref: Ref{Kind: k, Name: name}, Remedy: fmt.Sprintf(format, args...)})
}

// Validate checks that all references resolve, that values are within their limits
// and that the guarantees of the classes can be met together. It returns a
// *ValidationError with all violations.
func (s *State) Validate() error {
	v := &validator{state: s}
	v.classes()
	v.services()
	v.servers()
	v.organisations()
	if len(v.violations) == 0 {
		return nil
	}
	return &ValidationError{Violations: v.violations}
}

func (v *validator) classes() {
	floorSum := 0.0
	for _, c := range v.state.Classes() {
		floorSum += c.Floor
		if c.Tier < 1 || c.Tier > MaxTier {
			v.addViolation(KindClass, c.Name, "tier %d is outside 1 to %d", c.Tier, MaxTier)
		}
		if c.Floor < MinFloor || c.Floor > MaxFloor {
			v.addViolation(KindClass, c.Name, "floor %.1f%% is outside %.1f%% to %.0f%%: a class without a floor could starve", c.Floor*100, MinFloor*100, MaxFloor*100)
		}
		if c.FloorPlaces < 1 {
			v.addViolation(KindClass, c.Name, "floor-places must be 1 or more: a class without a place could starve")
		}
		for _, name := range c.Servers {
			if _, ok := v.state.servers[name]; !ok {
				v.addViolation(KindClass, c.Name, "server %s does not exist: add it or take it off the class", name)
			}
		}
	}
	if floorSum > MaxFloorSum+1e-9 {
		v.addViolation(KindClass, "*", "the floors add up to %.1f%%, at most %.0f%% is allowed: lower some", floorSum*100, MaxFloorSum*100)
	}
}

func (v *validator) services() {
	modelServices := make(map[string]string)
	for _, s := range v.state.Services() {
		if s.Kind != ServiceKindEngine && s.Kind != ServiceKindPlain {
			v.addViolation(KindService, s.Name, "kind must be %s or %s", ServiceKindEngine, ServiceKindPlain)
		}
		if s.Class != "" && !v.hasClass(s.Class) {
			v.addViolation(KindService, s.Name, "class %s does not exist: add it or name another", s.Class)
		}
		for _, m := range s.Models {
			if other, dup := modelServices[m]; dup {
				v.addViolation(KindService, s.Name, "model %s is served by %s already: a model belongs to one service", m, other)
			}
			modelServices[m] = s.Name
		}
	}
}

func (v *validator) hasClass(name string) bool {
	_, ok := v.state.classes[name]
	return ok
}

func (v *validator) servers() {
	addressServers := make(map[string]string)
	for _, s := range v.state.Servers() {
		if _, ok := v.state.services[s.Service]; !ok {
			v.addViolation(KindServer, s.Name, "service %s does not exist: add it or name another", s.Service)
		}
		if _, err := netip.ParseAddrPort(s.Address); err != nil {
			v.addViolation(KindServer, s.Name, "address %q is no IP address and port", s.Address)
		}
		if other, dup := addressServers[s.Address]; dup {
			v.addViolation(KindServer, s.Name, "address %s belongs to %s already: its slots would be counted twice", s.Address, other)
		}
		addressServers[s.Address] = s.Name
		if s.State != ServerStateActive && s.State != ServerStateLeaving {
			v.addViolation(KindServer, s.Name, "state must be %s or %s", ServerStateActive, ServerStateLeaving)
		}
	}
}

func (v *validator) organisations() {
	keyOrganisations := make(map[string]string)
	for _, o := range v.state.orgs.sorted() {
		if !v.hasClass(o.Class) {
			v.addViolation(KindOrganisation, o.Name, "class %q does not exist: add it or name another", o.Class)
		}
		for _, c := range o.Classes {
			if !v.hasClass(c) {
				v.addViolation(KindOrganisation, o.Name, "class %q does not exist: add it or take it off the list", c)
			}
		}
		if len(o.Classes) > 0 && !slices.Contains(o.Classes, o.Class) {
			v.addViolation(KindOrganisation, o.Name, "its default class %q is not among its classes: add it there", o.Class)
		}
		for _, h := range o.KeyHashes {
			if other, dup := keyOrganisations[h]; dup {
				v.addViolation(KindOrganisation, o.Name, "it shares a key with %s: give it one of its own", other)
			}
			keyOrganisations[h] = o.Name
		}
	}
}
