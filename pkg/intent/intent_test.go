package intent

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/inifile"
)

func parseExample(t *testing.T) config.Change {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "docs", "examples", "intent.ini"))
	require.NoError(t, err)
	c, err := Parse(text)
	require.NoError(t, err)
	return c
}

func TestReapplyingAnIntentChangesNothing(t *testing.T) {
	c := parseExample(t)
	p, err := NewPlan(config.NewState(), c)
	require.NoError(t, err)
	require.NoError(t, p.Verify())
	require.Len(t, p.Diffs, 8)
	require.NotEmpty(t, p.Warnings)
	st := config.NewState().Apply(p.Change)
	_, err = NewPlan(st, c)
	var noChange *NoChangeError
	require.ErrorAs(t, err, &noChange)
}

func TestPlanListsDifferences(t *testing.T) {
	st := config.NewState().Apply(parseExample(t))
	c, err := Parse([]byte("[class counter]\ntier = 1\nfirst-token = 2s\nbetween-tokens = 37ms\ndeadline = 20s\nfloor = 5%\nplaces = 100\n[server mohinh-1]\nremove = yes\n"))
	require.NoError(t, err)
	p, err := NewPlan(st, c)
	require.NoError(t, err)
	require.Equal(t, []ItemDiff{
		{Verb: VerbRemove, Kind: config.KindServer, Name: "mohinh-1"},
		{Verb: VerbChange, Kind: config.KindClass, Name: "counter", Fields: []FieldDiff{{Name: "FirstToken", Old: "1.3s", New: "2s"}}},
	}, p.Diffs)
	require.Contains(t, p.Warnings, "service mohinh has no active server: its calls will be refused")
	require.Contains(t, p.Warnings, "server mohinh-1 is removed while active: set state = leaving first, so that what runs there is counted to its end")
}

func TestVerifyRejectsModifiedPlan(t *testing.T) {
	p, err := NewPlan(config.NewState(), parseExample(t))
	require.NoError(t, err)
	p.Change.Classes[0].Tier = 9
	var tampered *TamperedError
	require.ErrorAs(t, p.Verify(), &tampered)
}

func TestValidationErrorListsEveryViolation(t *testing.T) {
	c, err := Parse([]byte(`
[class a]
tier = 1
floor = 15%
[class b]
tier = 1
floor = 15%
[class c]
tier = 2
floor = 1%
servers = ghost
[service s]
models = m
class = nobody
[service t]
models = m
[server v]
service = none
hall = h
address = 127.0.0.1:1
[server w]
service = s
hall = h
address = 127.0.0.1:1
[organisation o]
class = a
classes = b
`))
	require.NoError(t, err)
	_, err = NewPlan(config.NewState(), c)
	var invalid *config.ValidationError
	require.ErrorAs(t, err, &invalid)
	var names []string
	for _, f := range invalid.Violations {
		names = append(names, f.Name)
	}
	require.ElementsMatch(t, []string{"*", "c", "s", "t", "v", "w", "o"}, names)
}

func TestParseReportsEveryProblem(t *testing.T) {
	_, err := Parse([]byte("[class X]\ntier = 0\nfloor = 5\ndeadline = soon\nflor = 1\n[organisation o]\nkey-sha256 = secret\n[queue q]\n"))
	var problems *inifile.Error
	require.ErrorAs(t, err, &problems)
	require.Len(t, problems.Problems, 8, "%v", problems)
}

func TestParseDurationUnits(t *testing.T) {
	c := parseExample(t)
	require.Equal(t, 37*time.Millisecond, c.Classes[0].Between)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[class a]\ntier = 1\n[server s]\nservice = x\nhall = h\naddress = 127.0.0.1:1\n"))
	f.Add([]byte("[organisation o]\nclass = a\nremove = yes\n[class  ]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Parse(data)
		if err != nil {
			var problems *inifile.Error
			var syntax *inifile.SyntaxError
			require.True(t, errors.As(err, &problems) || errors.As(err, &syntax), "%T", err)
			return
		}
		p, err := NewPlan(config.NewState(), c)
		if err == nil {
			require.NoError(t, p.Verify())
		}
	})
}
