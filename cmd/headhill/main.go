// Headhill is the daemon of an entry box.
package main

import (
	"os"

	"headhill.example/headhill/cmd/headhill/cmds"
)

func main() { os.Exit(cmds.Main(os.Args)) }
