// Command layercheck fails if a package of the module imports another that does not precede it in a given order. A file lists each
// package once, the lowest layer first. Imports of tests are not checked: a test may import any package.
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
	errUnlisted   = errors.New("is not listed in the order of packages")
	errImportsUp  = errors.New("does not precede it in the order of packages")
	errNotFound   = errors.New("is listed in the order but is not a package of the module")
	errDuplicated = errors.New("is listed in the order more than once")
)

func main() { checker.Main("layercheck", run) }

// run checks the module at root against the order in a file.
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

// readOrder reads package paths relative to the module, one per line. Empty lines and lines that begin with # are ignored.
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

// modulePackage holds the fields of a package that are read from the output of go list.
type modulePackage struct {
	ImportPath string
	Imports    []string
	Module     struct{ Path string }
}

// path returns the package's path relative to the module.
func (p modulePackage) path() string { return strings.TrimPrefix(p.ImportPath, p.Module.Path+"/") }

// listPackages lists the packages of the module at root.
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

// check returns a finding for each import of a package that does not precede the importing one, and for each difference between the
// order and the packages of the module.
func check(order []string, packages []modulePackage) (findings []error) {
	position := map[string]int{}
	for i, path := range order {
		if _, duplicated := position[path]; duplicated {
			findings = append(findings, fmt.Errorf("%s %w", path, errDuplicated))
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
			importedPath, inModule := strings.CutPrefix(imported, p.Module.Path+"/")
			if importedAt, listed := position[importedPath]; inModule && listed && importedAt >= at {
				findings = append(findings, fmt.Errorf("%s imports %s, which %w", p.path(), importedPath, errImportsUp))
			}
		}
	}
	for _, path := range order {
		if !found[path] {
			findings = append(findings, fmt.Errorf("%s %w", path, errNotFound))
		}
	}
	return findings
}
