// Package config holds the accepted configuration: its items, its generations and
// the store through which a box follows them.
//
// Generation N is the state after record N of the configuration log (package
// objlog). A change is accepted when its record is appended to the log. A box
// never returns to a lower generation than it has seen.
package config
