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

// startControllers runs controllers on a simulated network, and returns a function for each that ends it.
func startControllers(t *testing.T, count int) (controllers []*Controller, stops []func()) {
	t.Helper()
	network := simnet.New(func(string, string) time.Duration { return 50 * time.Microsecond })
	var seeds []string
	for i := range count {
		seeds = append(seeds, fmt.Sprintf("10.0.1.%d:8700", i+1))
	}
	for i := range count {
		ip := fmt.Sprintf("10.0.1.%d", i+1)
		dir, err := os.MkdirTemp("/dev/shm", "controller") // a disk without delays
		if err != nil {
			dir = t.TempDir()
		}
		t.Cleanup(func() { os.RemoveAll(dir) })
		s := &settings.Settings{IPAddress: ip, InternalPorts: []int{7100, 7109}, SeedAddresses: seeds, FirstStart: true, DataDirectory: dir, HeartbeatIntervalMS: 1000}
		s.Listen.Control = seeds[i]
		s.ToleratedLosses.Machines = (count - 1) / 2
		c, err := New(s, network.Host(ip), zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() { ended <- c.Run(context.Background()) }()
		controllers, stops = append(controllers, c), append(stops, func() { c.Kill(); <-ended })
	}
	return controllers, stops
}

// repeatRequest sends a request again and again until the controller stops. It signals each response.
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
			t.Errorf("%s is answered %d", path, w.Code)
			return
		}
	}
}

// A controller is stopped while requests of every kind are in flight. Its event loop may still run what a caller handed it after
// the stop has released that caller: under the race detector they must share no variable.
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

// closureTakers are the functions and methods, these with a dot, that hand the event loop a closure; true: the caller waits for it.
var closureTakers = map[string]bool{".execute": true, "query": true, "serveLocal": true, "serveVerified": true, ".post": false}

// forwardsClosure reports whether a function passes on a closure that its own caller gave it.
func forwardsClosure(name string) bool {
	return closureTakers[name] || closureTakers["."+name]
}

// A closure that is handed to the event loop writes no variable of its caller: a caller that the stop releases would read it while
// the loop writes. Results travel by query.
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

// capturedWrites finds the closures that a file hands to an event loop, and where one of them writes what it captured. What is
// behind the receiver belongs to the loop.
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
			waiting, takes := closureTakers[calledName(call)]
			last := call.Args[len(call.Args)-1]
			if _, isMethod := last.(*ast.SelectorExpr); !takes || isMethod {
				return true
			}
			closures++
			if literal, ok := last.(*ast.FuncLit); ok {
				positions = append(positions, writes(objects, literal, receiver, waiting)...)
			} else if !forwardsClosure(f.Name.Name) {
				positions = append(positions, last.Pos()) // a closure that the check can't look into
			}
			return true
		})
	}
	return closures, positions
}

// noImports has every import fail, so that a file is resolved by itself.
type noImports struct{}

func (noImports) Import(path string) (*types.Package, error) {
	return nil, fmt.Errorf("%s is not imported", path)
}

// resolve returns what the names in a file stand for. What is declared elsewhere stays unknown.
func resolve(set *token.FileSet, file *ast.File) *types.Info {
	objects := &types.Info{Defs: map[*ast.Ident]types.Object{}, Uses: map[*ast.Ident]types.Object{}}
	lenient := types.Config{Importer: noImports{}, Error: func(error) {}}
	lenient.Check(file.Name.Name, set, []*ast.File{file}, objects)
	return objects
}

// calledName is the name of the function that a call calls, or of the method, with a dot before it.
func calledName(call *ast.CallExpr) string {
	switch called := call.Fun.(type) {
	case *ast.Ident:
		return called.Name
	case *ast.SelectorExpr:
		return "." + called.Sel.Name
	}
	return ""
}

// writes returns where a closure writes a variable that was declared before it. Of a closure that nobody waits for, what is behind
// a captured name is not checked: it may be a table of the loop's.
func writes(objects *types.Info, literal *ast.FuncLit, receiver types.Object, waiting bool) (at []token.Pos) {
	written := func(e ast.Expr) {
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
				if outside && object != receiver && (direct || waiting) {
					at = append(at, x.Pos())
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
				written(e)
			}
		case *ast.IncDecStmt:
			written(n.X)
		case *ast.RangeStmt:
			for _, e := range []ast.Expr{n.Key, n.Value} {
				if e != nil {
					written(e)
				}
			}
		case *ast.UnaryExpr:
			if _, name := n.X.(*ast.Ident); name && n.Op == token.AND {
				written(n.X)
			}
		}
		return true
	})
	return at
}
