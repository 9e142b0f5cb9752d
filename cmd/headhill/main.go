// Command headhill runs the daemon of an entry box or a routing box.
package main

import (
	"os"

	"headhill.example/headhill/cmd/headhill/cmds"
)

func main() { os.Exit(cmds.Main(os.Args)) }
