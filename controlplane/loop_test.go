package controlplane

import (
	"context"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
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

// startControllers runs so many hives on a simulated network, and returns what ends each.
func startControllers(t *testing.T, n int) (hives []*Controller, end []func()) {
	t.Helper()
	network := simnet.New(func(string, string) time.Duration { return 50 * time.Microsecond })
	var seeds []string
	for i := range n {
		seeds = append(seeds, fmt.Sprintf("10.0.1.%d:8700", i+1))
	}
	for i := range n {
		ip := fmt.Sprintf("10.0.1.%d", i+1)
		dir, err := os.MkdirTemp("/dev/shm", "hive") // a disk that waits for nothing
		if err != nil {
			dir = t.TempDir()
		}
		t.Cleanup(func() { os.RemoveAll(dir) })
		set := &settings.Settings{IPAddress: ip, InternalPorts: []int{7100, 7109}, SeedAddresses: seeds, FirstStart: true, DataDirectory: dir, HeartbeatIntervalMS: 1000}
		set.Listen.Control = seeds[i]
		set.ToleratedLosses.Machines = (n - 1) / 2
		h, err := New(set, network.Host(ip), zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() { ended <- h.Run(context.Background()) }()
		hives, end = append(hives, h), append(end, func() { h.Kill(); <-ended })
	}
	return hives, end
}

// A hive is stopped while calls of every sort are on their way. Its owner may still work on what a caller asked while the
// stop has released that caller: under the race detector they must share no variable.
func TestStopDoesNotRaceWithCallers(t *testing.T) {
	calls := []string{"GET /-/configuration/read", "GET /-/tenants/read", "GET /-/configuration/history", "GET /-/members/read",
		"GET /-/nodes/read", "GET /-/servers/read", "GET /-/events/read", "GET /-/tenants/explain", "GET /-/judgement/explain",
		`POST /-/instances/i-1/heartbeat {"service":"s","address":"10.0.3.1:80","call_sequence":1}`, "POST /-/instances/i-2/sign-off",
		`POST /-/tenants/replace {"tenants":[]}`, `POST /-/configuration/replace {"version":1}`}
	for range 10 {
		hives, end := startControllers(t, 3)
		h := hives[0]
		handler := h.handler()
		var callers sync.WaitGroup
		called := make(chan struct{}, 1)
		for _, call := range calls {
			method, rest, _ := strings.Cut(call, " ")
			path, body, _ := strings.Cut(rest, " ")
			callers.Go(func() {
				for {
					ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
					r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
					r.Header.Set(basedOnHeader, "0")
					w := httptest.NewRecorder()
					handler.ServeHTTP(w, r)
					cancel()
					select {
					case called <- struct{}{}:
					default:
					}
					select {
					case <-h.loop.stopped:
						return
					default:
					}
					if w.Code == http.StatusNotFound && !strings.Contains(path, "read") {
						t.Errorf("%s is answered %d", path, w.Code)
						return
					}
				}
			})
		}
		callers.Go(func() {
			for {
				h.Committed()
				select {
				case <-h.loop.stopped:
					return
				default:
				}
			}
		})
		<-called
		for _, e := range end {
			e()
		}
		callers.Wait()
	}
}

// waits are the calls that hand the owner a closure; of those named true, the caller waits for its end.
var waits = map[string]bool{".execute": true, "query": true, "serveLocal": true, "serveVerified": true, ".post": false}

// A closure that is handed to the owner writes no variable of its caller: a caller that the stop releases would read it while
// the owner writes. Answers travel by inquire.
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
			n, faults := capturedWrites(file)
			closures += n
			for _, at := range faults {
				t.Errorf("%s: a closure of the owner's writes a variable of its caller", set.Position(at))
			}
		}
	}
	if closures < 30 {
		t.Errorf("only %d closures were looked at", closures)
	}
}

// The check finds what it is there for.
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
		file, err := parser.ParseFile(token.NewFileSet(), "", "package p\nfunc (h *H) f() { "+body+" }", 0)
		if err != nil {
			t.Fatal(err)
		}
		if _, faults := capturedWrites(file); len(faults) != want {
			t.Errorf("%s: %d faults, want %d", body, len(faults), want)
		}
	}
}

// capturedWrites finds the closures that a file hands to an owner, and where one of them writes what it captured. What is
// behind the receiver is the owner's own.
func capturedWrites(file *ast.File) (closures int, faults []token.Pos) {
	for _, d := range file.Decls {
		f, ok := d.(*ast.FuncDecl)
		if !ok {
			continue
		}
		var receiver *ast.Object
		if f.Recv != nil && len(f.Recv.List[0].Names) > 0 {
			receiver = f.Recv.List[0].Names[0].Obj
		}
		ast.Inspect(f, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok || len(call.Args) == 0 {
				return true
			}
			name := ""
			switch called := call.Fun.(type) {
			case *ast.Ident:
				name = called.Name
			case *ast.SelectorExpr:
				name = "." + called.Sel.Name
			}
			waiting, handed := waits[name]
			last := call.Args[len(call.Args)-1]
			literal, isLiteral := last.(*ast.FuncLit)
			if _, isMethod := last.(*ast.SelectorExpr); !handed || isMethod {
				return true
			}
			if closures++; isLiteral {
				faults = append(faults, writes(literal, receiver, waiting)...)
			} else if f.Name.Name != "execute" && f.Name.Name != "query" && !strings.HasPrefix(f.Name.Name, "serve") {
				faults = append(faults, last.Pos()) // a closure that the check can't look into
			}
			return true
		})
	}
	return closures, faults
}

// writes are the places where a closure writes a variable that was there before it. Of a closure that nobody waits for, what
// is behind a captured name is not looked at: it may be a table of the owner's.
func writes(literal *ast.FuncLit, receiver *ast.Object, waiting bool) (at []token.Pos) {
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
				outside := x.Obj != nil && (x.Obj.Pos() < literal.Pos() || x.Obj.Pos() >= literal.End())
				if outside && x.Obj != receiver && (direct || waiting) {
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
