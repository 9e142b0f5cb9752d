package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"headhill.example/headhill/pkg/api"
	"headhill.example/headhill/pkg/intent"
)

func planCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "plan",
		Usage:     "show what an intent would change; nothing takes effect",
		ArgsUsage: "INTENT.ini",
		Flags: requiredAdminFlags(
			&cli.StringFlag{Name: "out", Aliases: []string{"o"}, Usage: "write the plan to `FILE`, for confirm"},
			jsonFlag(),
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.NArg() != 1 {
				return &UsageError{Usage: "plan --out PLAN.json INTENT.ini"}
			}
			text, err := os.ReadFile(c.Args().First())
			if err != nil {
				return err
			}
			p, err := newAdminClient(c).Plan(ctx, string(text))
			if err != nil {
				return err
			}
			if file := c.String("out"); file != "" {
				if err := writeJSONFile(file, p); err != nil {
					return err
				}
			}
			if c.Bool(flagJSON) {
				return writeJSON(out, p)
			}
			printPlan(out, p)
			return nil
		},
	}
}

func writeJSONFile(file string, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(b, '\n'), 0o600)
}

func writeJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// verbSigns are the markers printed before the items of a plan.
var verbSigns = map[string]string{intent.VerbAdd: "+", intent.VerbChange: "~", intent.VerbRemove: "-"}

func printPlan(out io.Writer, p intent.Plan) {
	fmt.Fprintf(out, "plan %s on generation %d\n", p.ID, p.Base)
	for _, d := range p.Diffs {
		fmt.Fprintf(out, "  %s %s %s\n", verbSigns[d.Verb], d.Kind, d.Name)
		for _, f := range d.Fields {
			fmt.Fprintf(out, "      %s: %s -> %s\n", f.Name, f.Old, f.New)
		}
	}
	for _, w := range p.Warnings {
		fmt.Fprintf(out, "  ! %s\n", w)
	}
	fmt.Fprintln(out, "nothing has changed yet: `headhillctl confirm PLAN.json` puts it in force")
}

func confirmCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "confirm",
		Usage:     "put a plan in force; confirming twice has the effect of once",
		ArgsUsage: "PLAN.json",
		Flags:     requiredAdminFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.NArg() != 1 {
				return &UsageError{Usage: "confirm PLAN.json"}
			}
			b, err := os.ReadFile(c.Args().First())
			if err != nil {
				return err
			}
			var p intent.Plan
			if err := json.Unmarshal(b, &p); err != nil {
				return fmt.Errorf("%s is not a plan: %w: create one with `headhillctl plan --out`", c.Args().First(), err)
			}
			g, err := newAdminClient(c).Confirm(ctx, p)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "accepted as generation %d; `headhillctl rollout %d` shows where it is in force\n", g, g)
			return nil
		},
	}
}

func configCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "show the configuration in force, as JSON",
		Flags: requiredAdminFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			r, err := newAdminClient(c).Config(ctx)
			if err != nil {
				return err
			}
			return writeJSON(out, r)
		},
	}
}

// IncompleteRolloutError reports boxes that have not applied a generation yet.
type IncompleteRolloutError struct{ Boxes []string }

func (e *IncompleteRolloutError) Error() string {
	return "not applied yet on: " + strings.Join(e.Boxes, ", ") + ": retry in a few seconds; if the boxes remain behind, see `headhillctl status`"
}

func rolloutCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "rollout",
		Usage:     "show which boxes have a generation in force",
		ArgsUsage: "GENERATION",
		Flags:     requiredAdminFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			g, err := strconv.ParseUint(c.Args().First(), 10, 64)
			if err != nil {
				return &UsageError{Usage: "rollout GENERATION"}
			}
			r, err := newAdminClient(c).Rollout(ctx, g)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "generation %d is in force on: %s\n", g, strings.Join(r.InForce, ", "))
			if len(r.Missing) > 0 {
				return &IncompleteRolloutError{Boxes: r.Missing}
			}
			return nil
		},
	}
}

func statusCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show every box and shard, or what one routing box knows",
		Flags: append(statusFlags(), jsonFlag()),
		Action: func(ctx context.Context, c *cli.Command) error {
			if base := c.String(flagBox); base != "" {
				return printRoutingStatus(ctx, out, strings.TrimSuffix(base, "/"), c.Bool(flagJSON))
			}
			if c.String(flagToken) == "" {
				return &UsageError{Usage: "status --token TOKEN, or status --box URL for a routing box"}
			}
			r, err := newAdminClient(c).Status(ctx)
			if err != nil {
				return err
			}
			if c.Bool(flagJSON) {
				return writeJSON(out, r)
			}
			printStatus(out, r)
			return nil
		},
	}
}

func printStatus(out io.Writer, r api.StatusReply) {
	for _, b := range r.Boxes {
		if b.Error != "" {
			fmt.Fprintf(out, "%-16s does not answer: %s\n", b.Box, b.Error)
			continue
		}
		fmt.Fprintf(out, "%-16s generation %d  ready %t  stopping %t\n", b.Box, b.Generation, b.Ready, b.Stopping)
		for _, s := range b.Shards {
			fmt.Fprintf(out, "    owns %-24s running %d  free %d  waiting %v\n", s.Shard, s.Running, s.Free, s.Waiting)
		}
	}
	for _, w := range r.Warnings {
		fmt.Fprintf(out, "! %s\n", w)
	}
}
