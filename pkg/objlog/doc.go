// Package objlog implements an ordered, append-only log on the platform's object API.
//
// The open segment is stored in one object, the head; appending is a conditional
// update of it. The append that fills the segment seals it in the same write. Before
// the next append starts a new segment in the head, the sealed segment is copied to
// an archive object. Conflicting appends are resolved only by the conditional write
// to the head, so a writer that was suspended or that read stale data fails its
// write. If the response to an append is lost, the same conditional write is retried
// until the platform returns a definite result; the log is then searched for the
// record's ID.
//
// Archived segments can be compacted into a snapshot and deleted.
package objlog
