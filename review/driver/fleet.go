package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"headhill.example/headhill/platform/platformtest"
)

// command is the run line of deploy/system.toml without the path of the settings.
var command = []string{"target/headhill", "route", "-c"}

// bounds are the bounds of a deployment that the settings of a router hold.
type bounds struct {
	drain, apply, evacuate, grace time.Duration
	retryRatio                    float64
	retrySlack                    int
}

// kichhoat are the bounds of the site kichhoat-hn-now-grown.
var kichhoat = bounds{drain: 3 * time.Second, apply: 3 * time.Second, grace: 8 * time.Second, retryRatio: 0.2, retrySlack: 214}

// fleet is the store with the router processes.
type fleet struct {
	run   *run
	store *platformtest.Store
	// cloud takes the calls that one machine makes for all.
	cloud   *platformtest.Cloud
	bounds  bounds
	regions map[string]string

	// storeDown is set while the store is silent: no server can write there.
	storeDown atomic.Bool

	mu    sync.Mutex
	boxes []*box
}

func newFleet(r *run) *fleet {
	return &fleet{run: r, store: platformtest.NewStore(), cloud: platformtest.NewCloud(), bounds: kichhoat, regions: map[string]string{"caugiay": "hanoi", "hoalac": "hanoi"}}
}

// box is a machine with its router process.
type box struct {
	name, zone                   string
	caller, ready, metrics, peer string
	settings                     string
	cmd                          *exec.Cmd
	// ended is closed once the process has ended.
	ended chan struct{}
}

// usedPorts holds the ports that were given out.
var usedPorts = make(map[int]bool)

// Ports are below those that the system gives to outgoing connections, which could take the port of a router that
// is down.
const (
	minPort   = 13000
	portRange = 18000
)

// freeAddress returns a loopback address that is free for TCP and UDP.
func (r *run) freeAddress() string {
	for range 200 {
		port := minPort + rand.IntN(portRange)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if usedPorts[port] {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		u, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		u.Close()
		usedPorts[port] = true
		return address
	}
	r.fail("no free port")
	return ""
}

// addBox starts a router. If it ends at once, another process has taken one of its ports, and others are tried.
func (f *fleet) addBox(name, zone string) *box {
	r := f.run
	b := &box{name: name, zone: zone, settings: filepath.Join(r.dir, name+".ini")}
	f.mu.Lock()
	f.boxes = append(f.boxes, b)
	f.mu.Unlock()
	for range 3 {
		b.caller, b.ready, b.metrics, b.peer = r.freeAddress(), r.freeAddress(), r.freeAddress(), r.freeAddress()
		if err := os.WriteFile(b.settings, []byte(f.settingsOf(b)), 0o600); err != nil {
			r.fail("settings of %s: %v", name, err)
		}
		f.start(b)
		select {
		case <-b.ended:
			r.note("%s ended at once", name)
		case <-time.After(startTime):
			return b
		}
	}
	r.fail("%s does not start", name)
	return nil
}

// startTime is the time after which a router that runs has opened its ports.
const startTime = 200 * time.Millisecond

// settingsOf returns the settings as deploy/box.ini.tmpl fills them.
func (f *fleet) settingsOf(b *box) string {
	var s strings.Builder
	fmt.Fprintf(&s, "[box]\nid = %s\nhall = %s\nregion = %s\n\n", b.name, b.zone, f.regions[b.zone])
	fmt.Fprintf(&s, "[listen]\ncaller = %s\nready = %s\nmetrics = %s\npeer = %s\n\n", b.caller, b.ready, b.metrics, b.peer)
	fmt.Fprintf(&s, "[store]\naddress = %s\nreads-per-second = 2000\nwrites-per-second = 400\n\n", f.store.Address())
	s.WriteString("[limits]\nmemory-mb = 284\ndescriptors = 4100\nlink-mbps = 1000\n\n")
	fmt.Fprintf(&s, "[bounds]\ndrain = %s\napply = %s\n", f.bounds.drain, f.bounds.apply)
	if f.bounds.evacuate > 0 {
		fmt.Fprintf(&s, "evacuate = %s\n", f.bounds.evacuate)
	}
	fmt.Fprintf(&s, "grace = %s\nretry-ratio = %g\nretry-slack = %d\nretry-window = 10s\n\n[regions]\n", f.bounds.grace, f.bounds.retryRatio, f.bounds.retrySlack)
	for zone, region := range f.regions {
		fmt.Fprintf(&s, "%s = %s\n", zone, region)
	}
	fmt.Fprintf(&s, "\n[duties]\naddress = %s\nheld = metering\nlease = 3000ms\nwindow = %ds\n", f.cloud.Address(), windowSeconds)
	s.WriteString("\n[scheduling]\nserver-timings = yes\nexpected-arrivals = yes\ntransfer-from-full = yes\nreuse-connections = yes\n" +
		"fair-shares = yes\nown-targets = no\nreturn-turns = no\nread-ahead = yes\n")
	return s.String()
}

// starts runs functions on a thread that lives as long as the driver, as the end of the parent's thread would
// end the processes.
var starts = func() chan func() {
	c := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range c {
			f()
		}
	}()
	return c
}()

func (f *fleet) start(b *box) {
	r := f.run
	out, err := os.Create(filepath.Join(r.dir, b.name+".log"))
	if err != nil {
		r.fail("log of %s: %v", b.name, err)
	}
	b.cmd = exec.Command(command[0], append(command[1:], b.settings)...)
	b.cmd.Stdout, b.cmd.Stderr = out, out
	b.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "HEADHILL_NODE_FILE=" + b.settings}
	b.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	starts <- func() { started <- b.cmd.Start() }
	if err := <-started; err != nil {
		r.fail("%s does not start: %v", b.name, err)
	}
	ended, cmd := make(chan struct{}), b.cmd
	b.ended = ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	r.note("%s (zone %s) started: %s", b.name, b.zone, strings.Join(command, " "))
}

// awaitReady waits until all routers say that they are ready, as the platform asks them.
func (f *fleet) awaitReady() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(20 * time.Second)
	for _, b := range f.boxes {
		for {
			resp, err := client.Get("http://" + b.ready + "/readyz")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				f.run.fail("%s is not ready after 20 s", b.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.run.note("all routers are ready")
}

// kill ends the process of a router at once.
func (f *fleet) kill(b *box) {
	_ = b.cmd.Process.Kill()
	f.run.note("%s is killed", b.name)
}

// stop ends all processes. With KEEP_LOGS set, their logs are copied there first.
func (f *fleet) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.boxes {
		if b.cmd != nil && b.cmd.Process != nil {
			_ = b.cmd.Process.Kill()
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, b := range f.boxes {
			if data, err := os.ReadFile(filepath.Join(f.run.dir, b.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, b.name+".log"), data, 0o600)
			}
		}
	}
	f.boxes = nil
}

// configure writes a version of the configuration. The return is the acknowledgement.
func (f *fleet) configure(config map[string]any) {
	f.store.Put("config", "main", config)
	f.run.note("the operator's version %v is acknowledged", config["version"])
}

// silenceStore makes the store silent, or ends that.
func (f *fleet) silenceStore(silent bool) {
	f.storeDown.Store(silent)
	f.store.SetFaults(platformtest.StoreFaults{Hang: silent})
	f.run.note("the store is silent: %t", silent)
}

// awaitStore waits while the store is silent.
func (f *fleet) awaitStore() {
	for f.storeDown.Load() {
		time.Sleep(20 * time.Millisecond)
	}
}

// limits are the limits of all configurations.
var limits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 5000, "idle_timeout_ms": 20000}
