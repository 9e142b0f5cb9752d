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
	// heldTimeout bounds a question to a box. One that runs answers within milliseconds.
	heldTimeout = 5 * time.Second
	// answerMost bounds an answer: a box holds 1,000 requests at the most.
	answerMost = 1 << 20
)

// BoxStatusError is an answer of a box that is no success.
type BoxStatusError struct {
	Status int
	Text   string
}

func (e *BoxStatusError) Error() string {
	return fmt.Sprintf("the box answered %d: %s", e.Status, e.Text)
}

// heldCommand shows the requests that routing boxes keep from backend servers, and releases one.
func heldCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "held",
		Usage: "show requests that are held because backend servers crash of them, or release one",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagBox, Usage: "`URL` of the metrics port of any routing box", Value: "http://127.0.0.1:8082"},
			&cli.StringFlag{Name: flagRelease, Usage: "release the `REQUEST` of this name on all boxes"},
			jsonFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			base := strings.TrimSuffix(c.String(flagBox), "/")
			if name := c.String(flagRelease); name != "" {
				_, err := askBox(ctx, http.MethodPost, base+"/held/"+url.PathEscape(name)+"/release")
				return err
			}
			body, err := askBox(ctx, http.MethodGet, base+"/held")
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

func askBox(ctx context.Context, method, target string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, heldTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, answerMost))
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
	fmt.Fprintln(out, "request       servers ended  last       trials  next trial")
	for _, h := range list {
		next := "by an operator only"
		if h.NextTrialSeconds > 0 {
			next = "in " + seconds(h.NextTrialSeconds)
		}
		fmt.Fprintf(out, "%-12s  %13d  %-9s  %6d  %s\n", h.Request, h.Crashes, seconds(h.LastCrashSeconds)+" ago", h.Trials, next)
	}
	return nil
}

func seconds(s float64) string {
	return time.Duration(s * float64(time.Second)).Round(time.Second).String()
}
