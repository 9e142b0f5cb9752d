// Headhillctl is the operators' tool.
package main

import (
	"os"

	"headhill.example/headhill/cmd/headhillctl/cmds"
)

func main() { os.Exit(cmds.Main(os.Args)) }
