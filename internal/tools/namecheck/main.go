// Command namecheck fails if the name of a package, a Go file or an exported identifier contains a withdrawn word. String literals,
// struct tags, comments, unexported identifiers, directories called testdata and the identifiers in generated files are not checked.
//
// Usage: namecheck WORDS [ROOT]
package main

import (
	"bufio"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"unicode"

	"oxbowspan/internal/tools/checker"
)

func main() { checker.Main("namecheck", run) }

// run checks all Go files below root against the withdrawn words in a file.
func run(wordsFile, root string) ([]string, error) {
	file, err := os.Open(wordsFile)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	words, err := readWords(file)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", wordsFile, err)
	}
	c := &nameChecker{words: words, files: token.NewFileSet(), directories: map[string]bool{}}
	err = filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && path != root && skipsDirectory(entry.Name()):
			return filepath.SkipDir
		case entry.IsDir() || !strings.HasSuffix(path, ".go"):
			return nil
		}
		return c.checkFile(root, path)
	})
	return c.findings, err
}

// skipsDirectory reports whether directories with a name are not checked.
func skipsDirectory(name string) bool {
	return strings.HasPrefix(name, ".") || name == "testdata" || name == "vendor"
}

// readWords reads lines that each consist of a withdrawn word and its replacement. Empty lines and lines that begin with # are
// ignored.
func readWords(r io.Reader) (map[string]string, error) {
	words := map[string]string{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		word, replacement, _ := strings.Cut(line, " ")
		words[strings.ToLower(word)] = strings.TrimSpace(replacement)
	}
	return words, lines.Err()
}

// nameChecker collects findings over the files of one module.
type nameChecker struct {
	words       map[string]string // replacements by withdrawn word in lower case
	files       *token.FileSet
	directories map[string]bool // whose paths are checked already
	findings    []string
}

// checkFile checks the path, the package and the declarations of one file.
func (c *nameChecker) checkFile(root, path string) error {
	parsed, err := parser.ParseFile(c.files, path, nil, parser.ParseComments|parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	relative, err := filepath.Rel(root, path)
	if err != nil {
		return err
	}
	if directory := filepath.Dir(relative); !c.directories[directory] {
		c.directories[directory] = true
		c.checkName(directory, "package path", directory)
	}
	c.checkName(relative, "file", filepath.Base(relative))
	c.checkName(relative, "package", parsed.Name.Name)
	if ast.IsGenerated(parsed) {
		return nil
	}
	c.checkDeclarations(parsed)
	return nil
}

// checkDeclarations checks the exported names of package-level declarations and methods, and of all struct fields and interface
// methods, also in unexported types.
func (c *nameChecker) checkDeclarations(file *ast.File) {
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			c.checkIdentifier("func", d.Name)
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				c.checkSpec(spec)
			}
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		var fields *ast.FieldList
		switch t := n.(type) {
		case *ast.StructType:
			fields = t.Fields
		case *ast.InterfaceType:
			fields = t.Methods
		default:
			return true
		}
		for _, f := range fields.List {
			for _, name := range f.Names {
				c.checkIdentifier("field or method", name)
			}
		}
		return true
	})
}

func (c *nameChecker) checkSpec(spec ast.Spec) {
	switch s := spec.(type) {
	case *ast.TypeSpec:
		c.checkIdentifier("type", s.Name)
	case *ast.ValueSpec:
		for _, name := range s.Names {
			c.checkIdentifier("value", name)
		}
	}
}

func (c *nameChecker) checkIdentifier(kind string, name *ast.Ident) {
	if name.IsExported() {
		c.checkName(c.files.Position(name.Pos()).String(), kind, name.Name)
	}
}

// checkName adds a finding for each withdrawn word in a name. The place and the kind of name are for the finding's text.
func (c *nameChecker) checkName(place, kind, name string) {
	for _, word := range split(name) {
		if withdrawn, replacement, found := c.lookup(word); found {
			c.findings = append(c.findings, fmt.Sprintf("%s: %s %s contains the withdrawn word %q; use: %s", place, kind, name, withdrawn, replacement))
		}
	}
}

// lookup looks up a word, and the word without a final s, among the withdrawn words.
func (c *nameChecker) lookup(word string) (withdrawn, replacement string, found bool) {
	for _, form := range []string{word, strings.TrimSuffix(word, "s")} {
		if replacement, found = c.words[form]; found {
			return form, replacement, true
		}
	}
	return "", "", false
}

// split splits a name into its words, in lower case: at each character that is neither a letter nor a digit, where an upper-case letter
// follows a lower-case letter or a digit, and before the last upper-case letter of several that a lower-case letter follows
// ("HTTPServer" is "http", "server").
func split(name string) (words []string) {
	runes := []rune(name)
	start := 0
	cut := func(end int) {
		if end > start {
			words = append(words, strings.ToLower(string(runes[start:end])))
		}
		start = end
	}
	for i, r := range runes {
		switch {
		case !unicode.IsLetter(r) && !unicode.IsDigit(r):
			cut(i)
			start = i + 1
		case i > start && unicode.IsUpper(r) && (!unicode.IsUpper(runes[i-1]) || i+1 < len(runes) && unicode.IsLower(runes[i+1])):
			cut(i)
		}
	}
	cut(len(runes))
	return words
}
