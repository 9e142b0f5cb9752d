package metering

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Window is the number of a time window, counted from the Unix epoch.
type Window int64

// WindowAt returns the window that contains t.
func WindowAt(t time.Time, length time.Duration) Window {
	return Window(t.UnixNano() / int64(length))
}

// End returns the end of the window.
func (w Window) End(length time.Duration) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(length)).UTC()
}

// OrganisationHash identifies an organisation in messages between boxes.
type OrganisationHash uint64

// HashOrganisation returns the hash of an organisation's name.
func HashOrganisation(organisation string) OrganisationHash {
	return OrganisationHash(xxhash.Sum64String(organisation))
}

// retainedWindows is the number of windows whose counts are retained, so that windows can still be
// closed after a store outage.
const retainedWindows = 36
