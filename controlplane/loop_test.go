package controlplane

import (
	"context"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"oxbowspan/internal/settings"
	"oxbowspan/internal/testing/simnet"
)

// startControllers runs controllers on a simulated network. It returns a function for each controller that stops it.
func startControllers(t *testing.T, count int) (controllers []*Controller, stops []func()) {
	t.Helper()
	network := simnet.New(func(string, string) time.Duration { return 50 * time.Microsecond })
	var seeds []string
	for i := range count {
		seeds = append(seeds, fmt.Sprintf("10.0.1.%d:8700", i+1))
	}
	for i := range count {
		ip := fmt.Sprintf("10.0.1.%d", i+1)
		dir, err := os.MkdirTemp("/dev/shm", "controller") // in memory, without delays of a disk
		if err != nil {
			dir = t.TempDir()
		}
		t.Cleanup(func() { os.RemoveAll(dir) })
		s := &settings.Settings{IPAddress: ip, InternalPorts: []int{7100, 7109}, SeedAddresses: seeds, FirstStart: true, DataDirectory: dir, HeartbeatIntervalMS: 1000}
		s.Listen.Control = seeds[i]
		s.ToleratedLosses.Machines = (count - 1) / 2
		c, err := New(t.Context(), s, network.Host(ip), zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() { ended <- c.Run(context.Background()) }()
		controllers, stops = append(controllers, c), append(stops, func() { c.Kill(); <-ended })
	}
	return controllers, stops
}

// repeatRequest sends a request repeatedly until the controller stops. It signals each response on responded.
func repeatRequest(t *testing.T, c *Controller, handler http.Handler, request string, responded chan<- struct{}) {
	method, rest, _ := strings.Cut(request, " ")
	path, body, _ := strings.Cut(rest, " ")
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
		r.Header.Set(basedOnHeader, "0")
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		cancel()
		select {
		case responded <- struct{}{}:
		default:
		}
		select {
		case <-c.loop.stopped:
			return
		default:
		}
		if w.Code == http.StatusNotFound && !strings.Contains(path, "read") {
			t.Errorf("%s is answered with status %d", path, w.Code)
			return
		}
	}
}

// A controller is stopped while requests of every kind are in flight. Its event loop may still run a function after the stop has
// unblocked the caller that queued it. The race detector fails the test if the two share a variable.
func TestStopDoesNotRaceWithCallers(t *testing.T) {
	requests := []string{"GET /-/configuration/read", "GET /-/tenants/read", "GET /-/configuration/history", "GET /-/members/read",
		"GET /-/nodes/read", "GET /-/servers/read", "GET /-/events/read", "GET /-/tenants/explain", "GET /-/judgement/explain",
		`POST /-/instances/i-1/heartbeat {"service":"s","address":"10.0.3.1:80","call_sequence":1}`, "POST /-/instances/i-2/sign-off",
		`POST /-/tenants/replace {"tenants":[]}`, `POST /-/configuration/replace {"version":1}`}
	for range 10 {
		controllers, stops := startControllers(t, 3)
		c := controllers[0]
		handler := c.handler()
		var callers sync.WaitGroup
		responded := make(chan struct{}, 1)
		for _, request := range requests {
			callers.Go(func() { repeatRequest(t, c, handler, request, responded) })
		}
		callers.Go(func() {
			for {
				c.Committed()
				select {
				case <-c.loop.stopped:
					return
				default:
				}
			}
		})
		<-responded
		for _, stop := range stops {
			stop()
		}
		callers.Wait()
	}
}

// loopFunctions are the functions and methods, the latter with a leading dot, that pass a closure to the event loop. The value is true
// if the caller waits until the closure has run.
var loopFunctions = map[string]bool{".execute": true, "query": true, "serveLocal": true, "serveVerified": true, ".post": false}

// forwardsClosure reports whether a function passes a closure of its own caller to the event loop.
func forwardsClosure(name string) bool {
	return loopFunctions[name] || loopFunctions["."+name]
}

// A closure that is passed to the event loop must not write a variable of its caller: when the loop is stopped, the caller may read
// the variable while the loop writes it. Results must be returned through query.
func TestLoopClosuresDoNotWriteCapturedVariables(t *testing.T) {
	closures := 0
	for _, pattern := range []string{"*.go", "../dataplane/*.go"} {
		names, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range names {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			set := token.NewFileSet()
			file, err := parser.ParseFile(set, name, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			n, positions := capturedWrites(set, file)
			closures += n
			for _, at := range positions {
				t.Errorf("%s: a closure of the event loop writes a variable of its caller", set.Position(at))
			}
		}
	}
	if closures < 30 {
		t.Errorf("only %d closures were checked", closures)
	}
}

func TestCapturedWriteDetection(t *testing.T) {
	for body, want := range map[string]int{
		"var a int; h.execute(func() { a = 1 })":                                   1,
		"var a int; h.post(func() { a++ })":                                        1,
		"var a []int; h.execute(func() { for i := range 3 { a = append(a, i) } })": 1,
		"var a struct{ b int }; h.execute(func() { a.b = 1 })":                     1,
		"a, b := 1, 2; query(h, func() int { b, c := a, 1; a = b; return c })":     1,
		"var a int; h.execute(func() { read(&a) })":                                1,
		"var a int; for range 1 { h.execute(func() { for a = range 3 {} }) }":      1,
		"f := func() {}; h.execute(f)":                                             1,
		"h.execute(func() { h.a = 1; b := 2; b++ })":                               0,
		"a := query(h, func() int { var a int; a = 2; return a }); _ = a":          0,
		"query(h, h.next)": 0,
	} {
		t.Run(body, func(t *testing.T) {
			set := token.NewFileSet()
			file, err := parser.ParseFile(set, "", "package p\nfunc (h *H) f() { "+body+" }", 0)
			if err != nil {
				t.Fatal(err)
			}
			if _, positions := capturedWrites(set, file); len(positions) != want {
				t.Errorf("%d writes are found, want %d", len(positions), want)
			}
		})
	}
}

// capturedWrites returns the number of closures that a file passes to an event loop, and the positions at which they write captured
// variables. State that is reached through the receiver is owned by the loop and may be written.
func capturedWrites(set *token.FileSet, file *ast.File) (closures int, positions []token.Pos) {
	objects := resolve(set, file)
	for _, d := range file.Decls {
		f, ok := d.(*ast.FuncDecl)
		if !ok {
			continue
		}
		var receiver types.Object
		if f.Recv != nil && len(f.Recv.List[0].Names) > 0 {
			receiver = objects.ObjectOf(f.Recv.List[0].Names[0])
		}
		ast.Inspect(f, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok || len(call.Args) == 0 {
				return true
			}
			callerWaits, isLoopFunction := loopFunctions[calledName(call)]
			last := call.Args[len(call.Args)-1]
			if _, isMethod := last.(*ast.SelectorExpr); !isLoopFunction || isMethod {
				return true
			}
			closures++
			if literal, ok := last.(*ast.FuncLit); ok {
				positions = append(positions, writes(objects, literal, receiver, callerWaits)...)
			} else if !forwardsClosure(f.Name.Name) {
				positions = append(positions, last.Pos()) // a closure whose body the check can't inspect
			}
			return true
		})
	}
	return closures, positions
}

// failingImporter fails every import, so that a file is resolved without other packages.
type failingImporter struct{}

func (failingImporter) Import(path string) (*types.Package, error) {
	return nil, fmt.Errorf("import of %s is disabled", path)
}

// resolve returns the objects to which the identifiers in a file refer. Those declared in other files remain unresolved.
func resolve(set *token.FileSet, file *ast.File) *types.Info {
	objects := &types.Info{Defs: map[*ast.Ident]types.Object{}, Uses: map[*ast.Ident]types.Object{}}
	config := types.Config{Importer: failingImporter{}, Error: func(error) {}}
	config.Check(file.Name.Name, set, []*ast.File{file}, objects)
	return objects
}

// calledName returns the name of the called function, or of the called method with a leading dot.
func calledName(call *ast.CallExpr) string {
	switch called := call.Fun.(type) {
	case *ast.Ident:
		return called.Name
	case *ast.SelectorExpr:
		return "." + called.Sel.Name
	}
	return ""
}

// writes returns the positions at which a closure writes a variable that was declared outside of it. If no caller waits for the
// closure, only direct assignments to captured variables are checked: their fields and elements may be state that the loop owns.
func writes(objects *types.Info, literal *ast.FuncLit, receiver types.Object, callerWaits bool) (positions []token.Pos) {
	recordWrite := func(e ast.Expr) {
		for direct := true; ; direct = false {
			switch x := e.(type) {
			case *ast.SelectorExpr:
				e = x.X
			case *ast.IndexExpr:
				e = x.X
			case *ast.StarExpr:
				e = x.X
			case *ast.ParenExpr:
				e = x.X
			case *ast.Ident:
				object := objects.ObjectOf(x)
				outside := object != nil && (object.Pos() < literal.Pos() || object.Pos() >= literal.End())
				if outside && object != receiver && (direct || callerWaits) {
					positions = append(positions, x.Pos())
				}
				return
			default:
				return
			}
		}
	}
	ast.Inspect(literal.Body, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.AssignStmt:
			for _, e := range n.Lhs {
				recordWrite(e)
			}
		case *ast.IncDecStmt:
			recordWrite(n.X)
		case *ast.RangeStmt:
			for _, e := range []ast.Expr{n.Key, n.Value} {
				if e != nil {
					recordWrite(e)
				}
			}
		case *ast.UnaryExpr:
			if _, name := n.X.(*ast.Ident); name && n.Op == token.AND {
				recordWrite(n.X)
			}
		}
		return true
	})
	return positions
}
