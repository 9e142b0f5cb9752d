package routerd

import (
	"slices"
	"time"

	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/callrate"
	"headhill.example/headhill/pkg/gateway"
	"headhill.example/headhill/pkg/inifile"
	"headhill.example/headhill/pkg/logflags"
	"headhill.example/headhill/pkg/retry"
)

// Settings holds the settings of a routing box.
type Settings struct {
	Box    BoxSettings
	Listen ListenSettings
	// Store is the address of the store that holds routes and servers.
	Store string
	// CallBudget limits the calls to the store per second, summed over all boxes.
	CallBudget callrate.Budget
	Limits     LimitSettings
	Bounds     BoundSettings
	Duties     DutySettings
	Scheduling SchedulingSettings
	// Regions maps halls to regions. A hall that is not listed has no region, and serves no request
	// that is restricted to regions.
	Regions map[string]string
	Log     logflags.Settings
}

// BoxSettings identifies the box and its location.
type BoxSettings struct{ ID, Hall, Region string }

// ListenSettings holds the listen addresses.
type ListenSettings struct {
	Caller, Ready, Metrics string
	// Peer is the address for datagrams and snapshot requests of other boxes.
	Peer string
}

// LimitSettings bounds the resources of the process.
type LimitSettings struct {
	// MemoryMB is the memory limit in MiB.
	MemoryMB int
	// Descriptors is the limit on file descriptors.
	Descriptors int
	// LinkMbps is the bandwidth of the box's network link in Mbit/s, zero if unknown.
	LinkMbps float64
	// CloseWhenOverloaded closes new connections of callers unread while the box has too little processor time. It
	// goes by the load of the whole process.
	CloseWhenOverloaded bool
}

// BoundSettings holds the operators' limits for the fleet.
type BoundSettings struct {
	// Drain is how long a server may still receive requests after it announces that it is leaving.
	Drain time.Duration
	// Apply is the time within which an accepted table must be in force.
	Apply time.Duration
	// Evacuate is the time within which the evacuation of a hall must be in force, zero if
	// evacuations are not used.
	Evacuate time.Duration
	// Grace is the time between the stop signal and the kill.
	Grace time.Duration
	// RetryRatio, RetrySlack and RetryWindow define the fleet's retry budget.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

// retryLimits returns the limits of the fleet's retry budget.
func (b BoundSettings) retryLimits() retry.Limits {
	return retry.Limits{Ratio: b.RetryRatio, Window: b.RetryWindow, Slack: b.RetrySlack}
}

// strictest returns the shorter of Apply and Evacuate.
func (b BoundSettings) strictest() time.Duration {
	if b.Evacuate == 0 {
		return b.Apply
	}
	return min(b.Apply, b.Evacuate)
}

// DutySettings configures the duties that the lease holder performs for the fleet.
type DutySettings struct {
	// Address is the address to which the duties send calls, "" if the fleet has no duties.
	Address string
	// Enabled lists the names of the enabled duties.
	Enabled []string
	// Lease is the duration of the lease.
	Lease time.Duration
	// Window is the length of a usage reporting window.
	Window time.Duration
	// WorkValue is the value of the work of a fully busy server, as a multiple of the price of an
	// on-demand server.
	WorkValue float64
}

// SchedulingSettings switches optional decisions of the box on. All are off by default.
type SchedulingSettings struct {
	// ServerTimings weights the work at a server by the speed that all boxes observe there.
	ServerTimings bool
	// ReuseConnections prefers servers to which the box has an idle connection.
	ReuseConnections bool
	// ExpectedArrivals counts the requests that other boxes have probably sent since their last reports.
	ExpectedArrivals bool
	// TransferFromFull lets engines transfer prefixes from others that have no free slot.
	TransferFromFull bool
	// FairShares divides an overloaded service among the organisations.
	FairShares bool
	// OwnTargets admits requests by the target of their own route.
	OwnTargets bool
	// ReturnTurns spaces the Retry-After of refused requests.
	ReturnTurns bool
	// ReadAhead reads streams ahead of slow callers.
	ReadAhead bool
}

// balancerPolicy returns the part of the settings that the balancer uses.
func (s SchedulingSettings) balancerPolicy() balancer.Policy {
	return balancer.Policy{
		ServerTimings: s.ServerTimings, ReuseConnections: s.ReuseConnections, ExpectedArrivals: s.ExpectedArrivals, TransferFromFull: s.TransferFromFull,
	}
}

// gatewayScheduling returns the part of the settings that the gateway uses.
func (s SchedulingSettings) gatewayScheduling() gateway.Scheduling {
	return gateway.Scheduling{
		FairShares: s.FairShares, OwnTargets: s.OwnTargets, ReturnTurns: s.ReturnTurns, ReadAhead: s.ReadAhead, ExpectedArrivals: s.ExpectedArrivals,
	}
}

// Names of duties.
const (
	DutyMetering  = "metering"
	DutyAutoscale = "autoscale"
)

// Has reports whether a duty is enabled.
func (d DutySettings) Has(duty string) bool {
	return d.Address != "" && slices.Contains(d.Enabled, duty)
}

// Unknown returns the enabled duties that this build does not support.
func (d DutySettings) Unknown() []string {
	return slices.DeleteFunc(slices.Clone(d.Enabled), func(duty string) bool { return duty == DutyMetering || duty == DutyAutoscale })
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Listen:     ListenSettings{Caller: "127.0.0.1:8080", Ready: "127.0.0.1:8081", Metrics: "127.0.0.1:8082", Peer: "127.0.0.1:8083"},
		CallBudget: callrate.DefaultBudget,
		Limits:     LimitSettings{MemoryMB: 512, Descriptors: 4096, CloseWhenOverloaded: true},
		Bounds: BoundSettings{
			Drain: 2 * time.Second, Apply: 2 * time.Second, Grace: 8 * time.Second,
			RetryRatio: 0.1, RetrySlack: 20, RetryWindow: 10 * time.Second,
		},
		Duties: DutySettings{Lease: 3 * time.Second, Window: 5 * time.Second, WorkValue: 20},
		Log:    logflags.DefaultSettings(),
	}
}

// LoadSettings parses and validates a file. All invalid settings are reported in one *inifile.Error.
func LoadSettings(path string) (Settings, error) { return parseSettings(path, path) }

// ParseSettings is like LoadSettings, with the content of the file as argument.
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
	readScheduling(f.Section("scheduling"), &s.Scheduling)
	s.Regions = f.Section("regions").Values()
	s.Log.Read(f.Section("log"))
	return s, f.Finish()
}

func readBox(s *inifile.Section, b *BoxSettings) {
	s.Require("id", "set a unique name for the box")
	s.Require("hall", "set the hall in which the box is located")
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

func readStore(s *inifile.Section, settings *Settings) {
	s.Require("address", "set the IP address and port of the store, such as 192.0.2.1:7000")
	s.AddrPort("address", &settings.Store, false)
	callrate.ReadSettings(s, &settings.CallBudget)
	s.ReportUnknownKeys()
}

func readLimits(s *inifile.Section, l *LimitSettings) {
	s.Int("memory-mb", &l.MemoryMB, 32, 1<<20)
	s.Int("descriptors", &l.Descriptors, 256, 1<<20)
	s.Float("link-mbps", &l.LinkMbps, 0, 1<<20)
	s.Bool("close-when-overloaded", &l.CloseWhenOverloaded)
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

func readScheduling(s *inifile.Section, c *SchedulingSettings) {
	s.Bool("server-timings", &c.ServerTimings)
	s.Bool("reuse-connections", &c.ReuseConnections)
	s.Bool("expected-arrivals", &c.ExpectedArrivals)
	s.Bool("transfer-from-full", &c.TransferFromFull)
	s.Bool("fair-shares", &c.FairShares)
	s.Bool("own-targets", &c.OwnTargets)
	s.Bool("return-turns", &c.ReturnTurns)
	s.Bool("read-ahead", &c.ReadAhead)
	s.ReportUnknownKeys()
}
