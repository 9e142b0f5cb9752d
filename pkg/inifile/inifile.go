// Package inifile reads and validates values from INI files. All problems of a
// file are collected and reported together.
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

// Problem is one invalid value, key or section of a file.
type Problem struct {
	Section string
	Key     string
	// Value is the text found in the file.
	Value string
	// Remedy tells the user what to write instead.
	Remedy string
}

func (p Problem) String() string {
	return fmt.Sprintf("[%s] %s = %q: %s", p.Section, p.Key, p.Value, p.Remedy)
}

// Error lists all problems of a file.
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

// SyntaxError reports a file that cannot be read or is not valid INI.
type SyntaxError struct {
	File  string
	Cause error
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("%s can't be read as INI: %v: check the path and the file's form", e.File, e.Cause)
}

func (e *SyntaxError) Unwrap() error { return e.Cause }

// MaxSizeBytes is the maximum size of content passed to Load as []byte.
const MaxSizeBytes = 8 << 20

// File is a parsed INI file together with the problems found in it so far.
type File struct {
	name     string
	ini      *ini.File
	problems []Problem
	// requested holds the sections that the caller has asked for.
	requested map[string]bool
}

// Load parses source, which is a file path or the content as []byte. The name
// is used in error messages.
func Load(name string, source any) (*File, error) {
	if b, ok := source.([]byte); ok && len(b) > MaxSizeBytes {
		return nil, &SyntaxError{File: name, Cause: fmt.Errorf("%d bytes, at most %d are read", len(b), MaxSizeBytes)}
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
	return &File{name: name, ini: f, requested: make(map[string]bool)}, nil
}

// Section returns the section with the given name. A missing section is treated
// as empty.
func (f *File) Section(name string) *Section {
	f.requested[name] = true
	s, err := f.ini.GetSection(name)
	if err != nil {
		s = nil
	}
	return &Section{file: f, ini: s, header: name}
}

// NamedSections returns the sections "[kind NAME]" in file order. A duplicate
// name is reported as a problem.
func (f *File) NamedSections(kind string) []*Section {
	var list []*Section
	names := make(map[string]bool)
	for _, s := range f.ini.Sections() {
		name, ok := strings.CutPrefix(s.Name(), kind+" ")
		if !ok {
			continue
		}
		f.requested[s.Name()] = true
		if names[name] {
			f.problems = append(f.problems, Problem{Section: s.Name(), Remedy: "the section stands twice: merge them"})
			continue
		}
		names[name] = true
		list = append(list, &Section{file: f, ini: s, header: s.Name(), Name: strings.TrimSpace(name)})
	}
	return list
}

// AddProblem records a problem found by the caller.
func (f *File) AddProblem(section, key, value, remedy string) {
	f.problems = append(f.problems, Problem{Section: section, Key: key, Value: value, Remedy: remedy})
}

// Finish returns all problems as an *Error, or nil if there are none. Sections
// that were never requested are reported as unknown.
func (f *File) Finish() error {
	for _, s := range f.ini.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		if !f.requested[s.Name()] {
			f.AddProblem(s.Name(), "", "", "unknown section: remove it or check its spelling")
		}
	}
	if len(f.problems) == 0 {
		return nil
	}
	return &Error{File: f.name, Problems: f.problems}
}

// Section reads the keys of one section. Its methods leave the destination
// unchanged if the key is absent or invalid, except where stated.
type Section struct {
	file *File
	ini  *ini.Section
	// header is the full section name, as in "kind NAME".
	header string
	// Name is the NAME part of a "kind NAME" section.
	Name string
	// knownKeys are the keys that the caller has read.
	knownKeys []string
}

func (s *Section) lookup(key string) (string, bool) {
	s.knownKeys = append(s.knownKeys, key)
	if s.ini == nil || !s.ini.HasKey(key) {
		return "", false
	}
	return strings.TrimSpace(s.ini.Key(key).String()), true
}

// AddProblem records a problem with a key of the section.
func (s *Section) AddProblem(key, value, remedy string) {
	s.file.AddProblem(s.header, key, value, remedy)
}

// Has reports whether the section contains the key.
func (s *Section) Has(key string) bool { return s.ini != nil && s.ini.HasKey(key) }

// Require records a problem if the key is absent or empty.
func (s *Section) Require(key, remedy string) {
	if !s.Has(key) || strings.TrimSpace(s.ini.Key(key).String()) == "" {
		s.AddProblem(key, "", "required: "+remedy)
	}
}

// String reads a string.
func (s *Section) String(key string, v *string) {
	if t, ok := s.lookup(key); ok {
		*v = t
	}
}

// OneOf reads a string that must be one of options.
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

// Int reads an integer in the range [lo, hi].
func (s *Section) Int(key string, v *int, lo, hi int) {
	t, ok := s.lookup(key)
	if !ok {
		return
	}
	n, err := strconv.Atoi(t)
	if err != nil || n < lo || n > hi {
		s.AddProblem(key, t, fmt.Sprintf("write a whole number from %d to %d", lo, hi))
		return
	}
	*v = n
}

// Float reads a number in the range [lo, hi].
func (s *Section) Float(key string, v *float64, lo, hi float64) {
	t, ok := s.lookup(key)
	if !ok {
		return
	}
	n, err := strconv.ParseFloat(t, 64)
	if err != nil || !(n >= lo && n <= hi) {
		s.AddProblem(key, t, fmt.Sprintf("write a number from %g to %g", lo, hi))
		return
	}
	*v = n
}

// Percent reads a percentage such as "5%" as a fraction in the range [lo, hi].
func (s *Section) Percent(key string, v *float64, lo, hi float64) {
	t, ok := s.lookup(key)
	if !ok {
		return
	}
	n, err := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(t, "%")), 64)
	if err != nil || !strings.HasSuffix(t, "%") || !(n/100 >= lo && n/100 <= hi) {
		s.AddProblem(key, t, fmt.Sprintf("write a share from %g%% to %g%%", lo*100, hi*100))
		return
	}
	*v = n / 100
}

// Duration reads a duration such as "1.3s" or "37ms" in the range [lo, hi].
func (s *Section) Duration(key string, v *time.Duration, lo, hi time.Duration) {
	t, ok := s.lookup(key)
	if !ok {
		return
	}
	d, err := time.ParseDuration(t)
	if err != nil || d < lo || d > hi {
		s.AddProblem(key, t, fmt.Sprintf("write a time with its unit, from %s to %s", lo, hi))
		return
	}
	*v = d
}

// Bool reads "yes" or "no".
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

// List reads words separated by spaces, tabs or commas.
func (s *Section) List(key string, v *[]string) {
	t, ok := s.lookup(key)
	if !ok {
		return
	}
	*v = strings.FieldsFunc(t, func(r rune) bool { return r == ',' || r == ' ' || r == '\t' })
}

// AddrPort reads an IP address and port. Port 0 is accepted only if allowZeroPort
// is set. The destination is set even if the address is invalid.
func (s *Section) AddrPort(key string, v *string, allowZeroPort bool) {
	t, ok := s.lookup(key)
	if !ok {
		return
	}
	s.checkAddrPort(key, t, allowZeroPort)
	*v = t
}

// AddrPorts reads a list of IP addresses with non-zero ports. The destination is
// set even if an address is invalid.
func (s *Section) AddrPorts(key string, v *[]string) {
	s.List(key, v)
	for _, a := range *v {
		s.checkAddrPort(key, a, false)
	}
}

func (s *Section) checkAddrPort(key, t string, allowZeroPort bool) {
	a, err := netip.ParseAddrPort(t)
	if err != nil || (a.Port() == 0 && !allowZeroPort) {
		s.AddProblem(key, t, "write an IP address and port, as 192.0.2.7:8443")
	}
}

// Values returns all keys of the section with their values.
func (s *Section) Values() map[string]string {
	m := make(map[string]string)
	if s.ini == nil {
		return m
	}
	for _, k := range s.ini.Keys() {
		m[k.Name()] = strings.TrimSpace(k.String())
		s.knownKeys = append(s.knownKeys, k.Name())
	}
	return m
}

// ReportUnknownKeys records a problem for each key that the caller did not read.
func (s *Section) ReportUnknownKeys() {
	if s.ini == nil {
		return
	}
	for _, k := range s.ini.Keys() {
		if !slices.Contains(s.knownKeys, k.Name()) {
			s.AddProblem(k.Name(), k.String(), "unknown key: remove it or check its spelling; known here: "+strings.Join(s.knownKeys, ", "))
		}
	}
}
