// Package forms numbers the forms in which boxes tell each other what they have read of the store, so
// that boxes of different builds can run side by side.
//
// A box of an earlier build passes over what it does not know, and tells the rest on. What it has read
// so lacks something that a later build acts on, and nothing in it shows that. Each message that holds
// what was read therefore names the level of its sender: what is of a lower level than the reader's own
// is taken for the news that something has changed, and the content is had from a box of the reader's
// level or from the store. Forms of a higher level are read as far as they are known, as fields are only
// added and never change their meaning.
package forms

// Levels, each with what its builds read and those before do not.
const (
	// LevelFirst is that of builds that name none.
	LevelFirst = 1
	// LevelEvacuations reads evacuated halls, warm-up of services and servers, and regions of routes and
	// organisations.
	LevelEvacuations = 2
)

// Level is that of this build. It is raised with each field that a box acts on and that boxes hand on
// to each other.
const Level = LevelEvacuations

// EffectiveLevel is the level that a message names, where zero stands for none.
func EffectiveLevel(named int) int { return max(LevelFirst, named) }

// Complete tells whether what a sender of a level has read holds all that this build acts on.
func Complete(named int) bool { return EffectiveLevel(named) >= Level }
