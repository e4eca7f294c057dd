// Package checker is the command line that the project's own checks of its sources share.
package checker

import (
	"fmt"
	"os"
)

// Exit codes of a check.
const (
	exitFindings = 1
	exitError    = 2
)

// Check checks the module below a root against the rules in a file, and returns a line for each finding.
type Check func(rulesFile, root string) (findings []string, err error)

// Main runs a check with the arguments of the command line, a file of rules and optionally the module's root, prints what it finds
// and ends the process: with 0 where nothing is found, 1 where something is, and 2 where the check could not run.
func Main(name string, check Check) {
	if len(os.Args) < 2 || len(os.Args) > 3 {
		fmt.Fprintf(os.Stderr, "usage: %s RULES [ROOT]\n", name)
		os.Exit(exitError)
	}
	root := "."
	if len(os.Args) == 3 {
		root = os.Args[2]
	}
	findings, err := check(os.Args[1], root)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		os.Exit(exitError)
	}
	for _, finding := range findings {
		fmt.Println(finding)
	}
	if len(findings) > 0 {
		os.Exit(exitFindings)
	}
}
