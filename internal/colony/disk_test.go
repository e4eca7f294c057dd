package colony

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// fill has the file of a hive's disk refuse every write as a full disk does, until the function that it returns is called.
// Its descriptor is put on /dev/full, so that what the program's library does about a failed write is really done.
func fill(t *testing.T, m *HiveMachine) (empty func()) {
	t.Helper()
	path, err := filepath.EvalSymlinks(filepath.Join(m.disk(), "hive.db"))
	must(t, err)
	names, err := os.ReadDir("/proc/self/fd")
	must(t, err)
	for _, name := range names {
		var fd int
		fmt.Sscan(name.Name(), &fd)
		if to, err := os.Readlink("/proc/self/fd/" + name.Name()); err != nil || to != path {
			continue
		}
		kept, err := syscall.Dup(fd)
		must(t, err)
		full, err := syscall.Open("/dev/full", syscall.O_RDWR, 0)
		must(t, err)
		must(t, syscall.Dup3(full, fd, syscall.O_CLOEXEC))
		syscall.Close(full)
		return func() {
			must(t, syscall.Dup3(kept, fd, syscall.O_CLOEXEC))
			syscall.Close(kept)
		}
	}
	t.Fatalf("%s is not open", path)
	return nil
}

// A disk is full when a promise is to be written: that acceptor says no, quickly, and the rest go on. With too few left
// nothing is acknowledged; once there is room, what was sent before finds its fate.
func TestAFullDiskSaysNoAtOnce(t *testing.T) {
	play(t, 31, 3, 2, func(c *Colony) {
		settle(t, c)
		room := fill(t, c.Hives[0])
		for i, by := range c.Hives { // the one whose disk is full may propose, too
			version := uint64(2 + i)
			began := time.Now()
			if got := c.Replace(by, version-1, Example(version, FirstCut)); got != http.StatusOK {
				t.Fatalf("version %d by hive %d beside a full disk: %d", version, i, got)
			}
			if took := time.Since(began); took > 300*time.Millisecond {
				t.Errorf("version %d beside a full disk took %v", version, took)
			}
		}
		await(t, c, 4, time.Second)
		second := fill(t, c.Hives[1])
		if got := c.Replace(c.Hives[2], 4, Example(5, SecondCut)); got/100 != 5 && got != 0 {
			t.Fatalf("LOST: with two of three disks full a version is answered %d", got)
		}
		for _, f := range c.Gather {
			if v := f.Now.ActiveVersion(); v != 4 {
				t.Errorf("CONFIG: %s follows %d, which nobody could agree on", f.IP, v)
			}
		}
		room()
		second()
		if got := agree(c, 4, Example(5, SecondCut), 5); got != http.StatusOK {
			t.Fatalf("once there is room the same version is answered %d", got)
		}
		await(t, c, 5, time.Second)
		for _, m := range c.Hives {
			m.Kill(true)
		}
		for _, m := range c.Hives {
			must(t, m.Start())
		}
		time.Sleep(3 * time.Second)
		for _, m := range c.Hives {
			if got := c.ReadConfig(m); !bytes.Equal(got, Example(5, SecondCut)) {
				t.Errorf("LOST: %s reads %.40s", m.IP, got)
			}
		}
	})
}

// Every machine loses power in the middle of a vote. Afterwards the version is agreed or not, and all hives and the call sent
// again say the same.
func TestPowerOffInTheMiddleOfAVote(t *testing.T) {
	agreed := 0
	for k := range 14 {
		play(t, uint64(40+k), 3+2*(k%2), 1, func(c *Colony) {
			settle(t, c)
			status := 0
			var wg sync.WaitGroup
			wg.Go(func() { status = c.Replace(c.Hives[0], 1, Example(2, SecondCut)) })
			time.Sleep(time.Duration(k) * 700 * time.Microsecond)
			for _, m := range c.Hives {
				m.Kill(true)
			}
			for i := range c.Hives {
				must(t, c.Hives[len(c.Hives)-1-i].Start())
			}
			wg.Wait()
			time.Sleep(3 * time.Second)
			found := current(t, c)
			if found == 2 {
				agreed++
			}
			if status == http.StatusOK && found != 2 {
				t.Fatalf("LOST: version 2 was acknowledged, %d is read back", found)
			}
			// Another on the same base wins only if the first did not.
			want := map[uint64]int{1: http.StatusOK, 2: http.StatusPreconditionFailed}[found]
			if got := agree(c, 1, Example(3, FirstCut), 5); got != want {
				t.Errorf("with %d in place another on 1 is answered %d", found, got)
			}
			want = map[uint64]int{1: http.StatusPreconditionFailed, 2: http.StatusOK}[found]
			for _, m := range c.Hives {
				if got := c.Replace(m, 1, Example(2, SecondCut)); got != want {
					t.Errorf("with %d found, the call sent again to %s is answered %d, want %d", found, m.IP, got, want)
				}
			}
		})
	}
	if agreed == 0 || agreed == 14 {
		t.Errorf("%d of 14 votes were agreed: the power never went in their midst", agreed)
	}
}

// The first start is cut off: one machine of the core has not yet written who it is, and comes back with an empty disk; or
// all are killed again and again while they begin.
func TestAFirstStartCutOffAnywhere(t *testing.T) {
	for k := range 9 {
		play(t, uint64(60+k), 3+2*(k%2), 2, func(c *Colony) {
			time.Sleep(time.Duration(k) * 20 * time.Millisecond)
			switch k % 3 {
			case 0:
				c.Hives[1].Kill(true)
				c.Hives[1].Wipe()
				must(t, c.Hives[1].Start())
			case 1:
				for range 3 {
					for _, m := range c.Hives {
						m.Kill(false)
						must(t, m.Start())
					}
					time.Sleep(15 * time.Millisecond)
				}
			case 2:
				for _, m := range c.Hives {
					m.Kill(true)
				}
				time.Sleep(time.Second)
				for _, m := range c.Hives {
					must(t, m.Start())
				}
			}
			settle(t, c)
			next(t, c, 2)
			await(t, c, 2, 3*time.Second)
		})
	}
}

// A time of day must decide nothing: it jumps. The system's own packages take spans between two readings of the clock, which
// are steady, and never ask what time it is; the one who names a file that is set aside may.
func TestNobodyAsksTheTimeOfDay(t *testing.T) {
	asks := map[string]bool{"Unix": true, "UnixMilli": true, "UnixMicro": true, "UnixNano": true, "UTC": true, "Local": true, "Round": true,
		"Truncate": true, "Date": true, "Hour": true, "Minute": true, "Second": true, "Format": true, "In": true}
	allowed := map[string]bool{"internal/wax/wax.go:UTC": true, "internal/wax/wax.go:Format": true}
	files := 0
	for _, dir := range []string{"swarm", "waggle", "comb", "kin", "quorum", "nectar", "dance", "hive", "forager", "internal/wax", "internal/ground", "internal/boot", "brain"} {
		names, err := filepath.Glob(filepath.Join("../..", dir, "*.go"))
		must(t, err)
		for _, name := range names {
			if strings.HasSuffix(name, "_test.go") || strings.HasSuffix(name, ".pb.go") || strings.HasSuffix(name, "_easyjson.go") {
				continue
			}
			set := token.NewFileSet()
			file, err := parser.ParseFile(set, name, nil, 0)
			must(t, err)
			files++
			clock := false
			for _, i := range file.Imports {
				clock = clock || i.Path.Value == `"time"`
			}
			ast.Inspect(file, func(n ast.Node) bool {
				call, ok := n.(*ast.CallExpr)
				if !ok || !clock {
					return true
				}
				if s, ok := call.Fun.(*ast.SelectorExpr); ok && asks[s.Sel.Name] && !allowed[strings.TrimPrefix(filepath.ToSlash(name), "../../")+":"+s.Sel.Name] {
					if x, ok := s.X.(*ast.Ident); !ok || x.Name != "time" {
						t.Errorf("%s: %s asks the time of day", set.Position(call.Pos()), s.Sel.Name)
					}
				}
				return true
			})
		}
	}
	if files < 30 {
		t.Fatalf("only %d files were looked at", files)
	}
}
