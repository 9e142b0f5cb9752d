package cmds

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"headhill.example/headhill/pkg/measure"
)

func measureCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "measure the scheduler in virtual time against a baseline policy; the same seeds give the same figures",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "scenario", Usage: "hanoi, recife or all", Value: "all"},
			&cli.StringFlag{Name: "variants", Usage: "brief, mechanisms, faults or slow", Value: "brief"},
			&cli.IntFlag{Name: "seeds", Usage: "number of runs of each variant", Value: 10},
			jsonFlag(),
		},
		Action: func(_ context.Context, c *cli.Command) error {
			scenarios, err := scenariosByName(c.String("scenario"))
			if err != nil {
				return err
			}
			variants, err := variantsByName(c.String("variants"))
			if err != nil {
				return err
			}
			if c.Int("seeds") < 1 {
				return &UsageError{Usage: "measure --seeds N, N being 1 or more"}
			}
			for _, s := range scenarios {
				list := measure.Measure(s, variants, c.Int("seeds"))
				if c.Bool(flagJSON) {
					if err := writeJSON(out, list); err != nil {
						return err
					}
					continue
				}
				fmt.Fprintf(out, "%s, %d seeds\n\n%s\n", s.Name, c.Int("seeds"), measure.Table(list))
			}
			return nil
		},
	}
}

func scenariosByName(name string) ([]measure.Scenario, error) {
	switch name {
	case "hanoi":
		return []measure.Scenario{measure.Hanoi()}, nil
	case "recife":
		return []measure.Scenario{measure.Recife()}, nil
	case "all":
		return []measure.Scenario{measure.Hanoi(), measure.Recife()}, nil
	}
	return nil, &UsageError{Usage: "measure --scenario hanoi|recife|all"}
}

func variantsByName(name string) ([]measure.Variant, error) {
	switch name {
	case "brief":
		return measure.Mechanisms()[:2], nil
	case "mechanisms":
		return measure.Mechanisms(), nil
	case "slow":
		return measure.SlowVariants(), nil
	case "faults":
		return measure.FaultVariants(), nil
	}
	return nil, &UsageError{Usage: "measure --variants brief|mechanisms|faults|slow"}
}
