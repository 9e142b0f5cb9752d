package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// router is a process of this project, started as the deploy file says: "headhill route -c FILE".
type router struct {
	name  string
	front string
	ready string
	// file has the settings, log the output.
	file, log string
	cmd       *exec.Cmd
	ended     chan struct{}
}

// routerLines are the settings of a router. They are those of deploy/box.ini.tmpl, filled for a machine of kichhoat-hn.
const routerLines = `[box]
id = %s
hall = caugiay
region = hanoi

[listen]
caller = %s
ready = %s
metrics = %s
peer = %s

[store]
address = %s
reads-per-second = 2000
writes-per-second = 400

[limits]
memory-mb = %d
descriptors = %d
link-mbps = 1000.0

[bounds]
drain = 2000ms
apply = 2000ms
grace = 8s
retry-ratio = 0.2
retry-slack = 54
retry-window = 10s

[regions]
caugiay = hanoi
hoalac = hanoi
longbien = hanoi

[scheduling]
server-timings = yes
expected-arrivals = yes
transfer-from-full = yes
reuse-connections = yes
fair-shares = yes
own-targets = no
return-turns = no
read-ahead = yes
`

var (
	startedMu sync.Mutex
	started   []*router
	folder    string
	// memoryMB is the memory of the machines of kichhoat-hn.
	memoryMB = 284
	// descriptors is their limit on descriptors.
	descriptors = 4100
	// moreLines are further settings, such as those of the duties.
	moreLines = ""
)

// freeAddress returns a loopback address whose port is free for TCP and UDP now. Its port is below those that the system gives to
// connections, so that none takes it before the router does.
func freeAddress() string {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", 11000+rand.IntN(20000))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		p, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		_ = p.Close()
		return address
	}
	unable("no port is free")
	return ""
}

// startRouter starts a router in front of a store. It is started anew with other ports if one of them was taken meanwhile.
func startRouter(name, store string) *router {
	for range 5 {
		r := startOnce(name, store)
		select {
		case <-r.ended:
		case <-time.After(400 * time.Millisecond):
			return r
		}
	}
	unable("router %s ends as soon as it is started", name)
	return nil
}

func startOnce(name, store string) *router {
	if folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "review2-"); err != nil {
			unable("folder: %v", err)
		}
	}
	r := &router{name: name, front: freeAddress(), ready: freeAddress(), file: filepath.Join(folder, name+".ini"), log: filepath.Join(folder, name+".log")}
	if *logs != "" {
		r.log = filepath.Join(*logs, name+".log")
	}
	text := fmt.Sprintf(routerLines, name, r.front, r.ready, freeAddress(), freeAddress(), store, memoryMB, descriptors) + moreLines
	if err := os.WriteFile(r.file, []byte(text), 0o600); err != nil {
		unable("settings: %v", err)
	}
	r.run()
	return r
}

// run starts the process of a router.
func (r *router) run() {
	log, err := os.OpenFile(r.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		unable("log: %v", err)
	}
	cmd, ended := exec.Command(*headhill, "route", "-c", r.file), make(chan struct{})
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		unable("start: %v", err)
	}
	startedMu.Lock()
	r.cmd, r.ended = cmd, ended
	if !slices.Contains(started, r) {
		started = append(started, r)
	}
	startedMu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
}

// kill kills the process, which is started again after a time.
func (r *router) kill(rec *record, down time.Duration) {
	rec.add("%s is killed", r.name)
	_ = r.cmd.Process.Signal(syscall.SIGKILL)
	<-r.ended
	time.AfterFunc(down, func() {
		rec.add("%s is started again", r.name)
		r.run()
	})
}

// awaitReady waits until a router says that it is ready.
func (r *router) awaitReady() {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + r.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	unable("router %s is not ready", r.name)
}

// hasEnded reports whether the process has ended.
func (r *router) hasEnded() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

// stopAll ends the processes that were started, and removes the temporary folder.
func stopAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, r := range started {
		if !r.hasEnded() {
			_ = r.cmd.Process.Signal(syscall.SIGKILL)
		}
	}
	for _, r := range started {
		<-r.ended
	}
	started = nil
	if folder != "" {
		_ = os.RemoveAll(folder)
	}
}
