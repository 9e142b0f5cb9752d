// Package objlog keeps an ordered log on the platform's object API.
//
// The open segment is one object, the head, and appending is a conditional update
// of it. The append that fills the segment seals it in the same write; before the
// next append starts a new segment in the head, the sealed one is stored as an
// archive object of its own. The platform's conditional write to the head is the
// only arbiter: a writer that was paused, or that read something stale, fails its
// write, whatever it believes. An append whose answer was lost is settled by
// repeating the same conditional write until the platform gives a definite
// answer, and then by looking for the record's own ID.
//
// Archived segments can be folded into a snapshot and deleted.
package objlog
