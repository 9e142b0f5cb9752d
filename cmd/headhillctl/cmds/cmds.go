// Package cmds implements the commands of headhillctl.
package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"headhill.example/headhill/pkg/adminclient"
	"headhill.example/headhill/pkg/version"
)

// Main runs headhillctl with the given arguments and returns the exit status.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := New(os.Stdout, os.Stderr).Run(ctx, args); err != nil {
		fmt.Fprintln(os.Stderr, "headhillctl:", err)
		return 1
	}
	return 0
}

// New returns the root command.
func New(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "headhillctl",
		Usage:     "operate headhill, and try it out",
		Version:   version.String(),
		Writer:    out,
		ErrWriter: errOut,
		Commands: []*cli.Command{
			planCommand(out),
			confirmCommand(out),
			configCommand(out),
			rolloutCommand(out),
			statusCommand(out),
			keyCommand(out),
			heldCommand(out),
			standinCommand(out),
			loadCommand(out, errOut),
			demoCommand(out, errOut),
			measureCommand(out),
		},
	}
}

const (
	flagAdmin = "admin"
	flagToken = "token"
	flagJSON  = "json"
)

// requiredAdminFlags returns the flags for the admin port's URL and the operator's
// token, followed by extra.
func requiredAdminFlags(extra ...cli.Flag) []cli.Flag { return append(newAdminFlags(true), extra...) }

// optionalAdminFlags returns the admin flags for a command that may run without a
// token.
func optionalAdminFlags() []cli.Flag { return newAdminFlags(false) }

func newAdminFlags(tokenRequired bool) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagAdmin, Usage: "`URL` of a box's admin port", Value: "http://127.0.0.1:8082", Sources: cli.EnvVars("HEADHILL_ADMIN")},
		&cli.StringFlag{Name: flagToken, Usage: "the operator's `TOKEN`", Required: tokenRequired, Sources: cli.EnvVars("HEADHILL_TOKEN")},
	}
}

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: flagJSON, Usage: "print JSON for programs"}
}

func newAdminClient(c *cli.Command) *adminclient.Client {
	return adminclient.New(c.String(flagAdmin), c.String(flagToken))
}

// UsageError reports wrong arguments of a command and its correct usage.
type UsageError struct{ Usage string }

func (e *UsageError) Error() string { return "usage: headhillctl " + e.Usage }
