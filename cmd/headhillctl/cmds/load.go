package cmds

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"headhill.example/headhill/pkg/load"
)

func loadCommand(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "drive boxes with callers of several classes and measure what they get",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "target", Usage: "`URL` of a callers' port; may be given several times", Required: true},
			&cli.StringFlag{Name: "key", Usage: "the organisation's API `KEY`", Required: true, Sources: cli.EnvVars("HEADHILL_KEY")},
			&cli.StringFlag{Name: "model", Usage: "`MODEL` to ask for", Required: true},
			&cli.StringSliceFlag{Name: "class", Usage: "`NAME=RATE[/FIRST[/BETWEEN]]`, as counter=20/1.3s/37ms", Required: true},
			&cli.DurationFlag{Name: "duration", Usage: "time in which requests begin", Value: 30 * time.Second},
			&cli.StringFlag{Name: "burst", Usage: "`FACTOR@AT+FOR`, as 3@10s+10s"},
			&cli.IntFlag{Name: "max-tokens", Usage: "bound of answers; 0 leaves it to the engine"},
			&cli.IntFlag{Name: "in-flight", Usage: "most requests under way", Value: 2000},
			&cli.Uint64Flag{Name: "seed", Usage: "of arrivals", Value: 1},
			jsonFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			o, err := loadOptions(c)
			if err != nil {
				return err
			}
			o.Progress = func(elapsed time.Duration, sent, ended int) {
				fmt.Fprintf(errOut, "\r%4.0fs  sent %d  under way %d ", elapsed.Seconds(), sent, sent-ended)
			}
			results, err := load.Run(ctx, o)
			if err != nil {
				return err
			}
			fmt.Fprintln(errOut)
			if c.Bool(flagJSON) {
				return writeJSON(out, results)
			}
			fmt.Fprint(out, load.Table(results))
			return nil
		},
	}
}

func loadOptions(c *cli.Command) (load.Options, error) {
	o := load.Options{
		Targets:     c.StringSlice("target"),
		Key:         c.String("key"),
		Model:       c.String("model"),
		Duration:    c.Duration("duration"),
		MaxTokens:   c.Int("max-tokens"),
		MaxInFlight: c.Int("in-flight"),
		Seed:        c.Uint64("seed"),
	}
	for _, text := range c.StringSlice("class") {
		class, err := parseClass(text)
		if err != nil {
			return o, err
		}
		o.Classes = append(o.Classes, class)
	}
	if text := c.String("burst"); text != "" {
		if err := parseBurst(text, &o); err != nil {
			return o, err
		}
	}
	return o, nil
}

// parseClass parses NAME=RATE[/FIRST[/BETWEEN]].
func parseClass(text string) (load.Class, error) {
	bad := &load.InvalidOptionError{Option: "class " + text, Remedy: "write NAME=RATE[/FIRST[/BETWEEN]], as counter=20/1.3s/37ms"}
	name, rest, ok := strings.Cut(text, "=")
	parts := strings.Split(rest, "/")
	if !ok || len(parts) > 3 {
		return load.Class{}, bad
	}
	class := load.Class{Name: name}
	var err error
	if class.Rate, err = strconv.ParseFloat(parts[0], 64); err != nil {
		return load.Class{}, bad
	}
	for i, target := range []*time.Duration{&class.FirstTokenTarget, &class.InterTokenTarget} {
		if len(parts) <= i+1 {
			break
		}
		if *target, err = time.ParseDuration(parts[i+1]); err != nil {
			return load.Class{}, bad
		}
	}
	return class, nil
}

// parseBurst parses FACTOR@AT+FOR into the burst options of o.
func parseBurst(text string, o *load.Options) error {
	bad := &load.InvalidOptionError{Option: "burst " + text, Remedy: "write FACTOR@AT+FOR, as 3@10s+10s"}
	factor, rest, ok := strings.Cut(text, "@")
	at, duration, ok2 := strings.Cut(rest, "+")
	if !ok || !ok2 {
		return bad
	}
	var errs [3]error
	o.BurstFactor, errs[0] = strconv.ParseFloat(factor, 64)
	o.BurstStart, errs[1] = time.ParseDuration(at)
	o.BurstDuration, errs[2] = time.ParseDuration(duration)
	for _, err := range errs {
		if err != nil {
			return bad
		}
	}
	return nil
}
