package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/urfave/cli/v3"

	"headhill.example/headhill/pkg/routerd"
)

// statusFlags are those of an admin port, of which the token is not needed where a routing box is
// asked.
func statusFlags() []cli.Flag {
	return append(optionalAdminFlags(), &cli.StringFlag{Name: flagBox, Usage: "`URL` of the metrics port of a routing box, to see what it knows"})
}

// routingStatus shows what a routing box knows.
func routingStatus(ctx context.Context, out io.Writer, base string, asJSON bool) error {
	body, err := askBox(ctx, http.MethodGet, base+"/status")
	if err != nil {
		return err
	}
	if asJSON {
		_, err := out.Write(body)
		return err
	}
	var s routerd.Status
	if err := json.Unmarshal(body, &s); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s in %s, version %s, ready %t, knows %d boxes\n", s.Box, s.Hall, s.Version, s.Ready, s.Boxes)
	fmt.Fprintf(out, "routing table %d, confirmed %s ago; servers %s ago\n", s.TableVersion, age(s.TableAgeMillis), age(s.ServersAgeMillis))
	if len(s.EvacuatedHalls) == 0 {
		fmt.Fprintf(out, "no hall is evacuated, as of %s ago\n", age(s.EvacuationsAgeMillis))
		return nil
	}
	fmt.Fprintf(out, "evacuated halls, as of %s ago: %s\n", age(s.EvacuationsAgeMillis), strings.Join(s.EvacuatedHalls, ", "))
	return nil
}

// age writes milliseconds, of which fewer than none stand for never.
func age(millis int64) string {
	if millis < 0 {
		return "never"
	}
	return fmt.Sprintf("%.1fs", float64(millis)/1000)
}
