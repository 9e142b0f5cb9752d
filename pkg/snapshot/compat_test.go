package snapshot

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"path"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"headhill.example/headhill/pkg/directory"
	"headhill.example/headhill/pkg/forms"
	"headhill.example/headhill/pkg/forms/formstest"
	"headhill.example/headhill/pkg/roster"
	"headhill.example/headhill/pkg/routing"
)

// incompatibleDigests lists builds whose table digest covers fewer fields. Their tables are rejected.
var incompatibleDigests = []string{"48cfb53"}

// Tables and server lists recorded from earlier builds are decoded. Tables with an incompatible
// digest are rejected.
func TestRecordedSnapshotsAreDecoded(t *testing.T) {
	for name, body := range formstest.Recorded(t, "table.gz") {
		var d routing.Delta
		require.NoError(t, decode(bytes.NewReader(body), &d), name)
		table, err := applyDelta(emptyTable, d, name)
		if slices.Contains(incompatibleDigests, path.Dir(name)) {
			var damaged *DamagedError
			assert.ErrorAs(t, err, &damaged, name)
			continue
		}
		require.NoError(t, err, name)
		assert.NotZero(t, table.Version, name)
	}
	for name, body := range formstest.Recorded(t, "servers.gz") {
		var list []routing.Server
		require.NoError(t, decode(bytes.NewReader(body), &list), name)
		require.NotEmpty(t, list, name)
		for _, s := range list {
			assert.NotEmpty(t, s.ID, name)
			assert.NotEmpty(t, s.Address, name)
			assert.NotEmpty(t, s.Service, name)
		}
	}
}

// Tables and server lists from a box with a lower forms level are rejected.
func TestSnapshotsOfEarlierBuildsAreRejected(t *testing.T) {
	d := loaded(t, &source{table: tableOf(7, 3), servers: listOf(4), revision: 9})
	s := NewServer(ServerDeps{
		Directory: d, Logger: log.NewNopLogger(), IsPeerHost: func(netip.Addr) bool { return true },
		Boxes: func() (roster.Snapshot, bool) { return roster.Snapshot{Entries: []roster.Entry{{Box: "box-1"}}}, true },
	})
	for level, accepted := range map[string]bool{"": false, strconv.Itoa(forms.Level - 1): false, strconv.Itoa(forms.Level): true, strconv.Itoa(forms.Level + 1): true} {
		earlier := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.Handler().ServeHTTP(&levelWriter{ResponseWriter: w, level: level}, r)
		}))
		c := client(time.Second, strings.TrimPrefix(earlier.URL, "http://"))
		_, err := c.Table(t.Context(), nil, 9)
		_, err2 := c.Servers(t.Context(), 0, 9)
		_, err3 := c.Boxes(t.Context(), false)
		var older *OlderBuildError
		assert.Equal(t, !accepted, errors.As(err, &older), "table, level %q: %v", level, err)
		assert.Equal(t, !accepted, errors.As(err2, &older), "list, level %q: %v", level, err2)
		assert.NoError(t, err3, "the roster is accepted at any level, level %q", level)
		earlier.Close()
	}
}

// levelWriter replaces the level header of a response, or removes it.
type levelWriter struct {
	http.ResponseWriter
	level string
}

func (w *levelWriter) WriteHeader(status int) {
	w.Header().Del(headerLevel)
	if w.level != "" {
		w.Header().Set(headerLevel, w.level)
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *levelWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.ResponseWriter.Write(p)
}

func TestFormOfParts(t *testing.T) {
	formstest.CheckShape(t, "snapshot", routing.Delta{}, directory.ServerEvent{}, directory.Evacuations{}, roster.Entry{})
}
