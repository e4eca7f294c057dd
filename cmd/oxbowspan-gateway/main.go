// Command oxbowspan-gateway is the data plane's program: one search gateway.
package main

import (
	"os"

	"oxbowspan/internal/controlcli"
)

func main() { os.Exit(controlcli.RunGateway(os.Args[1:], os.Stdout, os.Stderr)) }
