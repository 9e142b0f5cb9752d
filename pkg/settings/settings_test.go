package settings

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/inifile"
)

const minimalSettings = "[box]\nid = b\nhall = h\n[platform]\nurl = http://127.0.0.1:1\n[peers]\nmode = plain\n"

func TestParseReportsAllProblems(t *testing.T) {
	_, err := Parse([]byte(`
[box]
id = UPPER
[listen]
caller = localhost:80
peer = 127.0.0.1:x
[platform]
url = ftp://x
token-file = /does/not/exist
[peers]
seeds = 127.0.0.1
[operators]
linh = secret
[limits]
body = 12
requests = many
stop = 5
[log]
level = loud
output = entry, everything
colour = blue
[extra]
a = 1
`))
	var e *inifile.Error
	require.ErrorAs(t, err, &e)
	want := []string{
		"box.id", "box.hall", "listen.caller", "listen.peer", "platform.url", "platform.token-file",
		"peers.seeds", "peers.cert", "peers.key", "peers.roots", "operators.linh", "limits.body",
		"limits.requests", "limits.stop", "log.level", "log.output", "log.colour", "extra.",
	}
	var got []string
	for _, p := range e.Problems {
		got = append(got, p.Section+"."+p.Key)
		require.NotEmpty(t, p.Remedy)
	}
	require.ElementsMatch(t, want, got)
}

func TestParseMinimalSettings(t *testing.T) {
	s, err := Parse([]byte(minimalSettings))
	require.NoError(t, err)
	require.Equal(t, Default().Limits, s.Limits)
}

func TestLoadMissingFile(t *testing.T) {
	_, err := Load("no/such/file.ini")
	var e *inifile.SyntaxError
	require.ErrorAs(t, err, &e)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalSettings))
	f.Add([]byte("[box]\nid = b\n[box]\nid = c\n"))
	f.Add([]byte("a = 1\n[limits]\nbody = 99999999999999999999\n[log]\noutput=,,,"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := Parse(data)
		if err == nil {
			return
		}
		var problems *inifile.Error
		var syntax *inifile.SyntaxError
		require.True(t, errors.As(err, &problems) || errors.As(err, &syntax), "%T", err)
	})
}
