// Package intent turns what operators state into a plan of what will change.
//
// An intent is an INI text. Each section sets one item whole; items it does not
// name stay as they are; "remove = yes" removes one. A plan names the generation
// it was made on, so that it is accepted only if nothing else was accepted since.
package intent
