// Package settings reads a box's settings: one INI file, checked as a whole
// before anything starts.
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

// TLS modes of the peer port.
const (
	PeerModeTLS   = "tls"
	PeerModePlain = "plain"
)

// Settings are a box's own settings. What the fleet shares is configuration, and
// changes through the intent API.
type Settings struct {
	Box       Box
	Listen    Listen
	Platform  Platform
	Peers     Peers
	Operators map[string]string // name to hex SHA-256 of the operator's token
	Limits    Limits
	Log       logflags.Settings
}

// Box says which box this is and where it stands.
type Box struct {
	ID     string
	Hall   string
	Region string
}

// Listen holds the addresses of the three ports.
type Listen struct {
	Caller string
	Peer   string
	Admin  string
}

// Platform says how to reach the platform.
type Platform struct {
	URL       string
	TokenFile string
	// Token is the content of TokenFile.
	Token string
	// Prefix stands before every key headhill uses.
	Prefix string
	// CallBudget are the calls a second that the platform takes from all boxes together.
	CallBudget callrate.Budget
}

// Peers says how boxes talk to each other.
type Peers struct {
	// Seeds are peers to ask while the platform's box list can't be had.
	Seeds []string
	Mode  string
	// CertFile, KeyFile and RootsFile are PEM files: this box's certificate and key, and the
	// roots that sign the peers' certificates.
	CertFile, KeyFile, RootsFile string
}

// Limits bound what callers can make a box hold.
type Limits struct {
	// MaxBodyBytes bounds a request's body, MaxHeaderBytes its header, MaxHeldBytes the bodies held at a
	// time, all in bytes.
	MaxBodyBytes, MaxHeaderBytes, MaxHeldBytes int
	// MaxRequests bounds the requests in progress.
	MaxRequests int
	// HeaderTimeout and BodyTimeout bound how long a caller may take to send.
	HeaderTimeout, BodyTimeout time.Duration
	// AnswerTimeout bounds the silence of a backend server.
	AnswerTimeout time.Duration
	// StopNotice is how long a stopping box still takes new callers, so that the
	// balancer can notice. StopTimeout bounds a planned stop; zero means no bound.
	StopNotice, StopTimeout time.Duration
}

var nameForm = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?$`)

const nameRemedy = "write 1 to 64 of a-z, 0-9, dot and dash, beginning and ending with a letter or digit"

// Default returns the settings that stand where the file says nothing.
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

// Load reads and checks a file. All its faults come in one *inifile.Error.
func Load(path string) (Settings, error) { return parse(path, path) }

// Parse checks settings held in memory, as Load does.
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
	s.Require("hall", "name the hall that the box stands in")
	s.String("id", &b.ID)
	s.String("hall", &b.Hall)
	b.Region = "default"
	s.String("region", &b.Region)
	checkName(s, "id", b.ID)
	checkName(s, "hall", b.Hall)
	checkName(s, "region", b.Region)
	s.ReportUnknownKeys()
}

func checkName(s *inifile.Section, key, v string) {
	if v != "" && !nameForm.MatchString(v) {
		s.AddProblem(key, v, nameRemedy)
	}
}

func readListen(s *inifile.Section, l *Listen) {
	s.AddrPort("caller", &l.Caller, true)
	s.AddrPort("peer", &l.Peer, true)
	s.AddrPort("admin", &l.Admin, true)
	s.ReportUnknownKeys()
}

var urlForm = regexp.MustCompile(`^https?://[^\s/]+`)

func readPlatform(s *inifile.Section, p *Platform) {
	s.Require("url", "write the URL of the platform's object API, as http://192.0.2.1:7000")
	s.String("url", &p.URL)
	s.String("token-file", &p.TokenFile)
	s.String("prefix", &p.Prefix)
	callrate.ReadSettings(s, &p.CallBudget)
	if p.URL != "" && !urlForm.MatchString(p.URL) {
		s.AddProblem("url", p.URL, "write an http or https URL, as http://192.0.2.1:7000")
	}
	checkName(s, "prefix", p.Prefix)
	p.Token = readToken(s, p.TokenFile)
	s.ReportUnknownKeys()
}

func readToken(s *inifile.Section, file string) string {
	if file == "" {
		return ""
	}
	b, err := os.ReadFile(file)
	if err != nil {
		s.AddProblem("token-file", file, "name a readable file: "+err.Error())
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
			checkFile(s, f.key, f.path)
		}
	}
	s.ReportUnknownKeys()
}

func checkFile(s *inifile.Section, key, path string) {
	const remedy = "name a readable PEM file, or set mode = plain on a network you trust"
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
			s.AddProblem(name, hash, "write the hex SHA-256 of the operator's token, as `headhillctl key` prints it")
		}
	}
	return m
}

func readLimits(s *inifile.Section, l *Limits) {
	const most = 1 << 40
	s.Int("body", &l.MaxBodyBytes, 1<<10, 1<<30)
	s.Int("header", &l.MaxHeaderBytes, 1<<10, 1<<20)
	s.Int("held", &l.MaxHeldBytes, 1<<20, most)
	s.Int("requests", &l.MaxRequests, 1, 1<<20)
	s.Duration("header-timeout", &l.HeaderTimeout, 100*time.Millisecond, time.Minute)
	s.Duration("body-timeout", &l.BodyTimeout, 100*time.Millisecond, 10*time.Minute)
	s.Duration("answer-timeout", &l.AnswerTimeout, 100*time.Millisecond, time.Hour)
	s.Duration("stop-notice", &l.StopNotice, 0, time.Minute)
	s.Duration("stop", &l.StopTimeout, 0, 24*time.Hour)
	s.ReportUnknownKeys()
}
