package intent

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"reflect"

	"headhill.example/headhill/pkg/config"
)

// Verbs of a plan's lines.
const (
	VerbAdd    = "add"
	VerbChange = "change"
	VerbRemove = "remove"
)

// ItemDiff is one item that a plan changes.
type ItemDiff struct {
	Verb string          `json:"verb"`
	Kind config.ItemKind `json:"kind"`
	Name string          `json:"name"`
	// Fields lists what differs, for a change.
	Fields []FieldDiff `json:"fields,omitempty"`
}

// FieldDiff is one difference.
type FieldDiff struct {
	Name string `json:"name"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

// Plan is what an intent will change. It carries all that confirming it needs,
// so that any box can confirm it.
type Plan struct {
	ID       string        `json:"id"`
	Base     uint64        `json:"base_generation"`
	Change   config.Change `json:"change"`
	Diffs    []ItemDiff    `json:"lines"`
	Warnings []string      `json:"warnings,omitempty"`
}

// TamperedError says that a plan's content does not match its ID.
type TamperedError struct{}

func (e *TamperedError) Error() string {
	return "the plan was altered after it was made: plan again"
}

// NoChangeError says that an intent changes nothing.
type NoChangeError struct{ Generation uint64 }

func (e *NoChangeError) Error() string {
	return fmt.Sprintf("the intent says what generation %d already has: there is nothing to confirm", e.Generation)
}

// NewPlan plans a change on a state. The error is *config.ValidationError,
// *NoChangeError or *UnknownItemError.
func NewPlan(st *config.State, wanted config.Change) (Plan, error) {
	p := Plan{Base: st.Generation}
	if err := diff(st, wanted, &p); err != nil {
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

// Verify tells whether a plan is as it was made.
func (p *Plan) Verify() error {
	if p.ID == "" || p.ID != planID(p.Base, p.Change) {
		return &TamperedError{}
	}
	return nil
}

func planID(base uint64, c config.Change) string {
	// Plain structs always encode.
	b, _ := json.Marshal(c)
	h := sha256.New()
	fmt.Fprintf(h, "%d\n", base)
	h.Write(b)
	return hex.EncodeToString(h.Sum(nil)[:12])
}

// UnknownItemError says that an intent removes what does not exist.
type UnknownItemError struct{ config.Ref }

func (e *UnknownItemError) Error() string {
	return fmt.Sprintf("%s %s does not exist: there is nothing to remove; check the name", e.Kind, e.Name)
}

func diff(st *config.State, w config.Change, p *Plan) error {
	for _, r := range w.Remove {
		if !exists(st, r) {
			return &UnknownItemError{Ref: r}
		}
		p.Change.Remove = append(p.Change.Remove, r)
		p.Diffs = append(p.Diffs, ItemDiff{Verb: VerbRemove, Kind: r.Kind, Name: r.Name})
	}
	p.Change.Classes = diffItems(p, config.KindClass, w.Classes, st.Class, func(v config.Class) string { return v.Name })
	p.Change.Organisations = diffItems(p, config.KindOrganisation, w.Organisations, st.Organisation, func(v config.Organisation) string { return v.Name })
	p.Change.Services = diffItems(p, config.KindService, w.Services, st.Service, func(v config.Service) string { return v.Name })
	p.Change.Servers = diffItems(p, config.KindServer, w.Servers, st.Server, func(v config.Server) string { return v.Name })
	return nil
}

func exists(st *config.State, r config.Ref) bool {
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

// diffItems keeps the items that differ from the state and writes their lines.
func diffItems[V any](p *Plan, kind config.ItemKind, wanted []V, find func(string) (V, bool), name func(V) string) []V {
	var kept []V
	for _, v := range wanted {
		old, ok := find(name(v))
		l := ItemDiff{Verb: VerbAdd, Kind: kind, Name: name(v)}
		if ok {
			l.Verb = VerbChange
			l.Fields = fields(old, v)
			if len(l.Fields) == 0 {
				continue
			}
		}
		p.Diffs = append(p.Diffs, l)
		kept = append(kept, v)
	}
	return kept
}

// fields lists the fields that differ between two items of one type.
func fields(old, new any) []FieldDiff {
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
