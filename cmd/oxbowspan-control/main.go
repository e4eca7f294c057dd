// Command hive is the control plane's program: one core machine of the system.
package main

import (
	"os"

	"oxbowspan/internal/entrance"
)

func main() { os.Exit(entrance.Hive(os.Args[1:], os.Stdout, os.Stderr)) }
