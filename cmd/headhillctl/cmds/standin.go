package cmds

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"headhill.example/headhill/pkg/standin/engine"
	"headhill.example/headhill/pkg/standin/objectstore"
	"headhill.example/headhill/pkg/standin/service"
)

func standinCommand(out io.Writer) *cli.Command {
	listen := &cli.StringFlag{Name: "listen", Usage: "`ADDRESS` to listen on", Value: "127.0.0.1:0"}
	return &cli.Command{
		Name:  "standin",
		Usage: "run a stand-in for a system that headhill meets; PUT /faults switches its faults",
		Commands: []*cli.Command{
			{
				Name: "platform", Usage: "an object API and box list", Flags: []cli.Flag{listen},
				Action: func(ctx context.Context, c *cli.Command) error {
					return serveStandin(ctx, out, c.String("listen"), objectstore.New())
				},
			},
			{
				Name: "engine", Usage: "a model engine",
				Flags: []cli.Flag{
					listen,
					&cli.IntFlag{Name: "batch", Usage: "most sequences in one step", Value: 16},
					&cli.DurationFlag{Name: "step", Usage: "time of a step", Value: 4 * time.Millisecond},
					&cli.IntFlag{Name: "tokens", Usage: "length of answers; 0 derives it from the prompt"},
				},
				Action: func(ctx context.Context, c *cli.Command) error {
					o := engine.DefaultOptions()
					o.MaxBatch = c.Int("batch")
					o.StepBase = c.Duration("step")
					o.AnswerTokens = c.Int("tokens")
					e := engine.New(o)
					defer e.Close()
					return serveStandin(ctx, out, c.String("listen"), e)
				},
			},
			{
				Name: "service", Usage: "a plain service",
				Flags: []cli.Flag{listen, &cli.BoolFlag{Name: "fences", Usage: "check fences"}},
				Action: func(ctx context.Context, c *cli.Command) error {
					return serveStandin(ctx, out, c.String("listen"), service.New(c.Bool("fences")))
				},
			},
		},
	}
}

// serveStandin serves a stand-in until ctx is done, after printing the address it
// listens on.
func serveStandin(ctx context.Context, out io.Writer, address string, h http.Handler) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "listening on %s\n", ln.Addr())
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		<-ctx.Done()
		s.Close()
	}()
	if err := s.Serve(ln); err != http.ErrServerClosed {
		return err
	}
	return nil
}
