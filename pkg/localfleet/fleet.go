// Package localfleet runs a complete fleet in one process on loopback: real boxes with
// stand-ins for the platform, the engines and a service. It is used by the demo and by
// tests.
package localfleet

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"headhill.example/headhill/pkg/adminclient"
	"headhill.example/headhill/pkg/box"
	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/logflags"
	"headhill.example/headhill/pkg/objectstore"
	"headhill.example/headhill/pkg/settings"
	"headhill.example/headhill/pkg/standin/engine"
	standin "headhill.example/headhill/pkg/standin/objectstore"
	"headhill.example/headhill/pkg/standin/service"
)

// Names and keys of the fleet. The keys are not secret.
const (
	Operator      = "operator"
	OperatorToken = "demo-operator-token"
	CallerKey     = "demo-caller-key"
	Organisation  = "demo"
	Model         = "demo-model"
	EngineService = "engines"
	PlainService  = "business"
	Hall          = "north"
)

// Options configures a fleet.
type Options struct {
	Boxes, Engines, Slots int
	// Engine configures the engines.
	Engine engine.Options
	// ChecksFences makes the plain service check fences.
	ChecksFences bool
	// Log receives the log output of the boxes.
	Log io.Writer
	// LogLevel and LogOutput are as in the settings.
	LogLevel  string
	LogOutput []string
	// ModifySettings, if set, modifies the settings of each box.
	ModifySettings func(*settings.Settings)
}

// DefaultOptions returns the options of a fleet with two boxes and two engines.
func DefaultOptions() Options {
	return Options{Boxes: 2, Engines: 2, Slots: 8, Engine: engine.DefaultOptions(), Log: io.Discard, LogLevel: "info"}
}

// Fleet is a running fleet.
type Fleet struct {
	Platform    *standin.Server
	PlatformURL string
	Engines     []*engine.Engine
	Service     *service.Service
	Boxes       []*box.Box

	opts      Options
	names     []string
	addresses []string
	service   string
	servers   []*http.Server
}

// serve serves h on a new port and returns its address.
func (f *Fleet) serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	f.servers = append(f.servers, s)
	go func() { _ = s.Serve(ln) }()
	return ln.Addr().String(), nil
}

// Start starts a fleet, configures it through the intent API, and returns once every box
// is ready and has the configuration in force.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	f := &Fleet{opts: o, Platform: standin.New(), Service: service.New(o.ChecksFences)}
	if err := f.startStandins(); err != nil {
		f.Close()
		return nil, err
	}
	for range o.Boxes {
		if _, err := f.AddBox(); err != nil {
			f.Close()
			return nil, err
		}
	}
	if err := f.configure(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startStandins() error {
	address, err := f.serve(f.Platform)
	if err != nil {
		return err
	}
	f.PlatformURL = "http://" + address
	for range f.opts.Engines {
		e := engine.New(f.opts.Engine)
		f.Engines = append(f.Engines, e)
		address, err := f.serve(e)
		if err != nil {
			return err
		}
		f.addresses = append(f.addresses, address)
	}
	f.service, err = f.serve(f.Service)
	return err
}

// AddBox starts another box and adds it to the platform's box list.
func (f *Fleet) AddBox() (*box.Box, error) { return f.StartBox(fmt.Sprintf("box-%d", len(f.Boxes)+1)) }

// StartBox starts a box with the given name and adds it to the platform's box list.
func (f *Fleet) StartBox(name string) (*box.Box, error) {
	s := settings.Default()
	s.Box = settings.Box{ID: name, Hall: Hall, Region: "default"}
	s.Listen = settings.Listen{Caller: "127.0.0.1:0", Peer: "127.0.0.1:0", Admin: "127.0.0.1:0"}
	s.Platform.URL = f.PlatformURL
	s.Peers.Mode = settings.PeerModePlain
	for _, b := range f.Boxes {
		s.Peers.Seeds = append(s.Peers.Seeds, b.PeerAddr())
	}
	s.Operators = map[string]string{Operator: config.HashKey(OperatorToken)}
	s.Limits.StopNotice = 100 * time.Millisecond
	if f.opts.ModifySettings != nil {
		f.opts.ModifySettings(&s)
	}
	b, err := box.New(s, logflags.New(f.opts.Log, "logfmt", f.opts.LogLevel, f.opts.LogOutput))
	if err != nil {
		return nil, err
	}
	f.Boxes = append(f.Boxes, b)
	f.names = append(f.names, name)
	f.Platform.SetBox(objectstore.Box{ID: name, Hall: Hall, Region: "default", Peer: b.PeerAddr(), State: objectstore.BoxLive})
	b.Start()
	return b, nil
}

// BoxName returns the name of box i.
func (f *Fleet) BoxName(i int) string { return f.names[i] }

// Intent returns the intent with which the fleet is configured.
func (f *Fleet) Intent() string {
	var b strings.Builder
	b.WriteString(baseIntent)
	fmt.Fprintf(&b, "key-sha256 = %s\n", config.HashKey(CallerKey))
	for i, a := range f.addresses {
		fmt.Fprintf(&b, "\n[server engine-%d]\nservice = %s\nhall = %s\naddress = %s\nslots = %d\n", i+1, EngineService, Hall, a, f.opts.Slots)
	}
	fences := "no"
	if f.opts.ChecksFences {
		fences = "yes"
	}
	fmt.Fprintf(&b, "\n[server business-1]\nservice = %s\nhall = %s\naddress = %s\nslots = 64\nchecks-fences = %s\n", PlainService, Hall, f.service, fences)
	return b.String()
}

// baseIntent must end in the organisation's section, to which Intent adds the key.
const baseIntent = `
[class counter]
tier = 1
first-token = 1.3s
between-tokens = 37ms
deadline = 20s
floor = 5%

[class batch]
tier = 3
first-token = 30s
deadline = 2m
floor = 3%

[service engines]
kind = engine
models = demo-model
queue = 2000

[service business]
kind = plain
repeatable = no
queue = 200

[organisation demo]
class = counter
`

// AdminClient returns an operator's client for box i.
func (f *Fleet) AdminClient(i int) *adminclient.Client {
	return adminclient.New("http://"+f.Boxes[i].AdminAddr(), OperatorToken)
}

// CallerURL returns the base URL of box i for callers.
func (f *Fleet) CallerURL(i int) string { return "http://" + f.Boxes[i].CallerAddr() }

// Apply plans and confirms an intent at box i and returns the new generation.
func (f *Fleet) Apply(ctx context.Context, i int, text string) (uint64, error) {
	p, err := f.AdminClient(i).Plan(ctx, text)
	if err != nil {
		return 0, err
	}
	return f.AdminClient(i).Confirm(ctx, p)
}

func (f *Fleet) configure(ctx context.Context) error {
	if err := f.WaitReady(ctx); err != nil {
		return err
	}
	g, err := f.Apply(ctx, 0, f.Intent())
	if err != nil {
		return err
	}
	return f.WaitGeneration(ctx, g)
}

// NotReadyError is returned if a fleet did not reach the expected state in time.
type NotReadyError struct{ What string }

func (e *NotReadyError) Error() string {
	return fmt.Sprintf("fleet not ready in time: %s; check its logs", e.What)
}

// WaitReady waits until every box is ready.
func (f *Fleet) WaitReady(ctx context.Context) error {
	return waitUntil(ctx, "boxes not ready", func() bool {
		for _, b := range f.Boxes {
			if !b.Ready() {
				return false
			}
		}
		return true
	})
}

// WaitGeneration waits until every box has at least generation g in force.
func (f *Fleet) WaitGeneration(ctx context.Context, g uint64) error {
	return waitUntil(ctx, fmt.Sprintf("generation %d not in force", g), func() bool {
		for _, b := range f.Boxes {
			if b.Generation() < g {
				return false
			}
		}
		return true
	})
}

func waitUntil(ctx context.Context, what string, ok func() bool) error {
	t := time.NewTicker(5 * time.Millisecond)
	defer t.Stop()
	for !ok() {
		select {
		case <-ctx.Done():
			return &NotReadyError{What: what}
		case <-t.C:
		}
	}
	return nil
}

// KillBox kills box i and removes it from the box list. The indices of later boxes decrease
// by one.
func (f *Fleet) KillBox(i int) {
	f.Boxes[i].Kill()
	f.Platform.RemoveBox(f.names[i])
	f.RemoveBox(i)
}

// RemoveBox removes box i, which has already stopped, from the fleet.
func (f *Fleet) RemoveBox(i int) {
	f.Boxes = append(f.Boxes[:i:i], f.Boxes[i+1:]...)
	f.names = append(f.names[:i:i], f.names[i+1:]...)
}

// Close kills all boxes and stops the stand-ins.
func (f *Fleet) Close() {
	for _, b := range f.Boxes {
		b.Kill()
	}
	for _, e := range f.Engines {
		e.Close()
	}
	for _, s := range f.servers {
		s.Close()
	}
}
