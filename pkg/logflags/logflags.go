// Package logflags makes the loggers of the subsystems, each with its own switch.
package logflags

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Subsystems that can be switched to debug level.
const (
	Entry      = "entry"
	Shard      = "shard"
	Backend    = "backend"
	Claims     = "claims"
	Config     = "config"
	Peer       = "peer"
	Platform   = "platform"
	Admin      = "admin"
	Box        = "box"
	Gateway    = "gateway"
	Directory  = "directory"
	Balancer   = "balancer"
	Duties     = "duties"
	Quarantine = "quarantine"
	allOutput  = "all"
)

var subsystems = []string{Entry, Shard, Backend, Claims, Config, Peer, Platform, Admin, Box, Gateway, Directory, Balancer, Duties, Quarantine}

// UnknownSubsystemError says that a switch names no subsystem.
type UnknownSubsystemError struct{ Name string }

func (e *UnknownSubsystemError) Error() string {
	return fmt.Sprintf("no subsystem %q: write %s, or %s", e.Name, strings.Join(subsystems, ", "), allOutput)
}

// CheckSubsystem tells whether name is a subsystem or "all".
func CheckSubsystem(name string) error {
	if name == allOutput || slices.Contains(subsystems, name) {
		return nil
	}
	return &UnknownSubsystemError{Name: name}
}

// ParseSubsystems reads a list of subsystems separated by commas.
func ParseSubsystems(list string) ([]string, error) {
	names := strings.Split(list, ",")
	for _, n := range names {
		if err := CheckSubsystem(n); err != nil {
			return nil, err
		}
	}
	return names, nil
}

// Loggers makes loggers.
type Loggers struct {
	base   log.Logger
	level  string
	output []string
}

// New returns loggers that write to w, in format logfmt or json, at the level and
// above; the subsystems in output also log at debug level.
func New(w io.Writer, format, lvl string, output []string) *Loggers {
	w = log.NewSyncWriter(w)
	base := log.NewLogfmtLogger(w)
	if format == "json" {
		base = log.NewJSONLogger(w)
	}
	base = log.With(base, "ts", log.DefaultTimestampUTC)
	return &Loggers{base: base, level: lvl, output: output}
}

// For returns the logger of a subsystem.
func (l *Loggers) For(subsystem string) log.Logger {
	lvl := l.level
	if slices.Contains(l.output, subsystem) || slices.Contains(l.output, allOutput) {
		lvl = "debug"
	}
	filtered := level.NewFilter(l.base, level.Allow(level.ParseDefault(lvl, level.InfoValue())))
	return log.With(filtered, "sys", subsystem)
}
