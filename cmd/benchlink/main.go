// Command benchlink runs balancers for the simulator: it reads batches of events from standard input and writes replies to
// standard output.
package main

import (
	"fmt"
	"os"

	"oxbowspan/internal/simbridge"
)

func main() {
	if err := simbridge.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
