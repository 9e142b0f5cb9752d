package cmds

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"headhill.example/headhill/pkg/api"
	"headhill.example/headhill/pkg/localfleet"
	"headhill.example/headhill/pkg/standin/engine"
)

func demoCommand(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run stand-ins and boxes in one process, configured through the intent API",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "check", Usage: "send requests through the whole path and exit"},
			&cli.IntFlag{Name: "boxes", Usage: "number of boxes", Value: 2},
			&cli.IntFlag{Name: "engines", Usage: "number of engines", Value: 2},
			&cli.BoolFlag{Name: "logs", Usage: "show the boxes' logs"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			o := localfleet.DefaultOptions()
			o.Boxes = c.Int("boxes")
			o.Engines = c.Int("engines")
			o.ChecksFences = true
			if c.Bool("logs") {
				o.Log = errOut
			}
			startCtx, cancel := context.WithTimeout(ctx, 30*time.Second)
			defer cancel()
			f, err := localfleet.Start(startCtx, o)
			if err != nil {
				return err
			}
			defer f.Close()
			if c.Bool("check") {
				return runChecks(ctx, out, f)
			}
			printDemo(out, f)
			<-ctx.Done()
			return nil
		},
	}
}

// printDemo prints shell commands to try against the running fleet.
func printDemo(out io.Writer, f *localfleet.Fleet) {
	fmt.Fprintf(out, "headhill is up: %d boxes, %d engines, 1 plain service. Ctrl-C ends it.\n\n", len(f.Boxes), len(f.Engines))
	fmt.Fprintf(out, "# a streamed answer\ncurl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n\n", f.CallerURL(0), localfleet.CallerKey, localfleet.Model)
	fmt.Fprintf(out, "# a call that runs at most once: send it twice, to two boxes\n")
	for i := range min(2, len(f.Boxes)) {
		fmt.Fprintf(out, "curl -i %s/services/%s/activate -H 'Authorization: Bearer %s' -H 'Idempotency-Key: sim-1' -d paper\n", f.CallerURL(i), localfleet.PlainService, localfleet.CallerKey)
	}
	fmt.Fprintf(out, "\n# operators\nexport HEADHILL_ADMIN=http://%s HEADHILL_TOKEN=%s\n", f.Boxes[0].AdminAddr(), localfleet.OperatorToken)
	fmt.Fprintf(out, "go run ./cmd/headhillctl status\ngo run ./cmd/headhillctl plan --out plan.json docs/examples/intent.ini\n")
	fmt.Fprintf(out, "curl -s $HEADHILL_ADMIN/metrics | grep headhill_first_token\n\n")
	fmt.Fprintf(out, "# load\ngo run ./cmd/headhillctl load --target %s --key %s --model %s --class counter=20/1.3s/37ms --class batch=10 --burst 3@5s+5s --duration 15s\n", f.CallerURL(0), localfleet.CallerKey, localfleet.Model)
}

// CheckError reports a failed step of the demo's checks.
type CheckError struct{ Step, Problem string }

func (e *CheckError) Error() string { return fmt.Sprintf("check %q failed: %s", e.Step, e.Problem) }

// runChecks sends requests through every box and verifies the responses.
func runChecks(ctx context.Context, out io.Writer, f *localfleet.Fleet) error {
	for i := range f.Boxes {
		if err := checkChat(ctx, f, i); err != nil {
			return err
		}
	}
	fmt.Fprintln(out, "ok   a streamed answer arrived whole through every box")
	if err := checkAtMostOnce(ctx, f); err != nil {
		return err
	}
	fmt.Fprintln(out, "ok   a call that may not be repeated ran once, sent to every box")
	return nil
}

func checkChat(ctx context.Context, f *localfleet.Fleet, i int) error {
	content := fmt.Sprintf("demo %d", i)
	a, err := localfleet.Chat(ctx, f.CallerURL(i), content, nil)
	if err != nil {
		return &CheckError{Step: "chat", Problem: err.Error()}
	}
	want := strings.Join(engine.Answer(content, strings.Count(a.Text, " ")), "")
	if !a.Complete || a.Outcome != api.OutcomeDone || a.Text != want {
		return &CheckError{Step: "chat", Problem: fmt.Sprintf("status %d, outcome %q, text %q", a.Status, a.Outcome, a.Text)}
	}
	return nil
}

func checkAtMostOnce(ctx context.Context, f *localfleet.Fleet) error {
	const key = "demo-call"
	for i := range f.Boxes {
		a, err := localfleet.Call(ctx, f.CallerURL(i), "/activate", []byte("paper"), http.Header{api.HeaderIdempotencyKey: {key}})
		if err != nil {
			return &CheckError{Step: "once", Problem: err.Error()}
		}
		if want := []int{http.StatusOK, http.StatusConflict}[min(i, 1)]; a.Status != want {
			return &CheckError{Step: "once", Problem: fmt.Sprintf("box %d returned status %d, want %d: %s", i, a.Status, want, a.Text)}
		}
	}
	if n := f.Service.Runs(key); n != 1 {
		return &CheckError{Step: "once", Problem: fmt.Sprintf("request ran %d times, want 1", n)}
	}
	return nil
}
