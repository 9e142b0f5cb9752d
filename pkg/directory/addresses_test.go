package directory

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/routing"
)

// Boxes open tunnels to listed servers only, also to those that are leaving.
func TestServerAt(t *testing.T) {
	d := New(log.NewNopLogger())
	ready, leaving := serverIn("east", 0), serverIn("west", 1)
	ready.Address, leaving.Address, leaving.Leaving = "192.0.2.1:80", "192.0.2.2:80", true
	d.applyList([]routing.Server{ready, leaving}, 1, time.Now())
	for address, hall := range map[string]string{ready.Address: "east", leaving.Address: "west", "192.0.2.3:80": ""} {
		s, ok := d.View().ServerAt(address)
		assert.Equal(t, hall != "", ok, address)
		assert.Equal(t, hall, s.Hall, address)
	}
	other, ok := d.View().AnyOther(leaving.Address)
	assert.True(t, ok)
	assert.Equal(t, ready.Address, other.Address)
	_, ok = d.View().AnyOther(ready.Address)
	assert.False(t, ok, "a leaving server gets no further connections")
}
