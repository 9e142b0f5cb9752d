// Package resumption keeps at which software version of a service each stream began. What two versions
// write doesn't fit together, so a stream that its caller takes up, at any box, must go on at the same
// version.
//
// The box that forwards the first event of a stream records the version at a few boxes that the key of the
// stream selects, in a small fleet at all. The box at which the caller takes the stream up asks them. Nothing is sent while a service
// has one version: a stream without a record then began at that one. Where several versions are known and
// nobody has a record, the stream is refused and not guessed.
package resumption
