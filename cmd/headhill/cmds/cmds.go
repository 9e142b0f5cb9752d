// Package cmds implements the commands of headhill.
package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log/level"
	"github.com/urfave/cli/v3"

	"headhill.example/headhill/pkg/box"
	"headhill.example/headhill/pkg/logflags"
	"headhill.example/headhill/pkg/peer"
	"headhill.example/headhill/pkg/routerd"
	"headhill.example/headhill/pkg/settings"
	"headhill.example/headhill/pkg/version"
)

// Main runs the program and returns its exit status.
func Main(args []string) int {
	if err := New(os.Stdout, os.Stderr).Run(context.Background(), args); err != nil {
		fmt.Fprintln(os.Stderr, "headhill:", err)
		return 1
	}
	return 0
}

// New returns the root command.
func New(out, errOut io.Writer) *cli.Command {
	configFile := &cli.StringFlag{Name: "config", Aliases: []string{"c"}, Usage: "the box's settings `FILE`", Required: true}
	logOutput := &cli.StringFlag{Name: "log-output", Usage: "debug logs of these `SUBSYSTEMS`, separated by commas"}
	return &cli.Command{
		Name:      "headhill",
		Usage:     "route language-model traffic by service level and priority",
		Version:   version.String(),
		Writer:    out,
		ErrWriter: errOut,
		Commands: []*cli.Command{
			{
				Name:  "serve",
				Usage: "run the daemon of this box",
				Flags: []cli.Flag{configFile, logOutput},
				Action: func(_ context.Context, c *cli.Command) error {
					return serve(c.String("config"), c.String("log-output"), errOut)
				},
			},
			{
				Name:  "route",
				Usage: "run this box as a router by host and path, on the operators' platform",
				Flags: []cli.Flag{configFile, logOutput},
				Action: func(_ context.Context, c *cli.Command) error {
					return route(c.String("config"), c.String("log-output"), out)
				},
			},
			{
				Name:  "check",
				Usage: "check the settings and say everything that is wrong with them",
				Flags: []cli.Flag{configFile, &cli.BoolFlag{Name: "route", Usage: "the settings are those of `headhill route`"}},
				Action: func(_ context.Context, c *cli.Command) error {
					if err := validateSettings(c.String("config"), c.Bool("route")); err != nil {
						return err
					}
					fmt.Fprintln(out, "settings are good")
					return nil
				},
			},
		},
	}
}

// validateSettings checks a settings file, that of `headhill route` if route is set.
func validateSettings(file string, route bool) error {
	if route {
		_, err := routerd.LoadSettings(file)
		return err
	}
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	_, err = peer.LoadCredentials(s.Peers)
	return err
}

// serve runs the daemon until SIGTERM or SIGINT. The first signal starts a graceful stop, the
// second cancels the requests still in flight.
func serve(file, debugSubsystems string, w io.Writer) error {
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	if debugSubsystems != "" {
		if s.Log.Output, err = logflags.ParseSubsystems(debugSubsystems); err != nil {
			return err
		}
	}
	logs := logflags.New(w, s.Log.Format, s.Log.Level, s.Log.Output)
	b, err := box.New(s, logs)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	b.Start()
	<-signals
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-signals
		_ = level.Warn(logs.For(logflags.Box)).Log("msg", "received second signal, cancelling requests in flight", "in_progress", b.InProgress())
		cancel()
	}()
	b.Stop(ctx)
	return nil
}
