// Package inifile reads checked values from INI files. Every fault of a file is
// collected, so that its writer sees them all at once.
package inifile

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Problem is one fault of a file.
type Problem struct {
	Section string
	Key     string
	// Value is what was read.
	Value string
	// Remedy says what to write instead.
	Remedy string
}

func (p Problem) String() string {
	return fmt.Sprintf("[%s] %s = %q: %s", p.Section, p.Key, p.Value, p.Remedy)
}

// Error lists every fault of a file.
type Error struct {
	File     string
	Problems []Problem
}

func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("%s: %d problem(s), nothing was done:", e.File, len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, "  "+p.String())
	}
	return strings.Join(lines, "\n")
}

// SyntaxError says that a file is not INI, or can't be read.
type SyntaxError struct {
	File  string
	Cause error
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("%s can't be read as INI: %v: check the path and the file's form", e.File, e.Cause)
}

func (e *SyntaxError) Unwrap() error { return e.Cause }

// MaxSize bounds a file, in bytes.
const MaxSize = 8 << 20

// File is a parsed file and the faults found in it so far.
type File struct {
	name     string
	ini      *ini.File
	problems []Problem
	seen     map[string]bool
}

// Load parses a source: a file's path, or its content as []byte.
func Load(name string, source any) (*File, error) {
	if b, ok := source.([]byte); ok && len(b) > MaxSize {
		return nil, &SyntaxError{File: name, Cause: fmt.Errorf("%d bytes, at most %d are read", len(b), MaxSize)}
	}
	opts := ini.LoadOptions{
		AllowNonUniqueSections:  true,
		SkipUnrecognizableLines: false,
		IgnoreInlineComment:     false,
		KeyValueDelimiters:      "=",
	}
	f, err := ini.LoadSources(opts, source)
	if err != nil {
		return nil, &SyntaxError{File: name, Cause: err}
	}
	return &File{name: name, ini: f, seen: make(map[string]bool)}, nil
}

// Section returns the section of this name, to be read by its methods. A missing
// section reads as an empty one.
func (f *File) Section(name string) *Section {
	f.seen[name] = true
	s, err := f.ini.GetSection(name)
	if err != nil {
		s = nil
	}
	return &Section{file: f, ini: s, name: name}
}

// NamedSections returns the sections "kind NAME", in file order. A name that stands twice
// is a problem.
func (f *File) NamedSections(kind string) []*Section {
	var list []*Section
	names := make(map[string]bool)
	for _, s := range f.ini.Sections() {
		name, ok := strings.CutPrefix(s.Name(), kind+" ")
		if !ok {
			continue
		}
		f.seen[s.Name()] = true
		if names[name] {
			f.problems = append(f.problems, Problem{Section: s.Name(), Remedy: "the section stands twice: merge them"})
			continue
		}
		names[name] = true
		list = append(list, &Section{file: f, ini: s, name: s.Name(), Name: strings.TrimSpace(name)})
	}
	return list
}

// AddProblem adds a problem that the caller found.
func (f *File) AddProblem(section, key, value, remedy string) {
	f.problems = append(f.problems, Problem{Section: section, Key: key, Value: value, Remedy: remedy})
}

// Finish returns all problems as an *Error, or nil. Sections nobody asked for are
// problems too.
func (f *File) Finish() error {
	for _, s := range f.ini.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		if !f.seen[s.Name()] {
			f.AddProblem(s.Name(), "", "", "unknown section: remove it or check its spelling")
		}
	}
	if len(f.problems) == 0 {
		return nil
	}
	return &Error{File: f.name, Problems: f.problems}
}

// Section reads one section's keys. Its reading methods leave the default in
// place when the key is absent.
type Section struct {
	file *File
	ini  *ini.Section
	name string
	// Name is what follows the kind in a "kind NAME" section.
	Name string
	read []string
}

func (s *Section) lookup(key string) (string, bool) {
	s.read = append(s.read, key)
	if s.ini == nil || !s.ini.HasKey(key) {
		return "", false
	}
	return strings.TrimSpace(s.ini.Key(key).String()), true
}

// AddProblem reports a fault of a key.
func (s *Section) AddProblem(key, value, remedy string) {
	s.file.AddProblem(s.name, key, value, remedy)
}

// Has tells whether the key stands in the section.
func (s *Section) Has(key string) bool { return s.ini != nil && s.ini.HasKey(key) }

// Require reports a key that is absent or empty.
func (s *Section) Require(key, remedy string) {
	if !s.Has(key) || strings.TrimSpace(s.ini.Key(key).String()) == "" {
		s.AddProblem(key, "", "required: "+remedy)
	}
}

// String reads a text.
func (s *Section) String(key string, v *string) {
	if t, ok := s.lookup(key); ok {
		*v = t
	}
}

// OneOf reads a text that must be among options.
func (s *Section) OneOf(key string, v *string, options ...string) {
	t, ok := s.lookup(key)
	if !ok {
		return
	}
	if !slices.Contains(options, t) {
		s.AddProblem(key, t, "write one of: "+strings.Join(options, ", "))
		return
	}
	*v = t
}

// Int reads a whole number within [least, most].
func (s *Section) Int(key string, v *int, least, most int) {
	t, ok := s.lookup(key)
	if !ok {
		return
	}
	n, err := strconv.Atoi(t)
	if err != nil || n < least || n > most {
		s.AddProblem(key, t, fmt.Sprintf("write a whole number from %d to %d", least, most))
		return
	}
	*v = n
}

// Float reads a number within [least, most].
func (s *Section) Float(key string, v *float64, least, most float64) {
	t, ok := s.lookup(key)
	if !ok {
		return
	}
	n, err := strconv.ParseFloat(t, 64)
	if err != nil || !(n >= least && n <= most) {
		s.AddProblem(key, t, fmt.Sprintf("write a number from %g to %g", least, most))
		return
	}
	*v = n
}

// Percent reads a share, written as "5%", into a fraction within [least, most].
func (s *Section) Percent(key string, v *float64, least, most float64) {
	t, ok := s.lookup(key)
	if !ok {
		return
	}
	n, err := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(t, "%")), 64)
	if err != nil || !strings.HasSuffix(t, "%") || !(n/100 >= least && n/100 <= most) {
		s.AddProblem(key, t, fmt.Sprintf("write a share from %g%% to %g%%", least*100, most*100))
		return
	}
	*v = n / 100
}

// Duration reads a time such as "1.3s" or "37ms" within [least, most].
func (s *Section) Duration(key string, v *time.Duration, least, most time.Duration) {
	t, ok := s.lookup(key)
	if !ok {
		return
	}
	d, err := time.ParseDuration(t)
	if err != nil || d < least || d > most {
		s.AddProblem(key, t, fmt.Sprintf("write a time with its unit, from %s to %s", least, most))
		return
	}
	*v = d
}

// Bool reads yes or no.
func (s *Section) Bool(key string, v *bool) {
	t, ok := s.lookup(key)
	if !ok {
		return
	}
	switch t {
	case "yes":
		*v = true
	case "no":
		*v = false
	default:
		s.AddProblem(key, t, "write yes or no")
	}
}

// List reads words separated by blanks or commas.
func (s *Section) List(key string, v *[]string) {
	t, ok := s.lookup(key)
	if !ok {
		return
	}
	*v = strings.FieldsFunc(t, func(r rune) bool { return r == ',' || r == ' ' || r == '\t' })
}

// AddrPort reads an IP address and port. Port 0 is allowed where zero is true.
func (s *Section) AddrPort(key string, v *string, zero bool) {
	t, ok := s.lookup(key)
	if !ok {
		return
	}
	s.checkAddr(key, t, zero)
	*v = t
}

// AddrPorts reads a list of addresses.
func (s *Section) AddrPorts(key string, v *[]string) {
	s.List(key, v)
	for _, a := range *v {
		s.checkAddr(key, a, false)
	}
}

func (s *Section) checkAddr(key, t string, zero bool) {
	a, err := netip.ParseAddrPort(t)
	if err != nil || (a.Port() == 0 && !zero) {
		s.AddProblem(key, t, "write an IP address and port, as 192.0.2.7:8443")
	}
}

// Values reads every key of the section as text.
func (s *Section) Values() map[string]string {
	m := make(map[string]string)
	if s.ini == nil {
		return m
	}
	for _, k := range s.ini.Keys() {
		m[k.Name()] = strings.TrimSpace(k.String())
		s.read = append(s.read, k.Name())
	}
	return m
}

// ReportUnknownKeys reports the keys of the section that nobody read.
func (s *Section) ReportUnknownKeys() {
	if s.ini == nil {
		return
	}
	for _, k := range s.ini.Keys() {
		if !slices.Contains(s.read, k.Name()) {
			s.AddProblem(k.Name(), k.String(), "unknown key: remove it or check its spelling; known here: "+strings.Join(s.read, ", "))
		}
	}
}
