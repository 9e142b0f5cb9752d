package resumption

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/pause"
	"headhill.example/headhill/pkg/storerev"
)

// VersionRecord is the persistent record of the software versions that the servers of each service have, or had
// less than Retention ago. It outlives a restart of all boxes. A version that is no longer listed stays in it until
// a box has not seen it for Retention, so that no times are compared between boxes.
type VersionRecord struct {
	Services map[string][]string `json:"services"`
	// Additions has a random number for each version, which identifies when it was added. A version that left the record and came
	// back has another one, so that a box which has counted it as gone does not remove it. Versions that a build added
	// which gives no numbers have none.
	Additions map[string]map[string]uint32 `json:"additions,omitempty"`
	// DoubtfulStreams is set once a box has saved doubtful streams of a service with one version, of which boxes that start must know. It
	// stays set, as a box cannot tell whether another one has saved some since.
	DoubtfulStreams bool `json:"doubtful_streams,omitempty"`
	// Era is the era of the store in which a box that knew the recent versions last wrote the record.
	Era uint64 `json:"era,omitempty"`
	// Incomplete is set if only boxes have written it that did not know the recent versions.
	Incomplete bool `json:"incomplete,omitempty"`
	// Unconfirmed is set if boxes ran before that kept no record, and none has written it since that knew the recent versions.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
	// Unreadable is set if the stored record could not be decoded.
	Unreadable bool `json:"-"`
}

// StoredVersions is the record with its revision in the store, which is the start of an era if there is no record.
type StoredVersions struct {
	Record   VersionRecord
	Revision storerev.Revision
}

// absent reports whether there is no record.
func (s StoredVersions) absent() bool { return s.Revision == storerev.StartOf(s.Revision.Era()) }

// unconfirmed reports whether any version of late may be missing in the record, as boxes of a build that keeps none ran
// before it was written.
func (s StoredVersions) unconfirmed(earlierBuild bool) bool {
	return s.Record.Unconfirmed || s.absent() && earlierBuild
}

// wait returns for how long a box that starts must not rely on the record.
func (s StoredVersions) wait(earlierBuild bool) time.Duration {
	switch {
	case s.unconfirmed(earlierBuild):
		return unconfirmedRecordWait
	case s.Record.Era != s.Revision.Era():
		return restoredRecordWait
	}
	return 0
}

// mayHaveDoubtfulStreams reports whether boxes may have saved doubtful streams of a service with one version. A record that was not
// written since a restore, or replaces one that could not be read, may lack that.
func (s StoredVersions) mayHaveDoubtfulStreams() bool {
	return s.Record.DoubtfulStreams || s.Record.Unreadable || s.Record.Incomplete || s.Record.Era != s.Revision.Era()
}

// VersionStore reads and writes the record.
type VersionStore interface {
	Read(ctx context.Context) (StoredVersions, error)
	// Write replaces the record at the given revision; the start of an era creates it. The error is a
	// *VersionConflictError if the store has another revision.
	Write(ctx context.Context, r VersionRecord, revision storerev.Revision) error
}

// VersionConflictError reports that the record of versions changed since it was read.
type VersionConflictError struct{ Revision storerev.Revision }

func (e *VersionConflictError) Error() string {
	return fmt.Sprintf("record of software versions changed since revision %s: read it again", e.Revision)
}

const (
	// maxVersionWriters is the number of boxes, the first ones by rank, that write the record at once. A box waits
	// versionWriteStagger for each box before it, and does not write what another has written. Where a service has several
	// versions, the others write it after lateVersionWrite and a random part of the spread of reads: the first ones may be down.
	maxVersionWriters   = smallFleet
	versionWriteStagger = 50 * time.Millisecond
	lateVersionWrite    = time.Second
	// listPollInterval is how often a box that starts looks for the first list of servers.
	listPollInterval = 50 * time.Millisecond
	// versionCheckInterval is how often the record is compared without a change of the list. The rank of a box
	// changes as others leave, and versions leave the record with time.
	versionCheckInterval = 5 * time.Second
	// restoredRecordWait is how long a box that starts confirms no version if the store was restored since the record was
	// written. A version that appeared in the lost seconds, and was gone before any box started again, is in neither, and
	// callers take up interrupted streams within a few seconds. Longer would refuse streams of all services for it.
	restoredRecordWait = 3 * time.Second
	// unconfirmedRecordWait is the same if boxes of a build that keeps no record ran before. Any version may be missing, so
	// it is longer: callers notice the end of a stream after two seconds of silence, and may try twice.
	unconfirmedRecordWait = 6 * time.Second
	// versionRetryDelay is the delay before the next attempt to reach the store, to which jitter is added.
	versionRetryDelay = 300 * time.Millisecond
	// A box that starts reads the record after a random part of versionReadSpread for each box of the fleet, up to
	// maxVersionReadSpread, so that the store is not asked by all at once.
	versionReadSpread    = 2 * time.Millisecond
	maxVersionReadSpread = 2 * time.Second
	// maxRecordWait limits how long new streams avoid a version that is not in the record. The store may be away for longer.
	maxRecordWait = 2 * time.Second
)

// VersionHistoryDeps are the dependencies of a VersionHistory.
type VersionHistoryDeps struct {
	Store VersionStore
	// Listed returns the versions of each service that the list of servers has, those removed less than Retention
	// ago included; ok is unset until a list was read.
	Listed func() (versions map[string][]string, ok bool)
	// Rank returns the rank of this box in the fleet, Boxes the number of boxes.
	Rank  func() int
	Boxes func() int
	// OnLoaded is called once the record was read and held versions that the list does not have.
	OnLoaded func()
	// EarlierBuild reports whether the roster has boxes of a build that keeps no record.
	EarlierBuild func() bool
	// Timeout limits each call to the store.
	Timeout time.Duration
	Logger  log.Logger
}

// VersionHistory knows which software versions a service had before this box began to watch its servers, and saves
// the current ones for the boxes that start after it.
type VersionHistory struct {
	VersionHistoryDeps
	changed chan struct{}
	// urgent receives a value when a stream has begun at a version that is not in the record.
	urgent chan struct{}

	mu sync.Mutex
	// watchedSince is when this box had read a list of servers; zero before.
	watchedSince time.Time
	// knownSince is when this box knew the recent versions from the record; zero if it did not read it.
	knownSince time.Time
	// former holds the versions of the record; lastUntil is the latest time until which one of them counts as present.
	former    map[serviceVersion]formerVersion
	lastUntil time.Time
	// stored are the versions of the record as this box last saw it, nil if that is unknown. confirmed is set if a box that
	// knew the recent versions wrote it in the present era of the store.
	stored    map[string][]string
	confirmed bool
	// doubtful is set once this box has saved doubtful streams of a service with one version, doubtfulStored if the record has that.
	doubtful, doubtfulStored bool
	// loaded is set once the record was read, mayHaveDoubtful if boxes may have saved doubtful streams before.
	loaded, mayHaveDoubtful bool
	// unrecorded are the versions that new streams avoid, with the time until which they do.
	unrecorded map[serviceVersion]time.Time
}

type serviceVersion struct{ service, version string }

// formerVersion is a version that the record held.
type formerVersion struct {
	// until is the time until which it counts as present.
	until    time.Time
	addition uint32
}

// addition returns the number of a version, zero if it has none.
func (r *VersionRecord) addition(v serviceVersion) uint32 { return r.Additions[v.service][v.version] }

// setAddition sets the number of a version unless it is zero.
func (r *VersionRecord) setAddition(v serviceVersion, addition uint32) {
	if addition == 0 {
		return
	}
	if r.Additions == nil {
		r.Additions = make(map[string]map[string]uint32)
	}
	if r.Additions[v.service] == nil {
		r.Additions[v.service] = make(map[string]uint32)
	}
	r.Additions[v.service][v.version] = addition
}

// NewVersionHistory returns a VersionHistory that knows nothing.
func NewVersionHistory(d VersionHistoryDeps) *VersionHistory {
	return &VersionHistory{VersionHistoryDeps: d, changed: make(chan struct{}, 1), urgent: make(chan struct{}, 1), former: make(map[serviceVersion]formerVersion), unrecorded: make(map[serviceVersion]time.Time)}
}

// Unrecorded returns those of the listed versions of a service that new streams should avoid while others serve: the record
// does not hold them, so that nobody would know of them if all boxes ended now. None is returned for longer than maxRecordWait.
func (h *VersionHistory) Unrecorded(service string, listed []string, now time.Time) []string {
	if len(listed) < 2 {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stored == nil {
		return nil
	}
	var avoid []string
	for _, version := range listed {
		if slices.Contains(h.stored[service], version) {
			continue
		}
		v := serviceVersion{service, version}
		if _, known := h.unrecorded[v]; !known {
			h.unrecorded[v] = now.Add(maxRecordWait)
		}
		if now.Before(h.unrecorded[v]) {
			avoid = append(avoid, version)
		}
	}
	return avoid
}

// setStored records what the store holds. A version that has gone without being recorded is avoided anew if it comes back.
func (h *VersionHistory) setStored(services map[string][]string, confirmed bool) {
	h.stored, h.confirmed = services, confirmed
	listed, _ := h.Listed()
	maps.DeleteFunc(h.unrecorded, func(v serviceVersion, _ time.Time) bool {
		return slices.Contains(services[v.service], v.version) || !slices.Contains(listed[v.service], v.version)
	})
}

// Known reports whether this box knows all versions that a service had during the last Retention: it has watched the
// servers for so long, or it has read the record.
func (h *VersionHistory) Known(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	loaded := !h.knownSince.IsZero() && !now.Before(h.knownSince)
	return !h.watchedSince.IsZero() && (loaded || now.Sub(h.watchedSince) >= Retention)
}

// With returns versions of a service together with those that the record held.
func (h *VersionHistory) With(service string, versions []string, now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !now.Before(h.lastUntil) {
		return versions
	}
	for v, f := range h.former {
		if v.service == service && now.Before(f.until) && !slices.Contains(versions, v.version) {
			versions = append(slices.Clip(versions), v.version)
		}
	}
	return versions
}

// ServersChanged is called when the list of servers has changed. It does not block.
func (h *VersionHistory) ServersChanged() {
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

// RecordNow is called when a stream begins at a version that is not in the record, as no other server can take it: this box writes the
// record before its turn. It does not block.
func (h *VersionHistory) RecordNow() { notify(h.urgent) }

// DoubtfulStreams implements DoubtRecord.
func (h *VersionHistory) DoubtfulStreams() (may, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.mayHaveDoubtful || !h.loaded, h.loaded
}

// RecordDoubtfulStreams implements DoubtRecord.
func (h *VersionHistory) RecordDoubtfulStreams() {
	h.mu.Lock()
	h.doubtful = true
	stored := h.doubtfulStored
	h.mu.Unlock()
	if !stored {
		h.RecordNow()
		h.ServersChanged()
	}
}

// hasDoubtful reports whether this box has saved doubtful streams of a service with one version.
func (h *VersionHistory) hasDoubtful() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.doubtful
}

// ObserveEra is called when the store was restored from an older copy, which may have lost the record. It does not
// block.
func (h *VersionHistory) ObserveEra() {
	h.mu.Lock()
	h.stored, h.doubtfulStored = nil, false
	h.mu.Unlock()
	h.ServersChanged()
}

// Run loads the record and keeps it up to date until ctx is done.
func (h *VersionHistory) Run(ctx context.Context) {
	h.load(ctx)
	ticker := time.NewTicker(versionCheckInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		h.saveIfChanged(ctx)
		select {
		case <-ctx.Done():
		case <-h.changed:
		case <-ticker.C:
		}
	}
}

// load waits for the list of servers and reads the record.
func (h *VersionHistory) load(ctx context.Context) {
	for ctx.Err() == nil {
		if _, ok := h.Listed(); ok {
			break
		}
		pause.For(ctx, listPollInterval)
	}
	h.mu.Lock()
	h.watchedSince = clock.Now()
	h.mu.Unlock()
	pause.For(ctx, rand.N(h.readSpread()+1))
	for ctx.Err() == nil {
		s, err := h.read(ctx)
		if err == nil {
			_ = level.Info(h.Logger).Log("msg", "loaded software versions", "services", len(s.Record.Services), "revision", s.Revision, "readable", !s.Record.Unreadable, "incomplete", s.Record.Incomplete, "unconfirmed", s.Record.Unconfirmed, "era", s.Record.Era)
			if wait := s.wait(h.EarlierBuild()); wait > 0 {
				// The record is confirmed as soon as this box can do that.
				time.AfterFunc(wait, h.ServersChanged)
			}
			if h.hasFormer() {
				h.OnLoaded()
			}
			return
		}
		_ = level.Info(h.Logger).Log("msg", "reading software versions failed", "err", err, "outcome", "retrying; streams whose version is not recorded are refused")
		pause.For(ctx, versionRetryDelay+rand.N(versionRetryDelay))
	}
}

// hasFormer reports whether the record held versions that the list does not have.
func (h *VersionHistory) hasFormer() bool {
	listed, _ := h.Listed()
	h.mu.Lock()
	defer h.mu.Unlock()
	for v := range h.former {
		if !slices.Contains(listed[v.service], v.version) {
			return true
		}
	}
	return false
}

// read reads the record. Versions that were added to it count as present for Retention from now on, since the record does
// not tell when they were removed.
func (h *VersionHistory) read(ctx context.Context) (StoredVersions, error) {
	ctx, cancel := context.WithTimeout(ctx, h.Timeout)
	defer cancel()
	s, err := h.Store.Read(ctx)
	if err != nil {
		return s, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Now()
	for service, versions := range s.Record.Services {
		for _, version := range versions {
			v := serviceVersion{service, version}
			addition := s.Record.addition(v)
			if f, known := h.former[v]; !known || f.addition != addition {
				h.lastUntil = now.Add(Retention)
				h.former[v] = formerVersion{h.lastUntil, addition}
			}
		}
	}
	// A version that has left the record may come back to it. One that counts as present is kept: an older copy of the
	// record does not have it.
	maps.DeleteFunc(h.former, func(v serviceVersion, f formerVersion) bool {
		return !now.Before(f.until) && !slices.Contains(s.Record.Services[v.service], v.version)
	})
	wait := s.wait(h.EarlierBuild())
	known := now.Add(wait)
	incomplete := s.Record.Unreadable || s.Record.Incomplete
	if !incomplete && (h.knownSince.IsZero() || known.Before(h.knownSince)) {
		h.knownSince = known
	}
	h.setStored(s.Record.Services, wait == 0 && !incomplete)
	h.doubtfulStored = s.Record.DoubtfulStreams
	h.loaded, h.mayHaveDoubtful = true, h.mayHaveDoubtful || s.mayHaveDoubtfulStreams()
	return s, nil
}

// current returns the versions that the record should hold.
func (h *VersionHistory) current(now time.Time) map[string][]string {
	listed, _ := h.Listed()
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make(map[string][]string, len(listed))
	for service, versions := range listed {
		if len(versions) > 0 {
			all[service] = slices.Clone(versions)
		}
	}
	for v, f := range h.former {
		if now.Before(f.until) && !slices.Contains(all[v.service], v.version) {
			all[v.service] = append(all[v.service], v.version)
		}
	}
	for _, versions := range all {
		slices.Sort(versions)
	}
	return all
}

// AnySeveral reports whether a service has several versions.
func (h *VersionHistory) AnySeveral(now time.Time) bool {
	for _, versions := range h.current(now) {
		if len(versions) > 1 {
			return true
		}
	}
	return false
}

// upToDate reports whether the record holds the current versions, and is confirmed if this box can do that, as far as it
// knows.
func (h *VersionHistory) upToDate(now time.Time) bool {
	versions, known := h.current(now), h.Known(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stored != nil && (h.confirmed || !known) && (h.doubtfulStored || !h.doubtful) && maps.EqualFunc(h.stored, versions, slices.Equal)
}

// saveIfChanged writes the record if it differs from the current versions and no other box writes it before.
func (h *VersionHistory) saveIfChanged(ctx context.Context) {
	now := clock.Now()
	if h.upToDate(now) || h.Rank() >= maxVersionWriters && !h.AnySeveral(now) && !h.hasDoubtful() {
		return
	}
	h.awaitTurn(ctx)
	for ctx.Err() == nil {
		err := h.save(ctx)
		if err == nil {
			return
		}
		_ = level.Info(h.Logger).Log("msg", "saving software versions failed", "err", err, "outcome", "retrying")
		pause.For(ctx, versionRetryDelay+rand.N(versionRetryDelay))
	}
}

// awaitTurn waits until it is this box's turn to write the record, or a stream has begun at a version that is not in it. In a large fleet,
// that may happen at all boxes at one moment, so that each waits for a random time then, but not beyond its turn.
func (h *VersionHistory) awaitTurn(ctx context.Context) {
	timer := time.NewTimer(h.writeDelay())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-h.urgent:
		if h.Boxes() <= smallFleet {
			return
		}
		early := time.NewTimer(rand.N(h.readSpread()))
		defer early.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-early.C:
		}
	}
}

// writeDelay returns for how long this box leaves the record to those before it.
func (h *VersionHistory) writeDelay() time.Duration {
	if rank := h.Rank(); rank < maxVersionWriters {
		return time.Duration(rank) * versionWriteStagger
	}
	return lateVersionWrite + rand.N(h.readSpread()+1)
}

// readSpread returns the time over which the boxes of the fleet read the record.
func (h *VersionHistory) readSpread() time.Duration {
	return min(maxVersionReadSpread, time.Duration(h.Boxes())*versionReadSpread)
}

// numberAdditions copies the numbers of the versions that a record replaces, and gives new ones to those that this box adds as it lists
// them. One that only counts as present yet keeps its number: with a new one, boxes that started at different times would
// keep it for good.
func (h *VersionHistory) numberAdditions(next, replaced *VersionRecord) {
	listed, _ := h.Listed()
	h.mu.Lock()
	defer h.mu.Unlock()
	for service, versions := range next.Services {
		for _, version := range versions {
			v := serviceVersion{service, version}
			switch {
			case slices.Contains(replaced.Services[service], version):
				next.setAddition(v, replaced.addition(v))
			case slices.Contains(listed[service], version):
				next.setAddition(v, 1+rand.Uint32N(math.MaxUint32))
			default:
				next.setAddition(v, h.former[v].addition)
			}
		}
	}
}

// save reads the record and replaces it if it is out of date. A box that does not know the recent versions itself adds
// those that it knows, and does not confirm the record, as boxes that start later would rely on that.
func (h *VersionHistory) save(ctx context.Context) error {
	s, err := h.read(ctx)
	if err != nil {
		return err
	}
	now := clock.Now()
	if h.upToDate(now) {
		return nil
	}
	next := VersionRecord{Services: h.current(now), Era: s.Revision.Era()}
	h.numberAdditions(&next, &s.Record)
	next.DoubtfulStreams = s.Record.DoubtfulStreams || h.hasDoubtful()
	known := h.Known(now)
	if !known {
		next.Era, next.Incomplete = s.Record.Era, s.Record.Incomplete || s.Record.Unreadable
		next.Unconfirmed = s.unconfirmed(h.EarlierBuild())
	}
	ctx, cancel := context.WithTimeout(ctx, h.Timeout)
	defer cancel()
	if err := h.Store.Write(ctx, next, s.Revision); err != nil {
		var conflict *VersionConflictError
		if errors.As(err, &conflict) {
			pause.For(ctx, rand.N(versionRetryDelay))
		}
		return err
	}
	h.mu.Lock()
	h.setStored(next.Services, known)
	h.doubtfulStored = next.DoubtfulStreams
	h.mu.Unlock()
	_ = level.Info(h.Logger).Log("msg", "saved software versions", "services", len(next.Services), "before_revision", s.Revision, "confirmed", known)
	return nil
}
