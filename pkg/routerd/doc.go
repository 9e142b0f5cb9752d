// Package routerd implements the daemon of `headhill route`, which wires up the components of a
// routing box.
package routerd
