package routerd

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/sourcegraph/conc"

	"headhill.example/headhill/pkg/autoscale"
	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/directory"
	"headhill.example/headhill/pkg/duties"
	"headhill.example/headhill/pkg/fleetclock"
	"headhill.example/headhill/pkg/lease"
	"headhill.example/headhill/pkg/metering"
	"headhill.example/headhill/pkg/roster"
)

// collectorCount is the number of boxes to which each box sends its usage counts, besides the lease
// holder. It allows two of them to fail together with the holder without loss of counts.
const collectorCount = 3

// handOverTimeout bounds the release of the lease at a planned stop.
const handOverTimeout = 500 * time.Millisecond

// fleetDuties runs the duties that one box at a time, the lease holder, performs for the whole
// fleet. It does nothing if the settings enable none.
type fleetDuties struct {
	settings  DutySettings
	roster    *roster.Roster
	directory *directory.Directory
	balancer  *balancer.Balancer
	logger    log.Logger

	clock        *fleetclock.Clock
	counter      *metering.Counter
	collector    *metering.Collector
	publisher    *metering.Publisher
	leaseManager *lease.Manager
	duties       *duties.Runner
	reporter     *duties.Reporter
	scaler       *duties.Scaler

	mu sync.Mutex
	// nameByHash holds the organisations of all tables seen up to namesTableVersion.
	nameByHash        map[metering.OrganisationHash]string
	namesTableVersion uint64
}

// newFleetDuties creates the components. No goroutine runs before run.
func newFleetDuties(d *Daemon, a Adapter, access StoreAccess, balance *balancer.Balancer, logger log.Logger) *fleetDuties {
	s := d.settings.Load()
	f := &fleetDuties{
		settings: s.Duties, roster: d.roster, directory: d.directory, balancer: balance, logger: logger,
		clock: fleetclock.New(), collector: metering.NewCollector(), nameByHash: make(map[metering.OrganisationHash]string),
	}
	f.counter = metering.NewCounter(s.Duties.Window, f.clock.Now)
	for _, duty := range s.Duties.Unknown() {
		_ = level.Warn(logger).Log("msg", "unknown duty", "duty", duty, "outcome", "ignored; a newer version may support it")
	}
	if !f.hasDuties() {
		return f
	}
	f.publisher = metering.NewPublisher(metering.PublisherDeps{
		Box: s.Box.ID, Incarnation: d.roster.Incarnation(), Port: d.peers, Counter: f.counter, Collector: f.collector, Clock: f.clock,
		Collectors: f.collectors, NextWindow: f.nextWindow, OnNextWindow: f.onNextWindow, Logger: logger,
	})
	f.leaseManager = lease.NewManager(lease.Deps{
		Box: s.Box.ID, Incarnation: d.roster.Incarnation(), Timing: lease.TimingFor(s.Duties.Lease),
		Store: a.Lease(access), Port: d.peers, Peers: d.roster.Peers, Rank: d.roster.Rank, NoPeers: func() bool { return d.roster.Count() == 1 },
		State: f.state, OnAcquired: f.restoreState, Announcement: f.clockAnnouncement, OnAnnouncement: f.onClockAnnouncement,
		Progress: f.progress, OnProgress: f.onProgress, OnHolderChange: f.onHolderChange, Logger: logger,
	})
	if s.Duties.Has(DutyMetering) {
		f.reporter = duties.NewReporter(duties.ReporterDeps{WindowLength: s.Duties.Window, Clock: f.clock.Now, Collector: f.collector, OrganisationNames: f.organisationNames})
	}
	if s.Duties.Has(DutyAutoscale) {
		f.scaler = duties.NewScaler(duties.ScalerDeps{Services: f.scalableServices, Policy: autoscale.ExpectedLoss{WorkValue: s.Duties.WorkValue}})
	}
	address := func() string { return d.settings.Load().Duties.Address }
	f.duties = duties.New(duties.Deps{Box: s.Box.ID, Lease: f.leaseManager, Cloud: a.Cloud(address), Reporter: f.reporter, Scaler: f.scaler, Logger: logger})
	return f
}

// hasDuties reports whether any duty known to this build is enabled.
func (f *fleetDuties) hasDuties() bool {
	return f.settings.Has(DutyMetering) || f.settings.Has(DutyAutoscale)
}

// run contends for the lease and runs the duties while holding it, until ctx is done.
func (f *fleetDuties) run(ctx context.Context) {
	if !f.hasDuties() {
		return
	}
	var wg conc.WaitGroup
	wg.Go(func() { f.publisher.Run(ctx) })
	wg.Go(func() { f.leaseManager.Run(ctx) })
	wg.Go(func() { f.duties.Run(ctx) })
	wg.Wait()
}

// handOver releases the lease before a planned stop.
func (f *fleetDuties) handOver() {
	if !f.hasDuties() {
		return
	}
	if !f.leaseManager.Stop() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	if f.duties.AwaitIdle(ctx) {
		f.leaseManager.Release(ctx)
	}
}

// observeEra must be called when the era of the store rises.
func (f *fleetDuties) observeEra(era uint64) {
	if f.hasDuties() {
		f.leaseManager.ObserveEra(era)
	}
}

// rosterChanged must be called after a change of the boxes or their order.
func (f *fleetDuties) rosterChanged() {
	if f.hasDuties() {
		f.leaseManager.Wake()
	}
}

// flush publishes the counts that are left before the box stops.
func (f *fleetDuties) flush() {
	if f.hasDuties() {
		f.publisher.Flush()
	}
}

// RequestStarted implements gateway.Usage.
func (f *fleetDuties) RequestStarted(organisation string, at time.Time) {
	if f.settings.Has(DutyMetering) {
		f.counter.RequestStarted(organisation, at)
	}
}

// state returns the duties' state that is stored with the lease, and whether it is up to date.
func (f *fleetDuties) state() (state []byte, upToDate bool) { return f.duties.State() }

// restoreState restores the state stored by the previous holder.
func (f *fleetDuties) restoreState(state []byte, restored bool) { f.duties.Restore(state, restored) }

// nextWindow returns the first usage window that no lease holder has closed and stored, as far as this box
// knows; zero if it knows of none.
func (f *fleetDuties) nextWindow() metering.Window {
	if f.reporter == nil {
		return 0
	}
	return f.reporter.NextWindow()
}

// onNextWindow records what another box knows of it.
func (f *fleetDuties) onNextWindow(next metering.Window) {
	if f.reporter != nil {
		f.reporter.ObserveNext(next)
	}
}

// progress is announced by the lease holder, which has closed and stored all windows before the next one.
func (f *fleetDuties) progress() uint64 { return uint64(f.nextWindow()) }

func (f *fleetDuties) onProgress(next uint64) { f.onNextWindow(metering.Window(next)) }

// clockAnnouncement encodes the holder's clock estimate for the other boxes.
func (f *fleetDuties) clockAnnouncement() []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(f.clock.EstimateMillis(clock.Now())))
}

// onClockAnnouncement applies the clock estimate announced by the holder.
func (f *fleetDuties) onClockAnnouncement(announcement []byte, received time.Time) {
	if len(announcement) != 8 {
		_ = level.Debug(f.logger).Log("msg", "malformed clock announcement dropped", "bytes", len(announcement))
		return
	}
	f.clock.SetCollectorEstimate(int64(binary.BigEndian.Uint64(announcement)), received)
}

// onHolderChange publishes counts to a new holder, which may not have been a collector.
func (f *fleetDuties) onHolderChange(string) { f.publisher.Wake() }

// collectors returns the other collectors: the first boxes in roster order and the lease holder.
func (f *fleetDuties) collectors() []metering.CollectorBox {
	holder := f.leaseManager.Holder()
	var list []metering.CollectorBox
	for i, e := range f.roster.ListByRank() {
		if e.Box == f.publisher.Box || i >= collectorCount && e.Box != holder {
			continue
		}
		if a := e.Address(); a != nil {
			list = append(list, metering.CollectorBox{Addr: a, Incarnation: e.Incarnation})
		}
	}
	return list
}

// organisationNames returns the names of all organisations in the current and earlier tables, by
// hash.
func (f *fleetDuties) organisationNames() map[metering.OrganisationHash]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.directory.View().Table
	if t == nil || t.Version == f.namesTableVersion {
		return f.nameByHash
	}
	for _, o := range t.Organisations() {
		f.nameByHash[metering.HashOrganisation(o.Name)] = o.Name
	}
	f.namesTableVersion = t.Version
	return f.nameByHash
}
