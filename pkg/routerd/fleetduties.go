package routerd

import (
	"context"
	"encoding/binary"
	"net"
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

// collectors is how many boxes collect what all have counted: two may die at once with one
// that holds the lease without a loss.
const collectors = 3

// handOverTime bounds the handing over of the lease at a planned stop.
const handOverTime = 500 * time.Millisecond

// fleetDuties is what a box does for the duties that the fleet has once. Where the settings
// name none it does nothing.
type fleetDuties struct {
	settings  DutySettings
	roster    *roster.Roster
	directory *directory.Directory
	balancer  *balancer.Balancer
	logger    log.Logger

	clock     *fleetclock.Clock
	counter   *metering.Counter
	collector *metering.Collector
	teller    *metering.Publisher
	keeper    *lease.Manager
	duties    *duties.Runner
	reporter  *duties.Reporter
	scaler    *duties.Scaler

	mu sync.Mutex
	// names are the organisations of the table of a version, and of those before.
	names        map[metering.OrganisationHash]string
	namesVersion uint64
}

// newFleetDuties puts the parts together. Nothing runs before run.
func newFleetDuties(d *Daemon, a Adapter, access StoreAccess, balance *balancer.Balancer, logger log.Logger) *fleetDuties {
	s := d.settings.Load()
	f := &fleetDuties{
		settings: s.Duties, roster: d.roster, directory: d.directory, balancer: balance, logger: logger,
		clock: fleetclock.New(), collector: metering.NewCollector(), names: make(map[metering.OrganisationHash]string),
	}
	f.counter = metering.NewCounter(s.Duties.Window, f.clock.Now)
	for _, duty := range s.Duties.Unknown() {
		_ = level.Warn(logger).Log("msg", "duty not known", "duty", duty, "outcome", "passed over; a newer version may know it")
	}
	if !f.any() {
		return f
	}
	f.teller = metering.NewPublisher(metering.PublisherDeps{
		Box: s.Box.ID, Incarnation: d.roster.Incarnation(), Port: d.peers, Counter: f.counter, Collector: f.collector, Clock: f.clock,
		CollectorAddrs: f.collecting, Logger: logger,
	})
	f.keeper = lease.NewManager(lease.Deps{
		Box: s.Box.ID, Incarnation: d.roster.Incarnation(), Timing: lease.TimingFor(s.Duties.Lease),
		Store: a.Lease(access), Port: d.peers, Peers: d.roster.Peers, Rank: d.roster.Rank, NoPeers: func() bool { return d.roster.Count() == 1 },
		State: f.state, OnAcquired: f.taken, Announcement: f.told, OnAnnouncement: f.onTold, OnHolderChange: f.onHolder, Logger: logger,
	})
	if s.Duties.Has(DutyMetering) {
		f.reporter = duties.NewReporter(duties.ReporterDeps{WindowLength: s.Duties.Window, Clock: f.clock.Now, Collector: f.collector, OrganisationNames: f.organisations})
	}
	if s.Duties.Has(DutyAutoscale) {
		f.scaler = duties.NewScaler(duties.ScalerDeps{Services: f.services, Policy: autoscale.ExpectedLoss{WorkValue: s.Duties.WorkValue}})
	}
	address := func() string { return d.settings.Load().Duties.Address }
	f.duties = duties.New(duties.Deps{Box: s.Box.ID, Lease: f.keeper, Cloud: a.Cloud(address), Reporter: f.reporter, Scaler: f.scaler, Logger: logger})
	return f
}

// any tells whether the fleet has duties that this program knows.
func (f *fleetDuties) any() bool {
	return f.settings.Has(DutyMetering) || f.settings.Has(DutyAutoscale)
}

// run does the duties while this box holds the lease, until ctx ends.
func (f *fleetDuties) run(ctx context.Context) {
	if !f.any() {
		return
	}
	var wg conc.WaitGroup
	wg.Go(func() { f.teller.Run(ctx) })
	wg.Go(func() { f.keeper.Run(ctx) })
	wg.Go(func() { f.duties.Run(ctx) })
	wg.Wait()
}

// handOver gives the lease up, as the box stops.
func (f *fleetDuties) handOver() {
	if !f.any() {
		return
	}
	if !f.keeper.Stop() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOverTime)
	defer cancel()
	if f.duties.AwaitIdle(ctx) {
		f.keeper.Release(ctx)
	}
}

// orderChanged tells that the boxes, or their order, may have changed.
func (f *fleetDuties) orderChanged() {
	if f.any() {
		f.keeper.Wake()
	}
}

// flush tells what was counted, as the box ends.
func (f *fleetDuties) flush() {
	if f.any() {
		f.teller.Flush()
	}
}

// RequestStarted implements gateway.Usage.
func (f *fleetDuties) RequestStarted(organisation string, at time.Time) {
	if f.settings.Has(DutyMetering) {
		f.counter.RequestStarted(organisation, at)
	}
}

// state and taken hand on what lasts with the lease.
func (f *fleetDuties) state() []byte { return f.duties.State() }

func (f *fleetDuties) taken(state []byte) { f.duties.Restore(state) }

// told is the estimate of true time, which the holder tells the others.
func (f *fleetDuties) told() []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(f.clock.EstimateMillis(clock.Now())))
}

func (f *fleetDuties) onTold(told []byte, received time.Time) {
	if len(told) != 8 {
		_ = level.Debug(f.logger).Log("msg", "time of the holder dropped", "bytes", len(told))
		return
	}
	f.clock.SetCollectorEstimate(int64(binary.BigEndian.Uint64(told)), received)
}

// onHolder has a new holder told what was counted, if it did not collect until now.
func (f *fleetDuties) onHolder(string) { f.teller.Wake() }

// collecting are the boxes that collect: the first few in order, and the holder.
func (f *fleetDuties) collecting() []*net.UDPAddr {
	holder := f.keeper.Holder()
	var list []*net.UDPAddr
	for i, e := range f.roster.ListByRank() {
		if e.Box == f.teller.Box || i >= collectors && e.Box != holder {
			continue
		}
		if a := e.Address(); a != nil {
			list = append(list, a)
		}
	}
	return list
}

// organisations are all that the table has or had, by their keys.
func (f *fleetDuties) organisations() map[metering.OrganisationHash]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.directory.View().Table
	if t == nil || t.Version == f.namesVersion {
		return f.names
	}
	for _, o := range t.Organisations() {
		f.names[metering.HashOrganisation(o.Name)] = o.Name
	}
	f.namesVersion = t.Version
	return f.names
}
