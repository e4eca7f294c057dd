// Command benchlink runs the decision module on the simulator's wire, on standard input and output.
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
