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

// statusFlags returns the flags of the status command. No token is needed for the
// status of a routing box.
func statusFlags() []cli.Flag {
	return append(optionalAdminFlags(), &cli.StringFlag{Name: flagBox, Usage: "`URL` of the metrics port of a routing box, to see what it knows"})
}

// printRoutingStatus requests the status of a routing box and prints it.
func printRoutingStatus(ctx context.Context, out io.Writer, base string, asJSON bool) error {
	body, err := requestBox(ctx, http.MethodGet, base+"/status")
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
	fmt.Fprintf(out, "%s in %s, version %s, ready %t, reads the store for others %t, knows %d boxes\n", s.Box, s.Hall, s.Version, s.Ready, s.Reader, s.Boxes)
	fmt.Fprintf(out, "routing table %d, confirmed %s ago; servers %s ago\n", s.TableVersion, formatAge(s.TableAgeMillis), formatAge(s.ServersAgeMillis))
	fmt.Fprintln(out, evacuatedLine(&s))
	fmt.Fprintln(out, formsLine(&s))
	return nil
}

// evacuatedLine lists the evacuated halls.
func evacuatedLine(s *routerd.Status) string {
	if len(s.EvacuatedHalls) == 0 {
		return fmt.Sprintf("no hall is evacuated, as of %s ago", formatAge(s.EvacuationsAgeMillis))
	}
	return fmt.Sprintf("evacuated halls, as of %s ago: %s", formatAge(s.EvacuationsAgeMillis), strings.Join(s.EvacuatedHalls, ", "))
}

// formsLine reports the level of the wire and storage formats, and the boxes of
// earlier builds that read only a lower level.
func formsLine(s *routerd.Status) string {
	if len(s.EarlierBoxes) == 0 {
		return fmt.Sprintf("forms of level %d, read by all boxes", s.FormsLevel)
	}
	return fmt.Sprintf("forms of level %d, of which some boxes read level %d only: %s", s.FormsLevel, s.LowestFormsLevel, strings.Join(s.EarlierBoxes, ", "))
}

// formatAge formats an age in milliseconds. A negative value means never.
func formatAge(millis int64) string {
	if millis < 0 {
		return "never"
	}
	return fmt.Sprintf("%.1fs", float64(millis)/1000)
}
