// Package forms numbers the levels of the wire formats in which boxes exchange what they read from
// the store, so that boxes of different builds can run side by side.
//
// A build ignores unknown fields and forwards the rest, so data relayed by an older build may
// silently lack fields that a newer one acts on. Each message that carries such data therefore
// carries the level of its sender. If that is lower than the receiver's, the message only signals
// that something has changed, and the content is fetched from a box of the receiver's level or from
// the store. Messages of a higher level are decoded as far as they are known: fields are only added
// and never change their meaning.
package forms

// Levels of the wire formats, with what each adds.
const (
	// LevelFirst is the level of builds that send no level.
	LevelFirst = 1
	// LevelEvacuations adds evacuated halls, the warm-up of services and servers, and the regions
	// of routes and organisations.
	LevelEvacuations = 2
	// LevelEras adds the era of the store to its revisions.
	LevelEras = 3
	// LevelStatisticsTree adds the tree along which the statistics of a large hall pass. Boxes of a
	// lower level exchange theirs with the relay of their hall.
	LevelStatisticsTree = 4
	// LevelBrittle adds to the signals of servers whether they are brittle and when they last rejected a
	// request.
	LevelBrittle = 5
	// LevelSoftwareVersions adds the version of the software to servers.
	LevelSoftwareVersions = 6
	// LevelKeysRequired adds to the configuration whether callers need a key although none is in force, and lists of
	// allowed regions that hold none.
	LevelKeysRequired = 7
)

// Level is the level of this build. It is raised with each field that boxes act on and forward.
const Level = LevelKeysRequired

// EffectiveLevel returns the level of a message's sender. Zero means that the message carries none.
func EffectiveLevel(level int) int { return max(LevelFirst, level) }

// Complete reports whether data relayed by a sender of a level holds all that this build acts on.
func Complete(level int) bool { return EffectiveLevel(level) >= Level }
