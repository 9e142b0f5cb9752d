package directory

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/pause"
	"headhill.example/headhill/pkg/routing"
)

var (
	simulationSeed  = flag.Uint64("histories.seed", 1, "first seed of the simulations")
	simulationCount = flag.Int("histories.count", 40, "number of simulations")
	simulationLogs  = flag.Bool("histories.logs", false, "write the logs of the simulated boxes")
)

// checkInvariants fails the test if a box went back to an older version, or is behind after it has
// been connected for settleTime.
func (sim *simulation) checkInvariants() {
	due := sim.store.dueVersion(time.Now().Add(-max(applyBound, propagationBound)))
	for _, b := range sim.boxes {
		b.mu.Lock()
		version := uint64(0)
		if t := b.directory.View().Table; t != nil {
			version = t.Version
		}
		settled := !b.connectedSince.IsZero() && time.Since(b.connectedSince) > settleTime
		assert.GreaterOrEqual(sim.t, version, b.highestVersion, "box %d went back to an older version", b.number)
		if settled {
			assert.GreaterOrEqual(sim.t, version, due, "box %d is behind at %s", b.number, time.Since(sim.startedAt))
		}
		b.highestVersion = max(b.highestVersion, version)
		b.mu.Unlock()
	}
}

// injectFault makes a box fail for a while, unless it is already failing.
func (sim *simulation) injectFault(b *simulatedBox) {
	b.mu.Lock()
	faulty := b.connectedSince.IsZero()
	b.mu.Unlock()
	if faulty {
		return
	}
	kind := sim.rand.IntN(3)
	duration := time.Duration(sim.rand.IntN(6000)) * time.Millisecond
	_ = sim.logger(b.number).Log("msg", "fault injected", "kind", kind, "for", duration)
	if kind == 2 {
		b.stop()
		b.start(sim.ctx, sim.wg)
		return
	}
	b.mu.Lock()
	b.connectedSince = time.Time{}
	b.rejected, b.isolated = kind == 0, kind == 1
	b.mu.Unlock()
	time.AfterFunc(duration, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.rejected, b.isolated = false, false
		b.connectedSince = time.Now()
	})
}

// run changes the table and injects faults at random times: single and large changes, in quick
// succession too, and boxes that are rejected by the store, cut off or restarted.
func (sim *simulation) run(duration time.Duration) {
	content := routing.Content{Version: 1}
	end := time.Now().Add(duration)
	nextChange, nextFault := time.Now().Add(time.Second), time.Now().Add(2*time.Second)
	for time.Now().Before(end) {
		now := time.Now()
		if now.After(nextChange) {
			content = sim.nextContent(content)
			sim.store.change(routing.NewTable(content))
			_ = sim.logger(-1).Log("msg", "table changed", "version", content.Version)
			nextChange = now.Add(time.Duration(sim.rand.IntN(4)*sim.rand.IntN(1500)+100) * time.Millisecond)
		}
		if now.After(nextFault) {
			sim.injectFault(sim.boxes[sim.rand.IntN(len(sim.boxes))])
			nextFault = now.Add(time.Duration(500+sim.rand.IntN(3000)) * time.Millisecond)
		}
		sim.checkInvariants()
		time.Sleep(20 * time.Millisecond)
	}
}

// nextContent returns the next content, with a few or many routes added.
func (sim *simulation) nextContent(c routing.Content) routing.Content {
	c.Version += 1 + uint64(sim.rand.IntN(3))
	count := 1
	if sim.rand.IntN(3) == 0 {
		count = 2 * smallDeltaRoutes
	}
	routes := append([]routing.Route(nil), c.Routes...)
	for i := range count {
		routes = append(routes, routing.Route{Name: fmt.Sprintf("r-%d-%d", c.Version, i), Host: "host", Prefix: "/x/"})
	}
	c.Routes = routes
	return c
}

func runSimulation(t *testing.T, seed uint64, boxes int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		sim := newSimulation(ctx, t, seed, boxes, newStore(largeTableBytes), simulationLoss)
		sim.run(40 * time.Second)
		cancel()
		sim.wg.Wait()
		// Timers of messages and faults must fire before the bubble ends.
		time.Sleep(10 * time.Second)
	})
}

// The fleet is repeatedly split in two while all boxes reach the store. Both halves must keep up,
// including the one without a reader, and no box may go back to an older version after the split.
func TestPartitionedHalvesKeepUpAndConverge(t *testing.T) {
	for i := range max(2, *simulationCount/4) {
		seed := *simulationSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				sim := newSimulation(ctx, t, seed, 2*simulationBoxes, newStore(largeTableBytes), simulationLoss)
				sim.wg.Go(func() {
					for ctx.Err() == nil {
						pause.For(ctx, time.Duration(2000+sim.extraPauseMS(seed))*time.Millisecond)
						sim.split.Store(!sim.split.Load())
					}
				})
				sim.run(40 * time.Second)
				cancel()
				sim.wg.Wait()
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// extraPauseMS returns how many milliseconds, in addition to two seconds, pass between splitting and
// rejoining the fleet. It is derived from the seed.
func (sim *simulation) extraPauseMS(seed uint64) int { return int(seed*977) % 5000 }

// Under random changes, message loss, rejections, partitions and restarts, a connected box must stay
// within the propagation bound, and none may go back to an older version.
func TestRandomFaults(t *testing.T) {
	for i := range *simulationCount {
		seed := *simulationSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSimulation(t, seed, simulationBoxes) })
	}
}

// largeFleet is the number of boxes of the large deployment.
const largeFleet = 300

// Runs TestRandomFaults with hundreds of boxes, which copy nearly everything from each other.
func TestRandomFaultsInLargeFleet(t *testing.T) {
	for i := range max(1, *simulationCount/20) {
		seed := *simulationSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSimulation(t, seed, largeFleet) })
	}
}

// A delta that arrives before its base version must be kept until that version is applied.
func TestDeltaWaitsForItsBaseVersion(t *testing.T) {
	d := directoryAt(tableOf(3, "a"), 5)
	four, five, six := tableOf(4, "a", "b"), tableOf(5, "a", "b", "c"), tableOf(6, "a", "b", "c", "d")
	second, first := routing.Diff(five, six), routing.Diff(four, five)
	d.ApplyNotification(Notification{TableChanged: 9, TableDelta: &second})
	d.ApplyNotification(Notification{TableChanged: 8, TableDelta: &first})
	d.ApplyNotification(Notification{TableChanged: 8, TableDelta: &first})
	require.Equal(t, uint64(3), d.View().Table.Version)
	require.Equal(t, target{revision: 9, changed: 9}, d.table.target())
	d.applyTable(TableResult{Table: four, Revision: 7, Changed: 7}, time.Now())
	assert.Equal(t, uint64(6), d.View().Table.Version)
	assert.Equal(t, position{revision: 9, changed: 9}, d.table.position())
	assert.Equal(t, target{}, d.table.target(), "nothing is left to request")
	assert.Empty(t, d.pendingDeltas)
}
