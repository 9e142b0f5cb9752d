package objectstore

import "context"

// MaxValueBytes is the maximum size of a value on the platform.
const MaxValueBytes = 1 << 20

// Version is the version of an object. It increases with each change.
type Version uint64

// Object is a stored value.
type Object struct {
	Key     string
	Value   []byte
	Version Version
}

// ObjectInfo is an object's entry in a listing.
type ObjectInfo struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
}

// Box states in the platform's box list.
const (
	BoxLive    = "live"
	BoxLeaving = "leaving"
)

// Box is an entry in the platform's box list.
type Box struct {
	ID     string `json:"id"`
	Hall   string `json:"hall"`
	Region string `json:"region"`
	// Peer is the address (IP:port) of the box's peer port.
	Peer  string `json:"peer"`
	State string `json:"state"`
}

// Objects is the platform's object API.
type Objects interface {
	// Get reads an object. It returns NotFoundError or UnavailableError.
	Get(ctx context.Context, key string) (Object, error)
	// List lists the objects whose keys begin with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]ObjectInfo, error)
	// Create stores a value under a key that must not exist. It returns ConflictError,
	// UnavailableError or UnknownOutcomeError.
	Create(ctx context.Context, key string, value []byte) (Version, error)
	// Update replaces the value with the given version. It returns the same errors as Create.
	Update(ctx context.Context, key string, value []byte, version Version) (Version, error)
	// Delete removes the value with the given version. It returns the same errors as Create.
	Delete(ctx context.Context, key string, version Version) error
	// Watch waits until the object's version is above after and returns the object. It
	// returns UnavailableError if the wait ended without a change.
	Watch(ctx context.Context, key string, after Version) (Object, error)
}

// Boxes lists the boxes of the fleet. The list is eventually consistent.
type Boxes interface {
	Boxes(ctx context.Context) ([]Box, error)
}
