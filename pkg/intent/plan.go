package intent

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"reflect"

	"headhill.example/headhill/pkg/config"
)

// Verbs of an ItemDiff.
const (
	VerbAdd    = "add"
	VerbChange = "change"
	VerbRemove = "remove"
)

// ItemDiff describes the change of one item.
type ItemDiff struct {
	Verb string          `json:"verb"`
	Kind config.ItemKind `json:"kind"`
	Name string          `json:"name"`
	// Fields lists the fields that differ; empty unless Verb is VerbChange.
	Fields []FieldDiff `json:"fields,omitempty"`
}

// FieldDiff is the old and new value of a field. Operators see the Go names of the
// fields of package config here.
type FieldDiff struct {
	Name string `json:"name"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

// Plan is the change required to apply an intent. It is self-contained, so that any
// box can confirm it.
type Plan struct {
	// ID is a hash of Base and Change.
	ID string `json:"id"`
	// Base is the generation that the plan was computed for.
	Base     uint64        `json:"base_generation"`
	Change   config.Change `json:"change"`
	Diffs    []ItemDiff    `json:"lines"`
	Warnings []string      `json:"warnings,omitempty"`
}

// TamperedError reports a plan whose content does not match its ID.
type TamperedError struct{}

func (e *TamperedError) Error() string {
	return "the plan was altered after it was made: plan again"
}

// NoChangeError reports an intent that matches the current configuration.
type NoChangeError struct{ Generation uint64 }

func (e *NoChangeError) Error() string {
	return fmt.Sprintf("the intent says what generation %d already has: there is nothing to confirm", e.Generation)
}

// NewPlan returns the plan that leads from st to the wanted items. The error is a
// *config.ValidationError, *NoChangeError or *UnknownItemError.
func NewPlan(st *config.State, wanted config.Change) (Plan, error) {
	p := Plan{Base: st.Generation}
	if err := diffState(st, wanted, &p); err != nil {
		return Plan{}, err
	}
	if p.Change.Empty() {
		return Plan{}, &NoChangeError{Generation: st.Generation}
	}
	next := st.Apply(p.Change)
	if err := next.Validate(); err != nil {
		return Plan{}, err
	}
	p.Warnings = warnings(st, next, p.Diffs)
	p.ID = planID(p.Base, p.Change)
	return p, nil
}

// Verify returns a *TamperedError if the plan's content does not match its ID.
func (p *Plan) Verify() error {
	if p.ID == "" || p.ID != planID(p.Base, p.Change) {
		return &TamperedError{}
	}
	return nil
}

func planID(base uint64, c config.Change) string {
	// Marshal cannot fail for these types.
	b, _ := json.Marshal(c)
	h := sha256.New()
	fmt.Fprintf(h, "%d\n", base)
	h.Write(b)
	return hex.EncodeToString(h.Sum(nil)[:12])
}

// UnknownItemError reports that an intent removes an item that does not exist.
type UnknownItemError struct{ config.Ref }

func (e *UnknownItemError) Error() string {
	return fmt.Sprintf("%s %s does not exist: there is nothing to remove; check the name", e.Kind, e.Name)
}

// diffState fills in the change and the item diffs of p.
func diffState(st *config.State, wanted config.Change, p *Plan) error {
	for _, r := range wanted.Remove {
		if !itemExists(st, r) {
			return &UnknownItemError{Ref: r}
		}
		p.Change.Remove = append(p.Change.Remove, r)
		p.Diffs = append(p.Diffs, ItemDiff{Verb: VerbRemove, Kind: r.Kind, Name: r.Name})
	}
	p.Change.Classes = diffItems(p, config.KindClass, wanted.Classes, st.Class, func(v config.Class) string { return v.Name })
	p.Change.Organisations = diffItems(p, config.KindOrganisation, wanted.Organisations, st.Organisation, func(v config.Organisation) string { return v.Name })
	p.Change.Services = diffItems(p, config.KindService, wanted.Services, st.Service, func(v config.Service) string { return v.Name })
	p.Change.Servers = diffItems(p, config.KindServer, wanted.Servers, st.Server, func(v config.Server) string { return v.Name })
	return nil
}

func itemExists(st *config.State, r config.Ref) bool {
	ok := false
	switch r.Kind {
	case config.KindClass:
		_, ok = st.Class(r.Name)
	case config.KindOrganisation:
		_, ok = st.Organisation(r.Name)
	case config.KindService:
		_, ok = st.Service(r.Name)
	case config.KindServer:
		_, ok = st.Server(r.Name)
	}
	return ok
}

// diffItems returns the wanted items that differ from the current ones, and adds
// their diffs to p.
func diffItems[V any](p *Plan, kind config.ItemKind, wanted []V, find func(string) (V, bool), name func(V) string) []V {
	var changed []V
	for _, v := range wanted {
		old, ok := find(name(v))
		d := ItemDiff{Verb: VerbAdd, Kind: kind, Name: name(v)}
		if ok {
			d.Verb = VerbChange
			d.Fields = diffFields(old, v)
			if len(d.Fields) == 0 {
				continue
			}
		}
		p.Diffs = append(p.Diffs, d)
		changed = append(changed, v)
	}
	return changed
}

// diffFields returns the fields that differ between two items of the same type.
func diffFields(old, new any) []FieldDiff {
	var list []FieldDiff
	a, b := reflect.ValueOf(old), reflect.ValueOf(new)
	for i := range a.NumField() {
		x, y := fmt.Sprint(a.Field(i).Interface()), fmt.Sprint(b.Field(i).Interface())
		if x != y {
			list = append(list, FieldDiff{Name: a.Type().Field(i).Name, Old: x, New: y})
		}
	}
	return list
}
