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

// Line is one item that a plan changes.
type Line struct {
	Verb string      `json:"verb"`
	Kind config.Kind `json:"kind"`
	Name string      `json:"name"`
	// Fields lists what differs, for a change.
	Fields []Field `json:"fields,omitempty"`
}

// Field is one difference.
type Field struct {
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
	Lines    []Line        `json:"lines"`
	Warnings []string      `json:"warnings,omitempty"`
}

// TamperedError says that a plan's content does not match its ID.
type TamperedError struct{}

func (e *TamperedError) Error() string {
	return "the plan was altered after it was made: plan again"
}

// NothingError says that an intent changes nothing.
type NothingError struct{ Generation uint64 }

func (e *NothingError) Error() string {
	return fmt.Sprintf("the intent says what generation %d already has: there is nothing to confirm", e.Generation)
}

// Make plans a change on a state. The error is *config.InvalidError,
// *NothingError or *UnknownItemError.
func Make(st *config.State, wanted config.Change) (Plan, error) {
	p := Plan{Base: st.Generation}
	if err := diff(st, wanted, &p); err != nil {
		return Plan{}, err
	}
	if p.Change.Empty() {
		return Plan{}, &NothingError{Generation: st.Generation}
	}
	next := st.Apply(p.Change)
	if err := next.Validate(); err != nil {
		return Plan{}, err
	}
	p.Warnings = warnings(st, next, p.Lines)
	p.ID = planID(p.Base, p.Change)
	return p, nil
}

// Check tells whether a plan is as it was made.
func (p *Plan) Check() error {
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
		p.Lines = append(p.Lines, Line{Verb: VerbRemove, Kind: r.Kind, Name: r.Name})
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
func diffItems[V any](p *Plan, kind config.Kind, wanted []V, find func(string) (V, bool), name func(V) string) []V {
	var kept []V
	for _, v := range wanted {
		old, ok := find(name(v))
		l := Line{Verb: VerbAdd, Kind: kind, Name: name(v)}
		if ok {
			l.Verb = VerbChange
			l.Fields = fields(old, v)
			if len(l.Fields) == 0 {
				continue
			}
		}
		p.Lines = append(p.Lines, l)
		kept = append(kept, v)
	}
	return kept
}

// fields lists the fields that differ between two items of one type.
func fields(old, new any) []Field {
	var list []Field
	a, b := reflect.ValueOf(old), reflect.ValueOf(new)
	for i := range a.NumField() {
		x, y := fmt.Sprint(a.Field(i).Interface()), fmt.Sprint(b.Field(i).Interface())
		if x != y {
			list = append(list, Field{Name: a.Type().Field(i).Name, Old: x, New: y})
		}
	}
	return list
}
