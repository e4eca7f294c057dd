// Command forager is the data plane's program: one gatherer of the system.
package main

import (
	"os"

	"oxbowspan/internal/controlcli"
)

func main() { os.Exit(controlcli.RunGateway(os.Args[1:], os.Stdout, os.Stderr)) }
