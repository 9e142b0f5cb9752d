// Package cmds holds the commands of the operators' tool.
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

// Main runs the program and returns its exit status.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := New(os.Stdout, os.Stderr).Run(ctx, args); err != nil {
		fmt.Fprintln(os.Stderr, "headhillctl:", err)
		return 1
	}
	return 0
}

// New returns the program's command line.
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

// adminFlags say which box to ask, and as whom.
func adminFlags(more ...cli.Flag) []cli.Flag { return append(flagsOfAdmin(true), more...) }

// optionalAdminFlags are adminFlags for a command that can do without them.
func optionalAdminFlags() []cli.Flag { return flagsOfAdmin(false) }

func flagsOfAdmin(token bool) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagAdmin, Usage: "`URL` of a box's admin port", Value: "http://127.0.0.1:8082", Sources: cli.EnvVars("HEADHILL_ADMIN")},
		&cli.StringFlag{Name: flagToken, Usage: "the operator's `TOKEN`", Required: token, Sources: cli.EnvVars("HEADHILL_TOKEN")},
	}
}

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: flagJSON, Usage: "print JSON for programs"}
}

func adminOf(c *cli.Command) *adminclient.Client {
	return adminclient.New(c.String(flagAdmin), c.String(flagToken))
}

// UsageError says how a command is called.
type UsageError struct{ Usage string }

func (e *UsageError) Error() string { return "usage: headhillctl " + e.Usage }
