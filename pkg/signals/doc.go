// Package signals keeps what backend servers say of themselves in the heads of their answers: how many
// requests a second they take from all boxes together.
//
// A signal holds for one life of a server, from the first answer that names it to the first answer to a
// later request that does not. Answers may overtake each other, so that one to an earlier request proves
// nothing against a signal that is known already.
package signals
