// Command days generates scenarios ("days") for the users' test bench. By default it
// writes one day for each variant of each disruption, which occurs twice at random
// times, combined with a second disruption.
//
// With --changes it writes days with large configuration changes in quick succession,
// combined with planned work and one disruption. With --duties it writes days on which
// the box that holds the fleet's duties is disrupted twice, combined with faults of
// platform calls, clocks and the store.
//
// The output is deterministic for a seed.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
)

// disruption is one kind of fault or planned work with the settings of one variant.
type disruption struct {
	kind string
	// settings are written to the entry verbatim.
	settings string
	planned  bool
}

func (d disruption) entry(at float64) string {
	s := fmt.Sprintf("  { kind = %q, at = %.2f", d.kind, at)
	if d.settings != "" {
		s += ", " + d.settings
	}
	return s + " },\n"
}

// variants returns a disruption for each value of "how", which follows the common
// settings. An empty value omits it.
func variants(kind, common string, planned bool, modes ...string) []disruption {
	var list []disruption
	for _, mode := range modes {
		settings := common
		if mode != "" {
			settings = strings.TrimPrefix(common+", how = "+fmt.Sprintf("%q", mode), ", ")
		}
		list = append(list, disruption{kind: kind, settings: settings, planned: planned})
	}
	return list
}

// closingFaults are the possible faults at the end of a day. The first is none.
var closingFaults = []string{
	"", `closing = { kind = "power_off_all", down_s = 0.8 }`, `closing = { kind = "kill_all", down_s = 1.2 }`,
	`closing = { kind = "power_off_all", down_s = 1.5, how = "all" }`, `closing = { kind = "power_off_all", down_s = 0.7, how = "timed" }`,
	`closing = { kind = "kill_all", down_s = 0.9, how = "taken" }`,
}

// allDisruptions returns every variant of every kind.
func allDisruptions() []disruption {
	var list []disruption
	for _, group := range [][]disruption{
		variants("burst", "x = 2.5, for_s = 4.0", false, ""),
		variants("hot_key", "share = 0.4, for_s = 5.0", false, ""),
		variants("hot_tenant", "x = 8.0, for_s = 6.0", false, ""),
		variants("retry_abuse", "x = 4.0, share = 0.5, for_s = 5.0", false, ""),
		variants("give_up", "share = 0.4, for_s = 5.0", false, ""),
		variants("srv_crash", "share = 0.25, for_s = 4.0", false, "", "dark", "gone", "domain", "all"),
		variants("srv_grey", "share = 0.3, for_s = 5.0", false, "errors", "shed", "busy", "hang", "reset", "mute", "slow", "errors one_zone", "hang one_zone", "reset all", "mute all"),
		variants("srv_slow", "share = 0.3, for_s = 5.0", false, ""),
		variants("srv_cut", "share = 0.25, for_s = 5.0", false, "", "fronts", "some", "some lossy", "one_way", "reset"),
		variants("release", "share = 0.5, gap_s = 0.7", true, ""),
		variants("scale_out", "share = 0.4, gap_s = 1.0", true, ""),
		variants("scale_in", "share = 0.2", true, "", "spot", "reclaim"),
		variants("replace_with_reuse", "share = 0.2", false, "", "drain", "dark"),
		variants("answer_lost", "share = 0.6, x = 0.1, for_s = 5.0", false, "", "reset"),
		variants("garble", "share = 0.6, x = 0.06, for_s = 5.0", false, "", "extra", "extra late", "unframed", "early"),
		variants("node_kill", "share = 0.3, for_s = 3.0", false, "", "power", "meet", "turn"),
		variants("node_kill", `on = "core", count = 1, for_s = 3.0`, false, "leader", "leader race drain", "meet drain"),
		variants("node_freeze", "share = 0.3, for_s = 3.5", false, "", "meet", "race drain"),
		variants("node_slow", "share = 0.3, x = 6.0, for_s = 5.0", false, ""),
		variants("roll_term", "share = 0.6, gap_s = 1.0", true, "", "busy"),
		// Removed boxes do not return: twice a larger share would leave none.
		variants("roll_term", "share = 0.25, gap_s = 1.0", true, "remove"),
		variants("add_nodes", "", true, ""),
		variants("after_ack_kill", "for_s = 3.0", false, "", "kill", "timed", "taken"),
		variants("clock_step", "share = 0.5, x = 4000.0, for_s = 5.0", false, "back", "ahead"),
		variants("core_cut", "count = 2, for_s = 5.0", false, "", "reset", "refuse", "leader race", "one_way", "all", "near", "split", "meet drain"),
		variants("node_cut", "share = 0.35, for_s = 5.0", false, "", "reset", "refuse", "all", "servers", "meet", "reset revoke"),
		variants("lossy", "x = 0.05, for_s = 5.0", false, ""),
		variants("platform_down", "for_s = 5.0", false, "silent", "busy", "reset", "silent lapse", "reset lapse", "busy lapse"),
		variants("platform_down", "share = 0.4, for_s = 7.0", false, "nodes", "nodes busy", "nodes reset", "nodes many", "nodes busy revoke meet", "nodes reset meet drain"),
		variants("platform_slow", "x = 60.0, for_s = 5.0", false, ""),
		variants("platform_lost", "x = 0.4, for_s = 5.0", false, "", "late"),
		variants("platform_compact", "x = 5.0, for_s = 6.0", false, "", "drain"),
		variants("config_change", "", true, "route", "weights", "timeout", "tenant", "quota", "topup", "idle"),
		variants("big_config", "count = 400", true, ""),
		variants("revoke", "count = 2, gap_s = 0.4", true, "", "last"),
		variants("herd_kill", "share = 0.6", false, "", "power"),
		variants("herd_kill", `on = "core", for_s = 2.0`, false, "off", "taken"),
		variants("hup", "share = 0.6, gap_s = 0.5", true, ""),
		variants("reset_conns", "share = 0.4, x = 0.6", false, ""),
	} {
		list = append(list, group...)
	}
	return list
}

// randomTime draws the time of a disruption, with a preference for the start of the
// day.
func randomTime(rng *rand.Rand) float64 {
	if rng.IntN(6) == 0 {
		return rng.Float64() * 0.5
	}
	return 0.5 + rng.Float64()*27
}

// event is a disruption at a time of the day, in seconds.
type event struct {
	disruption
	at float64
}

const (
	// A large change adds minAddedRoutes to minAddedRoutes+addedRoutesRange-1 routes.
	// After two of them, sending the table over a 10 Mbit/s link takes about a second.
	minAddedRoutes   = 1000
	addedRoutesRange = 1001
	// maxSmallChanges is the largest number of small changes in a series.
	maxSmallChanges = 10
)

// changeSeries draws two large configuration changes a few seconds apart, with small
// changes before, between and after them.
func changeSeries(rng *rand.Rand) []event {
	first := 1 + rng.Float64()*8
	second := first + rng.Float64()*6
	var series []event
	for _, at := range []float64{first, second} {
		settings := fmt.Sprintf("count = %d", minAddedRoutes+rng.IntN(addedRoutesRange))
		series = append(series, event{disruption{kind: "big_config", settings: settings, planned: true}, at})
	}
	modes := []string{"idle", "weights", "timeout", "route", "tenant"}
	for range 3 + rng.IntN(maxSmallChanges-2) {
		settings := fmt.Sprintf("how = %q", modes[rng.IntN(len(modes))])
		series = append(series, event{disruption{kind: "config_change", settings: settings, planned: true}, max(0, first-1+rng.Float64()*14)})
	}
	return series
}

// changeDay returns a day with a series of configuration changes, planned work on
// servers, and a disruption that occurs once or twice.
func changeDay(name string, catalogue []disruption, rng *rand.Rand) string {
	events := changeSeries(rng)
	background := catalogue[rng.IntN(len(catalogue))]
	for range 1 + rng.IntN(2) {
		events = append(events, event{background, rng.Float64() * 16})
	}
	servers := []disruption{
		{kind: "release", settings: "share = 0.4, gap_s = 0.7", planned: true}, {kind: "scale_in", settings: "share = 0.2", planned: true},
	}
	events = append(events, event{servers[rng.IntN(len(servers))], rng.Float64() * 14})
	return formatDay(name, events, rng)
}

// holderDisruptions returns disruptions of the box that holds the duties.
func holderDisruptions() []disruption {
	var list []disruption
	for _, group := range [][]disruption{
		variants("node_kill", `on = "core", count = 1, for_s = 3.0`, false, "leader", "power leader", "renewed", "leader race"),
		variants("node_freeze", `on = "core", count = 1, for_s = 4.0`, false, "leader", "renewed"),
		variants("core_cut", "count = 1, for_s = 5.0", false, "leader", "leader refuse", "leader reset", "leader one_way", "leader all", "renewed"),
		variants("roll_term", "share = 0.1, gap_s = 1.0", true, "leader"),
		variants("platform_down", "count = 1, for_s = 6.0", false, "nodes leader", "nodes leader busy", "nodes leader reset"),
		variants("replace_core", "", false, ""),
	} {
		list = append(list, group...)
	}
	return list
}

// backgroundDisruptions returns disruptions that accompany those of the holder.
func backgroundDisruptions() []disruption {
	var list []disruption
	for _, group := range [][]disruption{
		variants("cloud_down", "for_s = 4.0", false, "silent", "busy", "reset"),
		variants("cloud_slow", "x = 60.0, for_s = 5.0", false, ""),
		variants("clock_step", "share = 0.4, x = 4000.0, for_s = 5.0", false, "back", "ahead"),
		variants("platform_lost", "x = 0.4, for_s = 5.0", false, "", "late"),
		variants("platform_slow", "x = 60.0, for_s = 5.0", false, ""),
		variants("platform_down", "for_s = 5.0", false, "silent", "busy", "reset"),
		variants("herd_kill", "share = 0.6", false, "", "power"),
		variants("reset_conns", "share = 0.4, x = 0.6", false, ""),
		variants("scale_in", "x = 2.2, for_s = 8.0", true, "reclaim", "reclaim dry"),
	} {
		list = append(list, group...)
	}
	return list
}

// dutyDay returns a day on which the holder of the duties is disrupted twice within 8
// seconds, with other disruptions in the background.
func dutyDay(name string, rng *rand.Rand) string {
	onHolder, background := holderDisruptions(), backgroundDisruptions()
	first := 1 + rng.Float64()*20
	events := []event{
		{onHolder[rng.IntN(len(onHolder))], first},
		{onHolder[rng.IntN(len(onHolder))], first + rng.Float64()*8},
	}
	for range 2 + rng.IntN(2) {
		events = append(events, event{background[rng.IntN(len(background))], max(0, first-2+rng.Float64()*14)})
	}
	return formatDay(name, events, rng)
}

// disruptionDay returns a day on which d occurs twice, with other disruptions and a
// configuration change around it.
func disruptionDay(name string, d disruption, catalogue []disruption, rng *rand.Rand) string {
	first := randomTime(rng)
	events := []event{
		{d, first},
		{d, randomTime(rng)},
		{catalogue[rng.IntN(len(catalogue))], max(0, first+rng.Float64()*4-1)},
		{disruption{kind: "config_change", settings: `how = "idle"`, planned: true}, first + rng.Float64()*3},
	}
	if rng.IntN(2) == 0 {
		events = append(events, event{catalogue[rng.IntN(len(catalogue))], randomTime(rng)})
	}
	return formatDay(name, events, rng)
}

// formatDay formats a day in the format of the test bench, with a random closing fault.
func formatDay(name string, events []event, rng *rand.Rand) string {
	var plan, faults string
	for _, e := range events {
		if e.planned {
			plan += e.entry(e.at)
		} else {
			faults += e.entry(e.at)
		}
	}
	return fmt.Sprintf("[[day]]\nname = %q\nseed = %d\n%s\nplan = [\n%s]\nfaults = [\n%s]\n", name, rng.Uint32N(1<<30), closingFaults[rng.IntN(len(closingFaults))], plan, faults)
}

func main() {
	seed := flag.Uint64("seed", 1, "draws the days")
	rounds := flag.Int("rounds", 1, "days for each variant")
	changes := flag.Int("changes", 0, "days of changes in quick succession, in place of a day for each variant")
	duties := flag.Int("duties", 0, "days on which the holder of the duties is struck, in place of a day for each variant")
	dir := flag.String("dir", "target/days", "folder that the days are written to")
	flag.Parse()
	if err := run(*seed, *rounds, *changes, *duties, *dir); err != nil {
		fmt.Fprintln(os.Stderr, "days:", err)
		os.Exit(1)
	}
}

func run(seed uint64, rounds, changes, duties int, dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	catalogue := allDisruptions()
	days := make(map[string]string)
	for n := range changes {
		name := fmt.Sprintf("changes-%d-%03d", seed, n)
		days[name] = changeDay(name, catalogue, rng)
	}
	for n := range duties {
		name := fmt.Sprintf("duties-%d-%03d", seed, n)
		days[name] = dutyDay(name, rng)
	}
	if changes == 0 && duties == 0 {
		for n := range rounds * len(catalogue) {
			name := fmt.Sprintf("own-%d-%03d", seed, n)
			days[name] = disruptionDay(name, catalogue[n%len(catalogue)], catalogue, rng)
		}
	}
	for name, text := range days {
		if err := os.WriteFile(filepath.Join(dir, name+".toml"), []byte(text), 0o644); err != nil {
			return err
		}
	}
	fmt.Printf("%d days in %s\n", len(days), dir)
	return nil
}
