package metering

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Window is the number of a window: window k begins k lengths after the beginning of 1970.
type Window int64

// WindowAt is the window of a moment of true time.
func WindowAt(t time.Time, length time.Duration) Window {
	return Window(t.UnixNano() / int64(length))
}

// End is when the window ends.
func (w Window) End(length time.Duration) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(length)).UTC()
}

// OrganisationHash is an organisation's name as boxes name it to each other, in short.
type OrganisationHash uint64

// HashOrganisation is the key of an organisation.
func HashOrganisation(organisation string) OrganisationHash {
	return OrganisationHash(xxhash.Sum64String(organisation))
}

// windowsKept is how many windows a box remembers what was counted: those that may still
// be closed after the store was away for some minutes, three of them with windows of five seconds.
const windowsKept = 36
