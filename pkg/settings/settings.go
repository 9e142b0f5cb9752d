// Package settings loads the settings of a box from an INI file and validates them.
package settings

import (
	"encoding/hex"
	"os"
	"regexp"
	"time"

	"headhill.example/headhill/pkg/callrate"
	"headhill.example/headhill/pkg/inifile"
	"headhill.example/headhill/pkg/logflags"
)

// Security modes of the peer port.
const (
	PeerModeTLS   = "tls"
	PeerModePlain = "plain"
)

// Settings holds the settings of a single box. Configuration shared by the fleet is not part of
// it; that is changed through the intent API.
type Settings struct {
	Box      Box
	Listen   Listen
	Platform Platform
	Peers    Peers
	// Operators maps the name of each operator to the hex SHA-256 of the operator's token.
	Operators map[string]string
	Limits    Limits
	Log       logflags.Settings
}

// Box identifies the box and its location.
type Box struct {
	ID     string
	Hall   string
	Region string
}

// Listen holds the listen addresses.
type Listen struct {
	Caller string
	Peer   string
	Admin  string
}

// Platform configures access to the platform's object API.
type Platform struct {
	URL       string
	TokenFile string
	// Token is the content of TokenFile.
	Token string
	// Prefix is prepended to all object keys.
	Prefix string
	// CallBudget limits the calls to the platform per second, summed over all boxes.
	CallBudget callrate.Budget
}

// Peers configures the connections between boxes.
type Peers struct {
	// Seeds are addresses of peers to contact while the list of boxes can't be read from the
	// platform.
	Seeds []string
	// Mode is PeerModeTLS or PeerModePlain.
	Mode string
	// CertFile and KeyFile are PEM files with this box's certificate and private key. RootsFile
	// holds the CA certificates that sign the certificates of peers.
	CertFile, KeyFile, RootsFile string
}

// Limits bounds the resources that requests use on a box.
type Limits struct {
	// MaxBodyBytes and MaxHeaderBytes bound the body and header of a request; MaxHeldBytes bounds
	// the total size of the bodies in memory.
	MaxBodyBytes, MaxHeaderBytes, MaxHeldBytes int
	// MaxRequests bounds the requests in flight.
	MaxRequests int
	// HeaderTimeout and BodyTimeout bound the time for reading a request's header and body.
	HeaderTimeout, BodyTimeout time.Duration
	// AnswerTimeout is the idle timeout for an answer from a backend server.
	AnswerTimeout time.Duration
	// StopNotice is how long a stopping box keeps accepting requests, so that the load balancer
	// can take it out of rotation first. StopTimeout bounds a planned stop; zero means no limit.
	StopNotice, StopTimeout time.Duration
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?$`)

const nameRemedy = "use 1 to 64 characters of a-z, 0-9, dot and dash, starting and ending with a letter or digit"

// Default returns the default settings.
func Default() Settings {
	return Settings{
		Listen:   Listen{Caller: "127.0.0.1:8080", Peer: "127.0.0.1:8081", Admin: "127.0.0.1:8082"},
		Platform: Platform{Prefix: "headhill", CallBudget: callrate.DefaultBudget},
		Peers:    Peers{Mode: PeerModeTLS},
		Limits: Limits{
			MaxBodyBytes:   4 << 20,
			MaxHeaderBytes: 32 << 10,
			MaxHeldBytes:   512 << 20,
			MaxRequests:    20000,
			HeaderTimeout:  5 * time.Second,
			BodyTimeout:    30 * time.Second,
			AnswerTimeout:  60 * time.Second,
			StopNotice:     2 * time.Second,
		},
		Log: logflags.DefaultSettings(),
	}
}

// Load parses and validates a file. All invalid settings are reported in one *inifile.Error.
func Load(path string) (Settings, error) { return parse(path, path) }

// Parse is like Load, with the content of the file as argument.
func Parse(content []byte) (Settings, error) { return parse("settings", content) }

func parse(name string, source any) (Settings, error) {
	f, err := inifile.Load(name, source)
	if err != nil {
		return Settings{}, err
	}
	s := Default()
	readBox(f.Section("box"), &s.Box)
	readListen(f.Section("listen"), &s.Listen)
	readPlatform(f.Section("platform"), &s.Platform)
	readPeers(f.Section("peers"), &s.Peers)
	s.Operators = readOperators(f.Section("operators"))
	readLimits(f.Section("limits"), &s.Limits)
	s.Log.Read(f.Section("log"))
	return s, f.Finish()
}

func readBox(s *inifile.Section, b *Box) {
	s.Require("id", nameRemedy)
	s.Require("hall", "set the hall in which the box is located")
	s.String("id", &b.ID)
	s.String("hall", &b.Hall)
	b.Region = "default"
	s.String("region", &b.Region)
	validateName(s, "id", b.ID)
	validateName(s, "hall", b.Hall)
	validateName(s, "region", b.Region)
	s.ReportUnknownKeys()
}

func validateName(s *inifile.Section, key, v string) {
	if v != "" && !namePattern.MatchString(v) {
		s.AddProblem(key, v, nameRemedy)
	}
}

func readListen(s *inifile.Section, l *Listen) {
	s.AddrPort("caller", &l.Caller, true)
	s.AddrPort("peer", &l.Peer, true)
	s.AddrPort("admin", &l.Admin, true)
	s.ReportUnknownKeys()
}

var urlPattern = regexp.MustCompile(`^https?://[^\s/]+`)

func readPlatform(s *inifile.Section, p *Platform) {
	s.Require("url", "set the URL of the platform's object API, such as http://192.0.2.1:7000")
	s.String("url", &p.URL)
	s.String("token-file", &p.TokenFile)
	s.String("prefix", &p.Prefix)
	callrate.ReadSettings(s, &p.CallBudget)
	if p.URL != "" && !urlPattern.MatchString(p.URL) {
		s.AddProblem("url", p.URL, "use an http or https URL, such as http://192.0.2.1:7000")
	}
	validateName(s, "prefix", p.Prefix)
	p.Token = readToken(s, p.TokenFile)
	s.ReportUnknownKeys()
}

func readToken(s *inifile.Section, file string) string {
	if file == "" {
		return ""
	}
	b, err := os.ReadFile(file)
	if err != nil {
		s.AddProblem("token-file", file, "set it to a readable file: "+err.Error())
	}
	return string(trimNewline(b))
}

func trimNewline(b []byte) []byte {
	for len(b) > 0 && (b[len(b)-1] == '\n' || b[len(b)-1] == '\r') {
		b = b[:len(b)-1]
	}
	return b
}

func readPeers(s *inifile.Section, p *Peers) {
	s.AddrPorts("seeds", &p.Seeds)
	s.OneOf("mode", &p.Mode, PeerModeTLS, PeerModePlain)
	s.String("cert", &p.CertFile)
	s.String("key", &p.KeyFile)
	s.String("roots", &p.RootsFile)
	if p.Mode == PeerModeTLS {
		for _, f := range []struct{ key, path string }{{"cert", p.CertFile}, {"key", p.KeyFile}, {"roots", p.RootsFile}} {
			validateReadable(s, f.key, f.path)
		}
	}
	s.ReportUnknownKeys()
}

func validateReadable(s *inifile.Section, key, path string) {
	const remedy = "set it to a readable PEM file, or set mode = plain on a trusted network"
	if path == "" {
		s.AddProblem(key, path, remedy)
		return
	}
	if _, err := os.ReadFile(path); err != nil {
		s.AddProblem(key, path, remedy)
	}
}

func readOperators(s *inifile.Section) map[string]string {
	m := s.Values()
	for name, hash := range m {
		if b, err := hex.DecodeString(hash); err != nil || len(b) != 32 {
			s.AddProblem(name, hash, "set it to the hex SHA-256 of the operator's token, as printed by `headhillctl key`")
		}
	}
	return m
}

func readLimits(s *inifile.Section, l *Limits) {
	const maxHeldBytes = 1 << 40
	s.Int("body", &l.MaxBodyBytes, 1<<10, 1<<30)
	s.Int("header", &l.MaxHeaderBytes, 1<<10, 1<<20)
	s.Int("held", &l.MaxHeldBytes, 1<<20, maxHeldBytes)
	s.Int("requests", &l.MaxRequests, 1, 1<<20)
	s.Duration("header-timeout", &l.HeaderTimeout, 100*time.Millisecond, time.Minute)
	s.Duration("body-timeout", &l.BodyTimeout, 100*time.Millisecond, 10*time.Minute)
	s.Duration("answer-timeout", &l.AnswerTimeout, 100*time.Millisecond, time.Hour)
	s.Duration("stop-notice", &l.StopNotice, 0, time.Minute)
	s.Duration("stop", &l.StopTimeout, 0, 24*time.Hour)
	s.ReportUnknownKeys()
}
