// Command oxbowwatch is the screen of 'oxbowspan watch'.
package main

import (
	"os"

	"oxbowspan/internal/watch"
)

func main() { os.Exit(watch.Main(os.Args[1:], os.Stdout, os.Stderr)) }
