package directory

import (
	"time"

	"headhill.example/headhill/pkg/incarnation"
	"headhill.example/headhill/pkg/routing"
)

// ServerEntry implements incarnation.List.
func (d *Directory) ServerEntry(id string) (incarnation.Entry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.servers[id]
	if !ok || !s.RemovedAt.IsZero() {
		return incarnation.Entry{}, false
	}
	return incarnation.Entry{Incarnation: s.Incarnation(), Version: s.Version, ListedAt: s.ListedAt, RestartedAt: s.RestartedAt}, true
}

// ServersConfirmed implements incarnation.List.
func (d *Directory) ServersConfirmed() (confirmed, recovered time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.Load().ServersConfirmedAt, d.recoveredAt
}

// OnRestoredEntry sets a function that is called for each server whose entry describes another incarnation since the
// source was restored: it is probably an earlier one, and the server will write its own again. It must be set before
// Follow, and must not block.
func (d *Directory) OnRestoredEntry(f func(id string, at time.Time)) { d.onRestoredEntry = f }

// isEarlierIncarnation reports whether a server that is listed has another incarnation or version in an entry. The
// caller holds mu.
func (d *Directory) isEarlierIncarnation(s routing.Server) bool {
	known, ok := d.servers[s.ID]
	return ok && known.RemovedAt.IsZero() && (known.Incarnation() != s.Incarnation() || known.Version != s.Version)
}

// reportRestoredEntries calls onRestoredEntry. The caller holds applyMu.
func (d *Directory) reportRestoredEntries(at time.Time) {
	d.mu.Lock()
	restored := d.restoredEntries
	d.restoredEntries = nil
	for _, id := range restored {
		s := d.servers[id]
		s.ListedAt = time.Time{}
		d.servers[id] = s
	}
	d.mu.Unlock()
	for _, id := range restored {
		d.onRestoredEntry(id, at)
	}
}
