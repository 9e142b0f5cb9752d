// Package version names the version of the programs.
package version

import "runtime/debug"

// Number is the version that is being worked on.
const Number = "0.1.0"

// String returns the version and, where the build knows it, the commit.
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
