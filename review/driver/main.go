// Command driver plays the script cases of the review. It starts the project's router processes with the command of
// deploy/system.toml, on loopback addresses, against stand-ins of the store, of servers and of clients.
//
//	driver CASE FOLDER
//
// It writes record.txt into the folder and exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run. With TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime ends a case that does not end by itself.
const maxRunTime = 115 * time.Second

// run is one play of a case.
type run struct {
	*record
	// trouble is false for a play without the disruption.
	trouble bool
	dir     string
	fleet   *fleet
}

// notRun is the panic value that ends a case which could not run.
type notRun struct{ reason string }

func (r *run) fail(format string, args ...any) { panic(notRun{fmt.Sprintf(format, args...)}) }

var cases = map[string]func(*run) bool{
	"keys": playKeys, "parts": playParts, "home": playHome, "versions": playVersions, "cold": playCold, "copies": playCopies, "usage": playUsage, "lost": playLost, "accepting": playAccepting,
}

func main() { os.Exit(play()) }

func play() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE FOLDER")
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	r := &run{record: rec, trouble: os.Getenv("TROUBLE") != "0", dir: dir}
	r.fleet = newFleet(r)
	defer r.fleet.stop()
	go r.endEarly()
	defer func() {
		if p := recover(); p != nil {
			n, ok := p.(notRun)
			if !ok {
				panic(p)
			}
			r.note("the case could not run: %s", n.reason)
			fmt.Println("the case could not run:", n.reason)
			code = exitNotRun
		}
	}()
	r.note("case %s, disruption %t", os.Args[1], r.trouble)
	if cases[os.Args[1]](r) {
		r.note("RESULT: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	r.note("RESULT: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// endEarly ends the processes when the driver is told to end, or has run for too long.
func (r *run) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(maxRunTime):
	}
	r.note("the case could not run: it was ended early")
	r.fleet.stop()
	_ = os.RemoveAll(r.dir)
	os.Exit(exitNotRun)
}
