// Package version reports the version of the programs.
package version

import "runtime/debug"

// Number is the version under development.
const Number = "0.1.0"

// String returns the version, followed by the VCS revision if the build recorded one.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Number
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return Number + " " + s.Value
		}
	}
	return Number
}
