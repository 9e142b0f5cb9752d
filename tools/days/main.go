// Command days writes days for the users' bench: every kind of trouble with every
// variant, twice a day at drawn moments, with a second kind beside it. The same seed
// writes the same days. With --changes it writes days on which the configuration changes
// in quick succession, by many routes at a time, beside planned work and one trouble. With
// --duties it writes days on which the box that holds the fleet's duties is struck twice,
// beside trouble of the platform's calls, of clocks and of the store.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
)

// trouble is one kind of disruption with the settings of one variant.
type trouble struct {
	kind string
	// settings stand in the entry as they are.
	settings string
	planned  bool
}

func (t trouble) entry(at float64) string {
	s := fmt.Sprintf("  { kind = %q, at = %.2f", t.kind, at)
	if t.settings != "" {
		s += ", " + t.settings
	}
	return s + " },\n"
}

// variants lists settings for each variant of "how", after the settings that all of
// them have.
func variants(kind, common string, planned bool, hows ...string) []trouble {
	var list []trouble
	for _, how := range hows {
		settings := common
		if how != "" {
			settings = strings.TrimPrefix(common+", how = "+fmt.Sprintf("%q", how), ", ")
		}
		list = append(list, trouble{kind: kind, settings: settings, planned: planned})
	}
	return list
}

// closings are the faults at the end of a day; one is drawn.
var closings = []string{
	"", `closing = { kind = "power_off_all", down_s = 0.8 }`, `closing = { kind = "kill_all", down_s = 1.2 }`,
	`closing = { kind = "power_off_all", down_s = 1.5, how = "all" }`, `closing = { kind = "power_off_all", down_s = 0.7, how = "timed" }`,
	`closing = { kind = "kill_all", down_s = 0.9, how = "taken" }`,
}

// troubles are all kinds that may come.
func troubles() []trouble {
	var list []trouble
	for _, more := range [][]trouble{
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
		// Machines that leave do not come back: a larger share, twice, leaves none.
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
		list = append(list, more...)
	}
	return list
}

// moment draws when a trouble comes: also at the very start, and twice close to each
// other.
func moment(r *rand.Rand) float64 {
	if r.IntN(6) == 0 {
		return r.Float64() * 0.5
	}
	return 0.5 + r.Float64()*27
}

// event is a trouble at a moment of a day.
type event struct {
	trouble
	at float64
}

const (
	// routesLeast and routesSpread bound the routes that a large change adds; after two of
	// them the table takes a link of 10 Mbit/s about a second.
	routesLeast  = 1000
	routesSpread = 1001
	// smallChangesMost bounds the small changes of a series.
	smallChangesMost = 10
)

// changeSeries draws changes of the configuration in quick succession: two large ones some
// seconds apart, and small ones before, between and behind them.
func changeSeries(r *rand.Rand) []event {
	first := 1 + r.Float64()*8
	second := first + r.Float64()*6
	var series []event
	for _, at := range []float64{first, second} {
		settings := fmt.Sprintf("count = %d", routesLeast+r.IntN(routesSpread))
		series = append(series, event{trouble{kind: "big_config", settings: settings, planned: true}, at})
	}
	hows := []string{"idle", "weights", "timeout", "route", "tenant"}
	for range 3 + r.IntN(smallChangesMost-2) {
		settings := fmt.Sprintf("how = %q", hows[r.IntN(len(hows))])
		series = append(series, event{trouble{kind: "config_change", settings: settings, planned: true}, max(0, first-1+r.Float64()*14)})
	}
	return series
}

// dayOfChanges writes one day of a series of changes, with planned work and a trouble
// beside it that may come twice.
func dayOfChanges(name string, all []trouble, r *rand.Rand) string {
	events := changeSeries(r)
	beside := all[r.IntN(len(all))]
	for range 1 + r.IntN(2) {
		events = append(events, event{beside, r.Float64() * 16})
	}
	servers := []trouble{
		{kind: "release", settings: "share = 0.4, gap_s = 0.7", planned: true}, {kind: "scale_in", settings: "share = 0.2", planned: true},
	}
	events = append(events, event{servers[r.IntN(len(servers))], r.Float64() * 14})
	return written(name, events, r)
}

// holderStrikes are what may befall the box that holds the duties.
func holderStrikes() []trouble {
	var list []trouble
	for _, more := range [][]trouble{
		variants("node_kill", `on = "core", count = 1, for_s = 3.0`, false, "leader", "power leader", "renewed", "leader race"),
		variants("node_freeze", `on = "core", count = 1, for_s = 4.0`, false, "leader", "renewed"),
		variants("core_cut", "count = 1, for_s = 5.0", false, "leader", "leader refuse", "leader reset", "leader one_way", "leader all", "renewed"),
		variants("roll_term", "share = 0.1, gap_s = 1.0", true, "leader"),
		variants("platform_down", "count = 1, for_s = 6.0", false, "nodes leader", "nodes leader busy", "nodes leader reset"),
		variants("replace_core", "", false, ""),
	} {
		list = append(list, more...)
	}
	return list
}

// dutyTroubles come beside the strikes.
func dutyTroubles() []trouble {
	var list []trouble
	for _, more := range [][]trouble{
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
		list = append(list, more...)
	}
	return list
}

// dayOfDuties writes one day on which the holder of the duties is struck twice, mostly soon
// after each other.
func dayOfDuties(name string, r *rand.Rand) string {
	strikes, beside := holderStrikes(), dutyTroubles()
	first := 1 + r.Float64()*20
	events := []event{
		{strikes[r.IntN(len(strikes))], first},
		{strikes[r.IntN(len(strikes))], first + r.Float64()*8},
	}
	for range 2 + r.IntN(2) {
		events = append(events, event{beside[r.IntN(len(beside))], max(0, first-2+r.Float64()*14)})
	}
	return written(name, events, r)
}

// day writes one day: a trouble twice, a second kind beside it, planned work and a
// closing fault by chance.
func day(name string, t trouble, all []trouble, r *rand.Rand) string {
	first := moment(r)
	events := []event{
		{t, first},
		{t, moment(r)},
		{all[r.IntN(len(all))], max(0, first+r.Float64()*4-1)},
		{trouble{kind: "config_change", settings: `how = "idle"`, planned: true}, first + r.Float64()*3},
	}
	if r.IntN(2) == 0 {
		events = append(events, event{all[r.IntN(len(all))], moment(r)})
	}
	return written(name, events, r)
}

// written is a day as the bench reads it, with a closing fault by chance.
func written(name string, events []event, r *rand.Rand) string {
	var plan, faults string
	for _, e := range events {
		if e.planned {
			plan += e.entry(e.at)
		} else {
			faults += e.entry(e.at)
		}
	}
	return fmt.Sprintf("[[day]]\nname = %q\nseed = %d\n%s\nplan = [\n%s]\nfaults = [\n%s]\n", name, r.Uint32N(1<<30), closings[r.IntN(len(closings))], plan, faults)
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
	r := rand.New(rand.NewPCG(seed, 1))
	all := troubles()
	days := make(map[string]string)
	for n := range changes {
		name := fmt.Sprintf("changes-%d-%03d", seed, n)
		days[name] = dayOfChanges(name, all, r)
	}
	for n := range duties {
		name := fmt.Sprintf("duties-%d-%03d", seed, n)
		days[name] = dayOfDuties(name, r)
	}
	if changes == 0 && duties == 0 {
		for n := range rounds * len(all) {
			name := fmt.Sprintf("own-%d-%03d", seed, n)
			days[name] = day(name, all[n%len(all)], all, r)
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
