// Package storerev orders the revisions of a store that may be restored from an older copy.
//
// A restore sets the revision counter back, and its numbers are given out again. Each restore starts
// a new era, so a number identifies a state of the store only together with its era.
package storerev

import (
	"fmt"
	"strconv"
)

// Revision is an era of the store and a revision number in it. Revisions are ordered by era first,
// so that they can be compared with the operators of Go. Zero stands for no revision.
type Revision uint64

const (
	// numberBits is the length of the number. A revision of any of the first 8192 eras can be
	// represented exactly by a float64, for receivers that decode numbers to one.
	numberBits = 40
	// maxNumber and maxEra are the largest values that a Revision can hold.
	maxNumber = 1<<numberBits - 1
	maxEra    = 1<<(64-numberBits) - 1
)

// RangeError is returned for an era or a number that a Revision cannot hold.
type RangeError struct{ Era, Number uint64 }

func (e *RangeError) Error() string {
	return fmt.Sprintf("revision %d of era %d is out of range (at most %d and %d): check the address of the store", e.Number, e.Era, uint64(maxNumber), uint64(maxEra))
}

// New returns the revision with a number in an era.
func New(era, number uint64) (Revision, error) {
	if era > maxEra || number > maxNumber {
		return 0, &RangeError{Era: era, Number: number}
	}
	return Revision(era<<numberBits | number), nil
}

// StartOf returns the lower bound of all revisions of an era.
func StartOf(era uint64) Revision { return Revision(min(era, maxEra) << numberBits) }

// Era returns the era, zero for stores that never were restored.
func (r Revision) Era() uint64 { return uint64(r) >> numberBits }

// Number returns the number that the store gave to the revision.
func (r Revision) Number() uint64 { return uint64(r) & maxNumber }

// SameEra reports whether two revisions are of one era, so that the changes between them are defined.
func (r Revision) SameEra(other Revision) bool { return r.Era() == other.Era() }

// String returns the number, after the era unless that is zero.
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number(), 10)
	if r.Era() == 0 {
		return number
	}
	return strconv.FormatUint(r.Era(), 10) + "/" + number
}
