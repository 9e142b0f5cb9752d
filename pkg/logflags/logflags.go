// Package logflags creates loggers for the subsystems and selects which of them log at debug
// level.
package logflags

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Names of the subsystems.
const (
	Entry         = "entry"
	Shard         = "shard"
	Backend       = "backend"
	Claims        = "claims"
	Config        = "config"
	Peer          = "peer"
	Platform      = "platform"
	Admin         = "admin"
	Box           = "box"
	Gateway       = "gateway"
	Directory     = "directory"
	Balancer      = "balancer"
	Duties        = "duties"
	Quarantine    = "quarantine"
	allSubsystems = "all"
)

var subsystems = []string{Entry, Shard, Backend, Claims, Config, Peer, Platform, Admin, Box, Gateway, Directory, Balancer, Duties, Quarantine}

// UnknownSubsystemError is returned for a name that is not a subsystem.
type UnknownSubsystemError struct{ Name string }

func (e *UnknownSubsystemError) Error() string {
	return fmt.Sprintf("unknown subsystem %q: use one of %s, or %s", e.Name, strings.Join(subsystems, ", "), allSubsystems)
}

// CheckSubsystem returns an UnknownSubsystemError unless name is a subsystem or "all".
func CheckSubsystem(name string) error {
	if name == allSubsystems || slices.Contains(subsystems, name) {
		return nil
	}
	return &UnknownSubsystemError{Name: name}
}

// ParseSubsystems parses a comma-separated list of subsystems.
func ParseSubsystems(list string) ([]string, error) {
	names := strings.Split(list, ",")
	for _, n := range names {
		if err := CheckSubsystem(n); err != nil {
			return nil, err
		}
	}
	return names, nil
}

// Loggers creates the loggers of the subsystems.
type Loggers struct {
	base            log.Logger
	level           string
	debugSubsystems []string
}

// New returns Loggers that write to w in the given format, logfmt or json. Lines below the
// level lvl are discarded, except those of debugSubsystems.
func New(w io.Writer, format, lvl string, debugSubsystems []string) *Loggers {
	w = log.NewSyncWriter(w)
	base := log.NewLogfmtLogger(w)
	if format == "json" {
		base = log.NewJSONLogger(w)
	}
	base = log.With(base, "ts", log.DefaultTimestampUTC)
	return &Loggers{base: base, level: lvl, debugSubsystems: debugSubsystems}
}

// For returns the logger of a subsystem.
func (l *Loggers) For(subsystem string) log.Logger {
	lvl := l.level
	if slices.Contains(l.debugSubsystems, subsystem) || slices.Contains(l.debugSubsystems, allSubsystems) {
		lvl = "debug"
	}
	filtered := level.NewFilter(l.base, level.Allow(level.ParseDefault(lvl, level.InfoValue())))
	return log.With(filtered, "sys", subsystem)
}
