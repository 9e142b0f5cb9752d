package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"headhill.example/headhill/pkg/quarantine"
)

const (
	flagBox     = "box"
	flagRelease = "release"
	// boxRequestTimeout limits a request to a box.
	boxRequestTimeout = 5 * time.Second
	// maxResponseBytes limits the response; a list of 1,000 held requests fits.
	maxResponseBytes = 1 << 20
)

// BoxStatusError is a response of a box with an error status.
type BoxStatusError struct {
	Status int
	Text   string
}

func (e *BoxStatusError) Error() string {
	return fmt.Sprintf("box returned status %d: %s", e.Status, e.Text)
}

// heldCommand lists the requests that routing boxes hold in quarantine, or releases
// one of them.
func heldCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "held",
		Usage: "show requests, and parts of prompts, that are held because backend servers crash of them, or release one",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagBox, Usage: "`URL` of the metrics port of any routing box", Value: "http://127.0.0.1:8082"},
			&cli.StringFlag{Name: flagRelease, Usage: "release the `REQUEST` of this name on all boxes"},
			jsonFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			base := strings.TrimSuffix(c.String(flagBox), "/")
			if name := c.String(flagRelease); name != "" {
				_, err := requestBox(ctx, http.MethodPost, base+"/held/"+url.PathEscape(name)+"/release")
				return err
			}
			body, err := requestBox(ctx, http.MethodGet, base+"/held")
			if err != nil {
				return err
			}
			if c.Bool(flagJSON) {
				_, err := out.Write(body)
				return err
			}
			return printHeld(out, body)
		},
	}
}

// requestBox sends a request to a routing box and returns the response body.
func requestBox(ctx context.Context, method, target string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, boxRequestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err == nil && resp.StatusCode/100 != 2 {
		err = &BoxStatusError{Status: resp.StatusCode, Text: strings.TrimSpace(string(body))}
	}
	return body, err
}

func printHeld(out io.Writer, body []byte) error {
	var list []quarantine.Held
	if err := json.Unmarshal(body, &list); err != nil {
		return err
	}
	if len(list) == 0 {
		fmt.Fprintln(out, "no request is held")
		return nil
	}
	fmt.Fprintln(out, "request       servers ended  last       trials  next trial           part")
	for _, h := range list {
		next := "by an operator only"
		if h.NextTrialSeconds > 0 {
			next = "in " + formatSeconds(h.NextTrialSeconds)
		}
		fmt.Fprintf(out, "%-12s  %13d  %-9s  %6d  %-19s  %s\n", h.Request, h.Crashes, formatSeconds(h.LastCrashSeconds)+" ago", h.Trials, next, h.Part)
	}
	return nil
}

func formatSeconds(s float64) string {
	return time.Duration(s * float64(time.Second)).Round(time.Second).String()
}
