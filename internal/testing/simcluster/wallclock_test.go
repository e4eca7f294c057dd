package simcluster

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"path/filepath"
	"strings"
	"testing"
)

// moduleRoot is the path of the module's root relative to this package.
const moduleRoot = "../../.."

// wallClockMethods are the methods of time.Time whose result depends on the wall clock.
var wallClockMethods = map[string]bool{
	"Unix": true, "UnixMilli": true, "UnixMicro": true, "UnixNano": true, "UTC": true, "Local": true, "Round": true,
	"Truncate": true, "Date": true, "Hour": true, "Minute": true, "Second": true, "Format": true, "In": true,
}

// wallClockAllowed lists the allowed uses, as "file:method": the name of a data file that is set aside contains the time.
var wallClockAllowed = map[string]bool{
	"internal/acceptorstore/store.go:UTC":    true,
	"internal/acceptorstore/store.go:Format": true,
}

// monotonicPackages lists the packages whose decisions must not depend on the wall clock.
var monotonicPackages = []string{
	"balancer", "config", "consensus", "controlapi", "controlplane", "dataplane", "lease", "quorum", "registry", "rendezvous", "rpc", "topk",
	"internal/acceptorstore", "internal/network", "internal/settings",
}

// TestNoWallClockReads checks that no decision depends on the wall clock, which can jump: the packages of the system may only use
// the difference of two clock readings, which is monotonic.
func TestNoWallClockReads(t *testing.T) {
	files := 0
	for _, dir := range monotonicPackages {
		for _, name := range sourceFiles(t, dir) {
			checkNoWallClock(t, name)
			files++
		}
	}
	if files < 30 {
		t.Fatalf("only %d files were checked", files)
	}
}

// sourceFiles returns the names of the non-generated, non-test Go files in a directory of the module and below it.
func sourceFiles(t *testing.T, dir string) (names []string) {
	t.Helper()
	visit := func(name string, _ fs.DirEntry, err error) error {
		if err == nil && isHandwrittenSource(name) {
			names = append(names, name)
		}
		return err
	}
	requireNoError(t, filepath.WalkDir(filepath.Join(moduleRoot, dir), visit))
	if len(names) == 0 {
		t.Fatalf("%s has no Go files", dir)
	}
	return names
}

// isHandwrittenSource reports whether a name is that of a Go file that is neither generated nor a test.
func isHandwrittenSource(name string) bool {
	if !strings.HasSuffix(name, ".go") {
		return false
	}
	for _, suffix := range []string{"_test.go", ".pb.go", "_easyjson.go"} {
		if strings.HasSuffix(name, suffix) {
			return false
		}
	}
	return true
}

// checkNoWallClock fails the test for each call in a file that depends on the wall clock.
func checkNoWallClock(t *testing.T, name string) {
	t.Helper()
	positions := token.NewFileSet()
	file, err := parser.ParseFile(positions, name, nil, 0)
	requireNoError(t, err)
	if !importsTime(file) {
		return
	}
	relative := strings.TrimPrefix(filepath.ToSlash(path.Clean(name)), moduleRoot+"/")
	ast.Inspect(file, func(node ast.Node) bool {
		call, ok := node.(*ast.CallExpr)
		if !ok {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || !wallClockMethods[method.Sel.Name] || wallClockAllowed[relative+":"+method.Sel.Name] {
			return true
		}
		if receiver, ok := method.X.(*ast.Ident); !ok || receiver.Name != "time" {
			t.Errorf("%s: %s depends on the wall clock", positions.Position(call.Pos()), method.Sel.Name)
		}
		return true
	})
}

func importsTime(file *ast.File) bool {
	for _, imported := range file.Imports {
		if imported.Path.Value == `"time"` {
			return true
		}
	}
	return false
}
