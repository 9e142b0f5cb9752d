package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/adminclient"
	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/localfleet"
)

// binDir is the directory into which TestMain builds the programs.
var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "headhill")
	if err == nil {
		binDir = dir
		build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "headhill.example/headhill/cmd/...")
		build.Stderr = os.Stderr
		err = build.Run()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	status := m.Run()
	os.RemoveAll(dir)
	os.Exit(status)
}

// process is a program started by a test.
type process struct {
	cmd   *exec.Cmd
	lines chan string
	done  chan error
}

// start runs a program and kills it when the test ends.
func start(t *testing.T, program string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(filepath.Join(binDir, program), args...), lines: make(chan string, 1000), done: make(chan error, 1)}
	r, w := io.Pipe()
	p.cmd.Stdout, p.cmd.Stderr = w, w
	require.NoError(t, p.cmd.Start())
	go func() {
		s := bufio.NewScanner(r)
		for s.Scan() {
			select {
			case p.lines <- s.Text():
			default:
			}
		}
	}()
	go func() {
		p.done <- p.cmd.Wait()
		w.Close()
	}()
	t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	return p
}

// waitForLine waits for an output line that matches pattern and returns its submatches.
func (p *process) waitForLine(t *testing.T, pattern string) []string {
	t.Helper()
	re := regexp.MustCompile(pattern)
	timeout := time.After(20 * time.Second)
	var seen []string
	for {
		select {
		case line := <-p.lines:
			seen = append(seen, line)
			if m := re.FindStringSubmatch(line); m != nil {
				return m
			}
		case <-timeout:
			t.Fatalf("timed out waiting for a line that matches %q; output:\n%s", pattern, strings.Join(seen, "\n"))
		}
	}
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(s))
}

// daemon is a box that runs as a separate process.
type daemon struct {
	*process
	id, caller, peer, admin string
}

func startDaemon(t *testing.T, platform, id string) *daemon {
	t.Helper()
	file := filepath.Join(t.TempDir(), id+".ini")
	text := fmt.Sprintf("[box]\nid = %s\nhall = north\n[listen]\ncaller = 127.0.0.1:0\npeer = 127.0.0.1:0\nadmin = 127.0.0.1:0\n[platform]\nurl = %s\n[peers]\nmode = plain\n[operators]\nop = %s\n[limits]\nstop-notice = 300ms\n",
		id, platform, config.HashKey(localfleet.OperatorToken))
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	d := &daemon{process: start(t, "headhill", "serve", "-c", file), id: id}
	m := d.waitForLine(t, `msg=listening .*caller=(\S+) peer=(\S+) admin=(\S+)`)
	d.caller, d.peer, d.admin = "http://"+m[1], m[2], "http://"+m[3]
	putJSON(t, platform+"/v1/boxes/"+id, fmt.Sprintf(`{"hall":"north","region":"default","peer":%q,"state":"live"}`, d.peer))
	return d
}

// fleet is a set of daemons and stand-ins, each a separate process.
type fleet struct {
	platform string
	engines  []string
	service  string
	daemons  []*daemon
}

// withProcesses runs fn against three daemons, a platform, two engines and a service, configured
// with headhillctl.
func withProcesses(t *testing.T, fn func(ctx context.Context, f *fleet)) {
	t.Helper()
	standin := func(args ...string) string {
		p := start(t, "headhillctl", append([]string{"standin"}, args...)...)
		return p.waitForLine(t, `^listening on (\S+)$`)[1]
	}
	f := &fleet{platform: "http://" + standin("platform")}
	for range 2 {
		f.engines = append(f.engines, standin("engine"))
	}
	f.service = standin("service", "--fences")
	for i := range 3 {
		f.daemons = append(f.daemons, startDaemon(t, f.platform, fmt.Sprintf("box-%d", i+1)))
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	for _, d := range f.daemons {
		d.waitForLine(t, "msg=ready")
	}
	f.configure(ctx, t)
	fn(ctx, f)
}

// configure applies the intent with headhillctl and waits until all daemons have it in force.
func (f *fleet) configure(ctx context.Context, t *testing.T) {
	t.Helper()
	intent := filepath.Join(t.TempDir(), "intent.ini")
	plan := filepath.Join(t.TempDir(), "plan.json")
	require.NoError(t, os.WriteFile(intent, []byte(f.intent()), 0o600))
	f.headhillctl(ctx, t, "plan", "--out", plan, intent)
	require.Contains(t, f.headhillctl(ctx, t, "confirm", plan), "accepted as generation 1")
	// Query each daemon: one that has just started may not know all others yet.
	for _, d := range f.daemons {
		require.Eventually(t, func() bool {
			r, err := adminclient.New(d.admin, localfleet.OperatorToken).Rollout(ctx, 1)
			return err == nil && len(r.InForce) == len(f.daemons) && len(r.Missing) == 0
		}, 20*time.Second, 20*time.Millisecond)
	}
}

func (f *fleet) intent() string {
	var b strings.Builder
	b.WriteString("[class counter]\ntier = 1\nfirst-token = 1.3s\ndeadline = 30s\n")
	fmt.Fprintf(&b, "[organisation demo]\nclass = counter\nkey-sha256 = %s\n", config.HashKey(localfleet.CallerKey))
	fmt.Fprintf(&b, "[service engines]\nmodels = %s\nqueue = 500\n", localfleet.Model)
	fmt.Fprintf(&b, "[service %s]\nkind = plain\nrepeatable = no\n", localfleet.PlainService)
	for i, e := range f.engines {
		fmt.Fprintf(&b, "[server engine-%d]\nservice = engines\nhall = north\naddress = %s\n", i, e)
	}
	fmt.Fprintf(&b, "[server business-1]\nservice = %s\nhall = north\naddress = %s\nslots = 32\nchecks-fences = yes\n", localfleet.PlainService, f.service)
	return b.String()
}

func (f *fleet) headhillctl(ctx context.Context, t *testing.T, args ...string) string {
	t.Helper()
	cmd := exec.CommandContext(ctx, filepath.Join(binDir, "headhillctl"), args...)
	cmd.Env = append(os.Environ(), "HEADHILL_ADMIN="+f.daemons[0].admin, "HEADHILL_TOKEN="+localfleet.OperatorToken)
	out, err := cmd.CombinedOutput()
	require.NoError(t, err, string(out))
	return string(out)
}
