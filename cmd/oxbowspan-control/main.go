// Command oxbowspan-control is a controller: one machine of the control plane.
package main

import (
	"os"

	"oxbowspan/internal/controlcli"
)

func main() { os.Exit(controlcli.RunController(os.Args[1:], os.Stdout, os.Stderr)) }
