// Command oxbowspan runs a gatherer and the tools for its operators.
package main

import (
	"os"

	"oxbowspan/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
