// Package overload limits the load that callers bring to a box with too little processor time, such as when most
// new connections go to one box. New connections beyond the limit are to be closed unread, so that their callers
// try another box at once instead of waiting for this one. Kept connections are to be closed after a response, so
// that their callers open others.
//
// The load is the number of goroutines that could run and wait for a processor. How many are too many depends on
// the speed of the machine; it is learned from how long they wait.
package overload
