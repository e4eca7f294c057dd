// Command forager is the data plane's program: one gatherer of the system.
package main

import (
	"os"

	"oxbowspan/internal/entrance"
)

func main() { os.Exit(entrance.Forager(os.Args[1:], os.Stdout, os.Stderr)) }
