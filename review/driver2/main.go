// Command driver2 plays the cases of the second review that are scripts: it runs stand-ins of the platform's store, of servers and of
// clients, starts routers of this project as processes, and judges what clients and servers saw. It exits with 1 if a rule was
// broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

var (
	headhill = flag.String("headhill", "target/headhill", "the program of the routers")
	trouble  = flag.Bool("trouble", true, "whether the disruption takes place")
	seed     = flag.Uint64("seed", 1, "the seed of all draws")
	logs     = flag.String("logs", "", "a folder that keeps the routers' logs; they are removed if it is empty")
)

// cases are the cases by their names.
var cases = map[string]func(*record) bool{}

func main() {
	name := flag.String("case", "", "the case to play")
	out := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		unable("no case has the name %q", *name)
	}
	stopOnSignal()
	rec := &record{start: time.Now()}
	broken := play(rec)
	stopAll()
	if broken {
		rec.add("RESULT: the rule was broken")
	} else {
		rec.add("RESULT: the rule held")
	}
	if err := rec.write(*out); err != nil {
		unable("record: %v", err)
	}
	fmt.Println(rec.last())
	if broken {
		os.Exit(1)
	}
}

// stopOnSignal ends what was started if the case is stopped from outside.
func stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { unable("stopped by %v", <-signals) }()
}

// unable ends the process as the case could not run.
func unable(format string, args ...any) {
	stopAll()
	fmt.Fprintf(os.Stderr, "could not run: "+format+"\n", args...)
	os.Exit(2)
}

// record is what was sent, answered and run, with the time of each.
type record struct {
	start time.Time
	mu    sync.Mutex
	lines []string
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%9.3f ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
}

func (r *record) last() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lines[len(r.lines)-1]
}

func (r *record) write(file string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	for _, line := range r.lines {
		if _, err := fmt.Fprintln(f, line); err != nil {
			return err
		}
	}
	return f.Close()
}
