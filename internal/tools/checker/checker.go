// Package checker implements the command line that the project's checks of its own sources share.
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

// Main runs a check with the arguments of the command line, which are a file of rules and optionally the module's root, and prints
// the findings. If there are findings, it exits with status 1. If the arguments are wrong or the check fails, it exits with 2.
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
