// Command namecheck fails when a package, a Go file or an exported identifier bears a withdrawn word. It reads names only: string
// literals, struct tags, comments and unexported identifiers are passed over, as are folders called testdata and generated files.
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

// run checks all Go files below root against the words in a file.
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
	c := &scan{words: words, files: token.NewFileSet(), folders: map[string]bool{}}
	err = filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && path != root && skipsFolder(entry.Name()):
			return filepath.SkipDir
		case entry.IsDir() || !strings.HasSuffix(path, ".go"):
			return nil
		}
		return c.checkFile(root, path)
	})
	return c.findings, err
}

func skipsFolder(name string) bool {
	return strings.HasPrefix(name, ".") || name == "testdata" || name == "vendor"
}

// readWords reads lines of a withdrawn word and what is said instead. A line that begins with # is a comment.
func readWords(r io.Reader) (map[string]string, error) {
	words := map[string]string{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		word, instead, _ := strings.Cut(line, " ")
		words[strings.ToLower(word)] = strings.TrimSpace(instead)
	}
	return words, lines.Err()
}

// scan collects findings over the files of one module.
type scan struct {
	words    map[string]string // withdrawn word, in lower case, to its replacement
	files    *token.FileSet
	folders  map[string]bool // checked already
	findings []string
}

func (c *scan) checkFile(root, path string) error {
	parsed, err := parser.ParseFile(c.files, path, nil, parser.ParseComments|parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	relative, err := filepath.Rel(root, path)
	if err != nil {
		return err
	}
	if folder := filepath.Dir(relative); !c.folders[folder] {
		c.folders[folder] = true
		c.checkName(folder, "package path", folder)
	}
	c.checkName(relative, "file", filepath.Base(relative))
	c.checkName(relative, "package", parsed.Name.Name)
	if ast.IsGenerated(parsed) {
		return nil
	}
	c.checkDeclarations(parsed)
	return nil
}

// checkDeclarations checks the exported names of package-level declarations and methods, and of all struct fields and interface methods.
func (c *scan) checkDeclarations(file *ast.File) {
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

func (c *scan) checkSpec(spec ast.Spec) {
	switch s := spec.(type) {
	case *ast.TypeSpec:
		c.checkIdentifier("type", s.Name)
	case *ast.ValueSpec:
		for _, name := range s.Names {
			c.checkIdentifier("value", name)
		}
	}
}

func (c *scan) checkIdentifier(kind string, name *ast.Ident) {
	if name.IsExported() {
		c.checkName(c.files.Position(name.Pos()).String(), kind, name.Name)
	}
}

func (c *scan) checkName(place, kind, name string) {
	for _, word := range split(name) {
		if withdrawn, instead, found := c.lookup(word); found {
			c.findings = append(c.findings, fmt.Sprintf("%s: %s %s bears the withdrawn word %q; say: %s", place, kind, name, withdrawn, instead))
		}
	}
}

// lookup finds a word or its singular among the withdrawn ones.
func (c *scan) lookup(word string) (withdrawn, instead string, found bool) {
	for _, form := range []string{word, strings.TrimSuffix(word, "s")} {
		if instead, found = c.words[form]; found {
			return form, instead, true
		}
	}
	return "", "", false
}

// split cuts a name into its words in lower case: at each character that is neither letter nor digit, where a capital follows a small
// letter or a digit, and before the last capital of a run that a small letter follows ("HTTPServer" is "http", "server").
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
