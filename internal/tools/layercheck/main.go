// Command layercheck fails when a package of the module imports one that does not lie lower. The order stands in a file that
// names each package once, the lowest first. Imports of tests are not checked: a test may use any package.
//
// Usage: layercheck ORDER [ROOT]
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"

	"oxbowspan/internal/tools/checker"
)

// Findings of a check.
var (
	errUnlisted  = errors.New("is not in the order of packages")
	errImportsUp = errors.New("does not lie lower")
	errGone      = errors.New("is in the order and is no package of the module")
	errTwice     = errors.New("is in the order twice")
)

func main() { checker.Main("layercheck", run) }

// run checks the module below root against the order in a file.
func run(orderFile, root string) (findings []string, err error) {
	file, err := os.Open(orderFile)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	order, err := readOrder(file)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", orderFile, err)
	}
	packages, err := listPackages(root)
	if err != nil {
		return nil, err
	}
	for _, finding := range check(order, packages) {
		findings = append(findings, finding.Error())
	}
	return findings, nil
}

// readOrder reads the paths of packages below the module, one a line. A line that begins with # is a comment.
func readOrder(r io.Reader) ([]string, error) {
	var order []string
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line != "" && !strings.HasPrefix(line, "#") {
			order = append(order, line)
		}
	}
	return order, lines.Err()
}

// modulePackage is what the go command says of a package.
type modulePackage struct {
	ImportPath string
	Imports    []string
	Module     struct{ Path string }
}

// path is the package's path below the module.
func (p modulePackage) path() string { return strings.TrimPrefix(p.ImportPath, p.Module.Path+"/") }

// listPackages lists the packages of the module below root.
func listPackages(root string) ([]modulePackage, error) {
	list := exec.Command("go", "list", "-json=ImportPath,Imports,Module", "./...")
	list.Dir = root
	list.Stderr = os.Stderr
	output, err := list.Output()
	if err != nil {
		return nil, fmt.Errorf("go list: %w", err)
	}
	var packages []modulePackage
	decoder := json.NewDecoder(strings.NewReader(string(output)))
	for {
		var p modulePackage
		switch err := decoder.Decode(&p); {
		case errors.Is(err, io.EOF):
			return packages, nil
		case err != nil:
			return nil, fmt.Errorf("read the output of go list: %w", err)
		}
		packages = append(packages, p)
	}
}

// check returns a finding for each import that does not lie lower, and for each difference between the order and the module.
func check(order []string, packages []modulePackage) (findings []error) {
	position := map[string]int{}
	for i, path := range order {
		if _, twice := position[path]; twice {
			findings = append(findings, fmt.Errorf("%s %w", path, errTwice))
		}
		position[path] = i
	}
	found := map[string]bool{}
	for _, p := range packages {
		found[p.path()] = true
		at, listed := position[p.path()]
		if !listed {
			findings = append(findings, fmt.Errorf("%s %w", p.path(), errUnlisted))
			continue
		}
		for _, imported := range p.Imports {
			lower, own := strings.CutPrefix(imported, p.Module.Path+"/")
			if importedAt, listed := position[lower]; own && listed && importedAt >= at {
				findings = append(findings, fmt.Errorf("%s imports %s, which %w", p.path(), lower, errImportsUp))
			}
		}
	}
	for _, path := range order {
		if !found[path] {
			findings = append(findings, fmt.Errorf("%s %w", path, errGone))
		}
	}
	return findings
}
