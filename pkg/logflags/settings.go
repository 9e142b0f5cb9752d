package logflags

import "headhill.example/headhill/pkg/inifile"

// Settings say what is logged and how.
type Settings struct {
	Level  string
	Format string
	// Output lists the subsystems that log at debug level.
	Output []string
}

// DefaultSettings are those of a file that says nothing of logs.
func DefaultSettings() Settings { return Settings{Level: "info", Format: "logfmt"} }

// Read reads and checks the section of a settings file that is about logs.
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
