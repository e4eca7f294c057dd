// Command oxbowspan-gateway runs a search gateway, one node of the data plane.
package main

import (
	"os"

	"oxbowspan/internal/controlcli"
)

func main() { os.Exit(controlcli.RunGateway(os.Args[1:], os.Stdout, os.Stderr)) }
