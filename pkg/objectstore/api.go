package objectstore

import "context"

// MaxValueBytes is the largest value the platform holds, in bytes.
const MaxValueBytes = 1 << 20

// Version is an object's version: it grows with each change.
type Version uint64

// Object is a stored value.
type Object struct {
	Key     string
	Value   []byte
	Version Version
}

// ObjectInfo is an object's place in a listing.
type ObjectInfo struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
}

// Box states in the platform's box list.
const (
	BoxLive    = "live"
	BoxLeaving = "leaving"
)

// Box is an entry of the platform's box list.
type Box struct {
	ID     string `json:"id"`
	Hall   string `json:"hall"`
	Region string `json:"region"`
	// Peer is the address, IP:port, that other boxes reach it at.
	Peer  string `json:"peer"`
	State string `json:"state"`
}

// Objects is the object API as the rest of headhill uses it.
type Objects interface {
	// Get reads an object: NotFoundError, UnavailableError.
	Get(ctx context.Context, key string) (Object, error)
	// List lists the objects under a prefix, by key.
	List(ctx context.Context, prefix string) ([]ObjectInfo, error)
	// Create stores a value under a key that must not exist: ConflictError,
	// UnavailableError, UnknownOutcomeError.
	Create(ctx context.Context, key string, value []byte) (Version, error)
	// Update replaces the value that has this version; errors as Create.
	Update(ctx context.Context, key string, value []byte, version Version) (Version, error)
	// Delete removes the value that has this version; errors as Create.
	Delete(ctx context.Context, key string, version Version) error
	// Watch waits until the object's version is above after and returns it. It
	// returns UnavailableError when the wait ended without a change.
	Watch(ctx context.Context, key string, after Version) (Object, error)
}

// Boxes lists the boxes. The answer lags.
type Boxes interface {
	Boxes(ctx context.Context) ([]Box, error)
}
