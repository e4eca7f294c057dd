// Command oxbowlab plays experiments on the built gatherer and keeps their results.
package main

import (
	"os"

	"oxbowspan/internal/testing/experiment"
)

func main() { os.Exit(experiment.Main(os.Args[1:], os.Stdout, os.Stderr)) }
