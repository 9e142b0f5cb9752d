// Package incarnation tells which servers may have restarted under their IDs although their entries don't
// say so yet, and which version of their software a connection to them led to.
//
// A server that restarts keeps its address and may keep its ID, so that nothing in an exchange with it tells the two
// incarnations apart. Its entry is replaced later, in an outage of the store much later. A restart does break all
// connections of the old process, though, so a box that loses them, and the boxes that it informs, treat the entry as
// outdated until the store has confirmed it since.
package incarnation
