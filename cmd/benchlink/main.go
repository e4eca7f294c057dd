// Command benchlink runs balancers for the simulator. It reads batches of events from standard input and writes a reply to each to
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
