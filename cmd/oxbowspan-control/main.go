// Command hive is the control plane's program: one core machine of the system.
package main

import (
	"os"

	"oxbowspan/internal/controlcli"
)

func main() { os.Exit(controlcli.RunController(os.Args[1:], os.Stdout, os.Stderr)) }
