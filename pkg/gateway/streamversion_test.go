package gateway

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/routing"
)

// Guards against streams whose callers don't name their first call and that share a record.
func TestFirstCallOfAStream(t *testing.T) {
	for name, c := range map[string]struct {
		call Call
		want string
	}{
		"new":                         {Call{ID: "a"}, "a"},
		"new, names a call":           {Call{ID: "a", Resumes: "b"}, "a"},
		"taken up":                    {Call{ID: "a", Resumes: "b", LastEventID: "3"}, "b"},
		"taken up, names no call":     {Call{ID: "a", LastEventID: "3"}, "a"},
		"taken up, neither has an ID": {Call{LastEventID: "3"}, ""},
	} {
		x := &exchange{call: c.call}
		assert.Equal(t, c.want, x.firstCall(), name)
	}
}

func TestOnlyServersOfTheBoundVersionAreCandidates(t *testing.T) {
	servers := []routing.Server{{ID: "a", Version: "v1"}, {ID: "b", Version: "v2"}, {ID: "c", Version: "v1"}}
	x := &exchange{}
	assert.Len(t, x.ofBoundVersion(servers), 3, "not bound")
	b := &boundStream{}
	b.origin.Version = "v1"
	x.bound.Store(b)
	assert.Equal(t, []routing.Server{servers[0], servers[2]}, x.ofBoundVersion(servers))
	assert.Equal(t, "b", servers[1].ID, "the list is shared and must not change")
	b.origin.Ambiguous = true
	assert.Empty(t, x.ofBoundVersion(servers))
}
