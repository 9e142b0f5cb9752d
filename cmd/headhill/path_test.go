package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc/pool"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/adminclient"
	"headhill.example/headhill/pkg/api"
	"headhill.example/headhill/pkg/backend"
	"headhill.example/headhill/pkg/localfleet"
	"headhill.example/headhill/pkg/settings"
	"headhill.example/headhill/pkg/sse"
	"headhill.example/headhill/pkg/standin/engine"
)

func putJSON(t *testing.T, url, body string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

// askEngine sends a chat request with this ID directly to an engine and returns the events of
// the answer.
func askEngine(t *testing.T, address, id, content string) [][]byte {
	t.Helper()
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":%q}]}`, localfleet.Model, content)
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set(backend.HeaderRequestID, id)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	var events [][]byte
	r := sse.NewReader(resp.Body)
	for {
		e, err := r.Next()
		if err == io.EOF {
			return events
		}
		require.NoError(t, err)
		events = append(events, bytes.Clone(e))
	}
}

// Covers calls, a planned stop and a kill with each box running as a separate process.
func TestRequestsAcrossProcesses(t *testing.T) {
	withProcesses(t, func(ctx context.Context, f *fleet) {
		t.Run("answer equals the engine's byte for byte", func(t *testing.T) {
			for _, d := range f.daemons {
				a, err := localfleet.Chat(ctx, d.caller, "from "+d.id, nil)
				require.NoError(t, err)
				require.True(t, a.Complete, a.Text)
				want := askEngine(t, f.engines[0], a.Header.Get(api.HeaderRequestID), "from "+d.id)
				require.Equal(t, want, a.Events)
			}
		})
		t.Run("plain call", func(t *testing.T) {
			a, err := localfleet.Call(ctx, f.daemons[1].caller, "/check?id=7", []byte("paper"), http.Header{api.HeaderIdempotencyKey: {"k"}})
			require.NoError(t, err)
			require.Equal(t, "POST /check?id=7 paper", a.Text)
			require.Equal(t, api.OutcomeDone, a.Outcome)
		})
		t.Run("200 callers", func(t *testing.T) { chatConcurrently(ctx, t, f.daemons, 200) })
		t.Run("planned stop under load", func(t *testing.T) { stopUnderLoad(ctx, t, f) })
		t.Run("kill", func(t *testing.T) {
			f.daemons[1].signal(t, syscall.SIGKILL)
			chatConcurrently(ctx, t, f.daemons[2:], 50)
		})
	})
}

// chatConcurrently sends n concurrent requests and checks that each receives its own answer.
func chatConcurrently(ctx context.Context, t *testing.T, daemons []*daemon, n int) {
	t.Helper()
	p := pool.New().WithErrors()
	for i := range n {
		p.Go(func() error { return checkAnswer(ctx, daemons[i%len(daemons)].caller, fmt.Sprintf("caller-%d", i)) })
	}
	require.NoError(t, p.Wait())
}

// checkAnswer returns an error unless the request is answered completely and with its own answer.
func checkAnswer(ctx context.Context, base, content string) error {
	a, err := localfleet.Chat(ctx, base, content, nil)
	if err != nil {
		return err
	}
	want := strings.Join(engine.Answer(content, strings.Count(a.Text, " ")), "")
	if !a.Complete || a.Text != want {
		return fmt.Errorf("%s: status %d, text %q, error %+v", content, a.Status, a.Text, a.Error)
	}
	return nil
}

// stopUnderLoad sends SIGTERM to a daemon with requests streaming and queued.
func stopUnderLoad(ctx context.Context, t *testing.T, f *fleet) {
	t.Helper()
	p := pool.New().WithErrors()
	for i := range 100 {
		p.Go(func() error { return checkAnswer(ctx, f.daemons[0].caller, fmt.Sprintf("stopping-%d", i)) })
	}
	time.Sleep(50 * time.Millisecond)
	f.daemons[0].signal(t, syscall.SIGTERM)
	require.NoError(t, p.Wait(), "a request failed during the planned stop")
	select {
	case err := <-f.daemons[0].done:
		require.NoError(t, err)
	case <-time.After(20 * time.Second):
		t.Fatal("the daemon did not exit after SIGTERM")
	}
}

func TestExampleSettingsAreDefaults(t *testing.T) {
	file := filepath.Join("..", "..", "docs", "examples", "box.ini")
	s, err := settings.Load(file)
	require.NoError(t, err)
	want := settings.Default().Limits
	require.Equal(t, want, s.Limits, "the example must show the defaults")
}

func TestCheckReportsAllProblems(t *testing.T) {
	file := filepath.Join(t.TempDir(), "bad.ini")
	require.NoError(t, os.WriteFile(file, []byte("[box]\nid = UPPER\n[listen]\ncaller = nowhere\n[limits]\nbody = many\nbodi = 1\n"), 0o600))
	p := start(t, "headhill", "check", "-c", file)
	require.Error(t, <-p.done)
	var text strings.Builder
	for len(p.lines) > 0 {
		text.WriteString(<-p.lines + "\n")
	}
	for _, want := range []string{"[box] id", "[box] hall", "[listen] caller", "[limits] body", "[limits] bodi", "[platform] url"} {
		require.Contains(t, text.String(), want)
	}
}

// Guards against wrong or partial answers when the owner of a shard is suspended with SIGSTOP,
// other boxes take over its shards, and it resumes.
func TestShardOwnerResumesAfterSuspension(t *testing.T) {
	withProcesses(t, func(ctx context.Context, f *fleet) {
		owner := f.ownerOf(ctx, t, "engines")
		var others []*daemon
		for i, d := range f.daemons {
			if i != owner {
				others = append(others, d)
			}
		}
		p := pool.New().WithErrors()
		for i := range 120 {
			p.Go(func() error {
				time.Sleep(time.Duration(i) * 30 * time.Millisecond)
				return checkAnswer(ctx, others[i%2].caller, fmt.Sprintf("frozen-%d", i))
			})
		}
		time.Sleep(500 * time.Millisecond)
		f.daemons[owner].signal(t, syscall.SIGSTOP)
		time.Sleep(2500 * time.Millisecond)
		generation := f.addClass(ctx, t, (owner+1)%3)
		f.daemons[owner].signal(t, syscall.SIGCONT)
		require.NoError(t, p.Wait())
		// The resumed daemon must apply the configuration accepted during the suspension.
		require.Eventually(t, func() bool {
			r, err := adminclient.New(f.daemons[owner].admin, localfleet.OperatorToken).Rollout(ctx, generation)
			return err == nil && len(r.InForce) == 3
		}, 20*time.Second, 20*time.Millisecond)
		require.NoError(t, checkAnswer(ctx, f.daemons[owner].caller, "after"))
	})
}

// addClass adds a class to the configuration through daemon i and returns the new generation.
func (f *fleet) addClass(ctx context.Context, t *testing.T, i int) uint64 {
	t.Helper()
	admin := adminclient.New(f.daemons[i].admin, localfleet.OperatorToken)
	plan, err := admin.Plan(ctx, "[class extra]\ntier = 2\nfirst-token = 1s\n")
	require.NoError(t, err)
	generation, err := admin.Confirm(ctx, plan)
	require.NoError(t, err)
	return generation
}

// ownerOf waits until a shard has an owner and returns the index of its daemon.
func (f *fleet) ownerOf(ctx context.Context, t *testing.T, shard string) int {
	t.Helper()
	owner := -1
	require.Eventually(t, func() bool {
		st, err := adminclient.New(f.daemons[0].admin, localfleet.OperatorToken).Status(ctx)
		if err != nil {
			return false
		}
		for i, b := range st.Boxes {
			for _, s := range b.Shards {
				if s.Shard == shard {
					owner = i
				}
			}
		}
		return owner >= 0
	}, 10*time.Second, 20*time.Millisecond)
	return owner
}
