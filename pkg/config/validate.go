package config

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// Bounds of the configuration.
const (
	// MaxFloor bounds a class's floor, MaxFloorSum all floors together: the most
	// that the highest tier can be held back.
	MaxFloor    = 0.15
	MaxFloorSum = 0.30
	MinFloor    = 0.005
	MaxTier     = 16
)

// Violation is one reason why a configuration can't be accepted.
type Violation struct {
	Ref
	Remedy string
}

func (f Violation) String() string { return fmt.Sprintf("%s %s: %s", f.Kind, f.Name, f.Remedy) }

// ValidationError lists every reason why a configuration can't be accepted.
type ValidationError struct{ Violations []Violation }

func (e *ValidationError) Error() string {
	lines := []string{fmt.Sprintf("the configuration would have %d fault(s), nothing was changed:", len(e.Violations))}
	for _, f := range e.Violations {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}

// validator collects faults.
type validator struct {
	s      *State
	faults []Violation
}

func (v *validator) add(k ItemKind, name, format string, args ...any) {
	v.faults = append(v.faults, Violation{Ref: Ref{Kind: k, Name: name}, Remedy: fmt.Sprintf(format, args...)})
}

// Validate checks that a state is whole: every name refers to something, and the
// promises to the classes can be kept together. It returns *ValidationError.
func (s *State) Validate() error {
	v := &validator{s: s}
	v.classes()
	v.services()
	v.servers()
	v.organisations()
	if len(v.faults) == 0 {
		return nil
	}
	return &ValidationError{Violations: v.faults}
}

func (v *validator) classes() {
	sum := 0.0
	for _, c := range v.s.Classes() {
		sum += c.Floor
		if c.Tier < 1 || c.Tier > MaxTier {
			v.add(KindClass, c.Name, "tier %d is outside 1 to %d", c.Tier, MaxTier)
		}
		if c.Floor < MinFloor || c.Floor > MaxFloor {
			v.add(KindClass, c.Name, "floor %.1f%% is outside %.1f%% to %.0f%%: a class without a floor could starve", c.Floor*100, MinFloor*100, MaxFloor*100)
		}
		if c.FloorPlaces < 1 {
			v.add(KindClass, c.Name, "floor-places must be 1 or more: a class without a place could starve")
		}
		for _, name := range c.Servers {
			if _, ok := v.s.servers[name]; !ok {
				v.add(KindClass, c.Name, "server %s does not exist: add it or take it off the class", name)
			}
		}
	}
	if sum > MaxFloorSum+1e-9 {
		v.add(KindClass, "*", "the floors add up to %.1f%%, at most %.0f%% is allowed: lower some", sum*100, MaxFloorSum*100)
	}
}

func (v *validator) services() {
	models := make(map[string]string)
	for _, s := range v.s.Services() {
		if s.Kind != ServiceKindEngine && s.Kind != ServiceKindPlain {
			v.add(KindService, s.Name, "kind must be %s or %s", ServiceKindEngine, ServiceKindPlain)
		}
		if s.Class != "" && !v.hasClass(s.Class) {
			v.add(KindService, s.Name, "class %s does not exist: add it or name another", s.Class)
		}
		for _, m := range s.Models {
			if other, dup := models[m]; dup {
				v.add(KindService, s.Name, "model %s is served by %s already: a model belongs to one service", m, other)
			}
			models[m] = s.Name
		}
	}
}

func (v *validator) hasClass(name string) bool {
	_, ok := v.s.classes[name]
	return ok
}

func (v *validator) servers() {
	addresses := make(map[string]string)
	for _, s := range v.s.Servers() {
		if _, ok := v.s.services[s.Service]; !ok {
			v.add(KindServer, s.Name, "service %s does not exist: add it or name another", s.Service)
		}
		if _, err := netip.ParseAddrPort(s.Address); err != nil {
			v.add(KindServer, s.Name, "address %q is no IP address and port", s.Address)
		}
		if other, dup := addresses[s.Address]; dup {
			v.add(KindServer, s.Name, "address %s belongs to %s already: its slots would be counted twice", s.Address, other)
		}
		addresses[s.Address] = s.Name
		if s.State != ServerStateActive && s.State != ServerStateLeaving {
			v.add(KindServer, s.Name, "state must be %s or %s", ServerStateActive, ServerStateLeaving)
		}
	}
}

func (v *validator) organisations() {
	owners := make(map[string]string)
	for _, o := range v.s.orgs.all() {
		if !v.hasClass(o.Class) {
			v.add(KindOrganisation, o.Name, "class %q does not exist: add it or name another", o.Class)
		}
		for _, c := range o.Classes {
			if !v.hasClass(c) {
				v.add(KindOrganisation, o.Name, "class %q does not exist: add it or take it off the list", c)
			}
		}
		if len(o.Classes) > 0 && !slices.Contains(o.Classes, o.Class) {
			v.add(KindOrganisation, o.Name, "its default class %q is not among its classes: add it there", o.Class)
		}
		for _, h := range o.KeyHashes {
			if other, dup := owners[h]; dup {
				v.add(KindOrganisation, o.Name, "it shares a key with %s: give it one of its own", other)
			}
			owners[h] = o.Name
		}
	}
}
