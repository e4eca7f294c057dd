// Command oxbowwatch is the dashboard that 'oxbowspan watch' starts.
package main

import (
	"os"

	"oxbowspan/internal/dashboard"
)

func main() { os.Exit(dashboard.Main(os.Args[1:], os.Stdout, os.Stderr)) }
