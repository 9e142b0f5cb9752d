// Headhillctl is the command-line tool for operators.
package main

import (
	"os"

	"headhill.example/headhill/cmd/headhillctl/cmds"
)

func main() { os.Exit(cmds.Main(os.Args)) }
