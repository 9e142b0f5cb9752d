package routerd

import (
	"slices"
	"time"

	"headhill.example/headhill/pkg/callrate"
	"headhill.example/headhill/pkg/inifile"
	"headhill.example/headhill/pkg/logflags"
)

// Settings are those of one routing box.
type Settings struct {
	Box    BoxSettings
	Listen ListenSettings
	// Store is the address of the store that holds routes and servers.
	Store string
	// CallBudget are the calls a second that the store takes from all boxes together.
	CallBudget callrate.Budget
	Limits     LimitSettings
	Bounds     BoundSettings
	Duties     DutySettings
	// Regions are those of the halls, by hall. One that is not named has none, so that no request
	// that is bound to regions is served there.
	Regions map[string]string
	Log     logflags.Settings
}

// BoxSettings say which box this is and where it stands.
type BoxSettings struct{ ID, Hall, Region string }

// ListenSettings are the addresses of the ports.
type ListenSettings struct {
	Caller, Ready, Metrics string
	// Peer is where datagrams of the other boxes arrive.
	Peer string
}

// LimitSettings bound what the process uses.
type LimitSettings struct {
	// MemoryMB is the memory that the process may use, in MiB.
	MemoryMB int
	// Descriptors bounds the open files.
	Descriptors int
	// LinkMbps is the speed of the box's link, in Mbit/s; zero if it is not known.
	LinkMbps float64
}

// BoundSettings are the operators' bounds on the fleet.
type BoundSettings struct {
	// Drain is how long after it says so a leaving server may still get work.
	Drain time.Duration
	// Apply is how long an accepted table may take to be in force.
	Apply time.Duration
	// Evacuate is how long an evacuation of a hall may take to be in force; zero where none is
	// expected.
	Evacuate time.Duration
	// Grace is the time between the signal to stop and the kill.
	Grace time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the fleet's repeats.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

// soonest is the shorter of the times within which changes and evacuations must be in force.
func (b BoundSettings) soonest() time.Duration {
	if b.Evacuate == 0 {
		return b.Apply
	}
	return min(b.Apply, b.Evacuate)
}

// DutySettings are of what the fleet does once, on the box that holds the lease.
type DutySettings struct {
	// Address is where the duties' calls go, "" where the fleet has no duties.
	Address string
	// Enabled names the duties that the fleet has.
	Enabled []string
	// Lease is the length of the lease.
	Lease time.Duration
	// Window is the length of a window whose usage is reported.
	Window time.Duration
	// WorkValue is what the work of a server that is busy all the time is worth, as a multiple
	// of the price of one on demand.
	WorkValue float64
}

// Names of duties.
const (
	DutyMetering  = "metering"
	DutyAutoscale = "autoscale"
)

// Has tells whether the fleet has a duty.
func (d DutySettings) Has(duty string) bool {
	return d.Address != "" && slices.Contains(d.Enabled, duty)
}

// Unknown lists the duties that this program does not know.
func (d DutySettings) Unknown() []string {
	return slices.DeleteFunc(slices.Clone(d.Enabled), func(duty string) bool { return duty == DutyMetering || duty == DutyAutoscale })
}

// DefaultSettings returns the settings that stand where the file says nothing.
func DefaultSettings() Settings {
	return Settings{
		Listen:     ListenSettings{Caller: "127.0.0.1:8080", Ready: "127.0.0.1:8081", Metrics: "127.0.0.1:8082", Peer: "127.0.0.1:8083"},
		CallBudget: callrate.DefaultBudget,
		Limits:     LimitSettings{MemoryMB: 512, Descriptors: 4096},
		Bounds: BoundSettings{
			Drain: 2 * time.Second, Apply: 2 * time.Second, Grace: 8 * time.Second,
			RetryRatio: 0.1, RetrySlack: 20, RetryWindow: 10 * time.Second,
		},
		Duties: DutySettings{Lease: 3 * time.Second, Window: 5 * time.Second, WorkValue: 20},
		Log:    logflags.DefaultSettings(),
	}
}

// LoadSettings reads and checks a file. All its faults come in one *inifile.Error.
func LoadSettings(path string) (Settings, error) { return parseSettings(path, path) }

// ParseSettings checks settings held in memory, as LoadSettings does.
func ParseSettings(content []byte) (Settings, error) { return parseSettings("settings", content) }

func parseSettings(name string, source any) (Settings, error) {
	f, err := inifile.Load(name, source)
	if err != nil {
		return Settings{}, err
	}
	s := DefaultSettings()
	readBox(f.Section("box"), &s.Box)
	readListen(f.Section("listen"), &s.Listen)
	readStore(f.Section("store"), &s)
	readLimits(f.Section("limits"), &s.Limits)
	readBounds(f.Section("bounds"), &s.Bounds)
	readDuties(f.Section("duties"), &s.Duties)
	s.Regions = f.Section("regions").Values()
	s.Log.Read(f.Section("log"))
	return s, f.Finish()
}

func readBox(s *inifile.Section, b *BoxSettings) {
	s.Require("id", "name the box")
	s.Require("hall", "name the hall that the box stands in")
	s.String("id", &b.ID)
	s.String("hall", &b.Hall)
	s.String("region", &b.Region)
	s.ReportUnknownKeys()
}

func readListen(s *inifile.Section, l *ListenSettings) {
	s.AddrPort("caller", &l.Caller, true)
	s.AddrPort("ready", &l.Ready, true)
	s.AddrPort("metrics", &l.Metrics, true)
	s.AddrPort("peer", &l.Peer, true)
	s.ReportUnknownKeys()
}

func readStore(s *inifile.Section, to *Settings) {
	s.Require("address", "write the store's IP and port, as 192.0.2.1:7000")
	s.AddrPort("address", &to.Store, false)
	callrate.ReadSettings(s, &to.CallBudget)
	s.ReportUnknownKeys()
}

func readLimits(s *inifile.Section, l *LimitSettings) {
	s.Int("memory-mb", &l.MemoryMB, 32, 1<<20)
	s.Int("descriptors", &l.Descriptors, 256, 1<<20)
	s.Float("link-mbps", &l.LinkMbps, 0, 1<<20)
	s.ReportUnknownKeys()
}

func readBounds(s *inifile.Section, b *BoundSettings) {
	s.Duration("drain", &b.Drain, 100*time.Millisecond, time.Hour)
	s.Duration("apply", &b.Apply, 100*time.Millisecond, time.Hour)
	s.Duration("evacuate", &b.Evacuate, 100*time.Millisecond, time.Hour)
	s.Duration("grace", &b.Grace, time.Second, 24*time.Hour)
	s.Float("retry-ratio", &b.RetryRatio, 0, 10)
	s.Float("retry-slack", &b.RetrySlack, 0, 1e9)
	s.Duration("retry-window", &b.RetryWindow, 100*time.Millisecond, time.Hour)
	s.ReportUnknownKeys()
}

func readDuties(s *inifile.Section, d *DutySettings) {
	s.AddrPort("address", &d.Address, false)
	s.List("held", &d.Enabled)
	s.Duration("lease", &d.Lease, 500*time.Millisecond, time.Minute)
	s.Duration("window", &d.Window, time.Second, time.Hour)
	s.Float("work-value", &d.WorkValue, 0, 1e6)
	s.ReportUnknownKeys()
}
