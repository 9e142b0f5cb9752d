package logflags

import "headhill.example/headhill/pkg/inifile"

// Settings configures logging.
type Settings struct {
	Level  string
	Format string
	// Output lists the subsystems that log at debug level whatever Level is.
	Output []string
}

// DefaultSettings returns the settings used where a file sets none.
func DefaultSettings() Settings { return Settings{Level: "info", Format: "logfmt"} }

// Read parses and validates the log section of a settings file.
func (l *Settings) Read(s *inifile.Section) {
	s.OneOf("level", &l.Level, "debug", "info", "warn", "error")
	s.OneOf("format", &l.Format, "logfmt", "json")
	s.List("output", &l.Output)
	for _, o := range l.Output {
		if err := CheckSubsystem(o); err != nil {
			s.AddProblem("output", o, err.Error())
		}
	}
	s.ReportUnknownKeys()
}
