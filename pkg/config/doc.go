// Package config holds the operators' accepted configuration: its items, the
// generations they go through, and how every box follows them.
//
// Generation N is the state after record N of the configuration log (package
// objlog). Appending the record is the acceptance. A box never goes back to a
// lower generation than it has seen.
package config
