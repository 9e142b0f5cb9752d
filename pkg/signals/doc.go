// Package signals keeps what backend servers say of themselves in the heads of their answers: how many
// requests a second they take from all boxes together, that they leave, and for how long they want nothing
// from this box.
//
// A signal holds for one life of a server. Answers may overtake each other, so that one to an earlier
// request proves nothing against a signal that is known already. That a server leaves, and that it wants
// to rest, no answer takes back.
package signals
