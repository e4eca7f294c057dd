// Command oxbowlab runs experiments on the built programs and stores their results.
package main

import (
	"os"

	"oxbowspan/internal/testing/experiment"
)

func main() { os.Exit(experiment.Main(os.Args[1:], os.Stdout, os.Stderr)) }
