// Command oxbowspan-control runs a controller, one node of the control plane, and its operators' commands.
package main

import (
	"os"

	"oxbowspan/internal/controlcli"
)

func main() { os.Exit(controlcli.RunController(os.Args[1:], os.Stdout, os.Stderr)) }
