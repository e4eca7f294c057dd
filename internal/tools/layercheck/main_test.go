package main

import (
	"errors"
	"strings"
	"testing"
)

func TestCheck(t *testing.T) {
	packageAt := func(path string, imports ...string) modulePackage {
		p := modulePackage{ImportPath: "m/" + path, Imports: imports}
		p.Module.Path = "m"
		return p
	}
	for _, test := range []struct {
		name     string
		order    []string
		packages []modulePackage
		want     []error
	}{
		{"an import of a lower package", []string{"a", "b"}, []modulePackage{packageAt("a"), packageAt("b", "m/a", "fmt")}, nil},
		{"an import of a higher package", []string{"a", "b"}, []modulePackage{packageAt("a", "m/b"), packageAt("b")}, []error{errImportsUp}},
		{"a package that is not listed", []string{"a"}, []modulePackage{packageAt("a"), packageAt("b", "m/a")}, []error{errUnlisted}},
		{"a listed package that does not exist", []string{"a", "b"}, []modulePackage{packageAt("a")}, []error{errNotFound}},
		{"a package listed twice", []string{"a", "a"}, []modulePackage{packageAt("a")}, []error{errDuplicated}},
		{"two findings", []string{"a", "b", "c"}, []modulePackage{packageAt("a", "m/b", "m/c"), packageAt("b"), packageAt("c")}, []error{errImportsUp, errImportsUp}},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := check(test.order, test.packages)
			if len(got) != len(test.want) {
				t.Fatalf("got %v, want %v", got, test.want)
			}
			for i := range got {
				if !errors.Is(got[i], test.want[i]) {
					t.Errorf("got %v, want %v", got[i], test.want[i])
				}
			}
		})
	}
}

func TestReadOrder(t *testing.T) {
	order, err := readOrder(strings.NewReader("# the lowest first\na\n\n  internal/b\n"))
	if err != nil || strings.Join(order, " ") != "a internal/b" {
		t.Errorf("got %v, %v", order, err)
	}
}

// TestModuleFollowsOrder checks this module against the order in .ci/layers.
func TestModuleFollowsOrder(t *testing.T) {
	findings, err := run("../../../.ci/layers", "../../..")
	if err != nil {
		t.Fatal(err)
	}
	for _, finding := range findings {
		t.Error(finding)
	}
}
