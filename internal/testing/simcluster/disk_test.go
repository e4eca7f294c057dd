package simcluster

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

// fillDisk has the file of a hive's disk refuse every write as a full disk does, until the function that it returns is called.
// Its descriptor is put on /dev/full, so that what the program's library does about a failed write is really done.
func fillDisk(t *testing.T, controller *ControllerNode) (restore func()) {
	t.Helper()
	path, err := filepath.EvalSymlinks(filepath.Join(controller.dataDir(), "hive.db"))
	requireNoError(t, err)
	names, err := os.ReadDir("/proc/self/fd")
	requireNoError(t, err)
	for _, name := range names {
		var fd int
		fmt.Sscan(name.Name(), &fd)
		if to, err := os.Readlink("/proc/self/fd/" + name.Name()); err != nil || to != path {
			continue
		}
		kept, err := syscall.Dup(fd)
		requireNoError(t, err)
		full, err := syscall.Open("/dev/full", syscall.O_RDWR, 0)
		requireNoError(t, err)
		requireNoError(t, syscall.Dup3(full, fd, syscall.O_CLOEXEC))
		syscall.Close(full)
		return func() {
			requireNoError(t, syscall.Dup3(kept, fd, syscall.O_CLOEXEC))
			syscall.Close(kept)
		}
	}
	t.Fatalf("%s is not open", path)
	return nil
}

// A disk is full when a promise is to be written: that acceptor says no, quickly, and the rest go on. With too few left
// nothing is acknowledged; once there is room, what was sent before finds its fate.
func TestFullDiskRejectsImmediately(t *testing.T) {
	runCluster(t, 31, 3, 2, func(cluster *Cluster) {
		commitFirstVersion(t, cluster)
		restore := fillDisk(t, cluster.Controllers[0])
		for i, by := range cluster.Controllers { // the one whose disk is full may propose, too
			version := uint64(2 + i)
			start := time.Now()
			if got := cluster.ReplaceConfiguration(by, version-1, ExampleConfiguration(version, FirstSharding)); got != http.StatusOK {
				t.Fatalf("version %d by hive %d beside a full disk: %d", version, i, got)
			}
			if took := time.Since(start); took > 300*time.Millisecond {
				t.Errorf("version %d beside a full disk took %v", version, took)
			}
		}
		awaitVersion(t, cluster, 4, time.Second)
		second := fillDisk(t, cluster.Controllers[1])
		if got := cluster.ReplaceConfiguration(cluster.Controllers[2], 4, ExampleConfiguration(5, SecondSharding)); got/100 != 5 && got != 0 {
			t.Fatalf("LOST: with two of three disks full a version is answered %d", got)
		}
		for _, gateway := range cluster.Gateways {
			if v := gateway.Gateway.ActiveVersion(); v != 4 {
				t.Errorf("CONFIG: %s follows %d, which nobody could agree on", gateway.IP, v)
			}
		}
		restore()
		second()
		if got := replaceWithRetry(cluster, 4, ExampleConfiguration(5, SecondSharding), 5); got != http.StatusOK {
			t.Fatalf("once there is room the same version is answered %d", got)
		}
		awaitVersion(t, cluster, 5, time.Second)
		for _, controller := range cluster.Controllers {
			controller.Kill(true)
		}
		for _, controller := range cluster.Controllers {
			requireNoError(t, controller.Start())
		}
		time.Sleep(3 * time.Second)
		for _, controller := range cluster.Controllers {
			if got := cluster.ReadConfiguration(controller); !bytes.Equal(got, ExampleConfiguration(5, SecondSharding)) {
				t.Errorf("LOST: %s reads %.40s", controller.IP, got)
			}
		}
	})
}

// Every machine loses power in the middle of a vote. Afterwards the version is agreed or not, and all hives and the call sent
// again say the same.
func TestPowerLossDuringCommit(t *testing.T) {
	agreed := 0
	for trial := range 14 {
		runCluster(t, uint64(40+trial), 3+2*(trial%2), 1, func(cluster *Cluster) {
			commitFirstVersion(t, cluster)
			status := 0
			var wg sync.WaitGroup
			wg.Go(func() {
				status = cluster.ReplaceConfiguration(cluster.Controllers[0], 1, ExampleConfiguration(2, SecondSharding))
			})
			time.Sleep(time.Duration(trial) * 700 * time.Microsecond)
			for _, controller := range cluster.Controllers {
				controller.Kill(true)
			}
			for i := range cluster.Controllers {
				requireNoError(t, cluster.Controllers[len(cluster.Controllers)-1-i].Start())
			}
			wg.Wait()
			time.Sleep(3 * time.Second)
			found := currentVersion(t, cluster)
			if found == 2 {
				agreed++
			}
			if status == http.StatusOK && found != 2 {
				t.Fatalf("LOST: version 2 was acknowledged, %d is read back", found)
			}
			// Another on the same base wins only if the first did not.
			want := map[uint64]int{1: http.StatusOK, 2: http.StatusPreconditionFailed}[found]
			if got := replaceWithRetry(cluster, 1, ExampleConfiguration(3, FirstSharding), 5); got != want {
				t.Errorf("with %d in place another on 1 is answered %d", found, got)
			}
			want = map[uint64]int{1: http.StatusPreconditionFailed, 2: http.StatusOK}[found]
			for _, controller := range cluster.Controllers {
				if got := cluster.ReplaceConfiguration(controller, 1, ExampleConfiguration(2, SecondSharding)); got != want {
					t.Errorf("with %d found, the call sent again to %s is answered %d, want %d", found, controller.IP, got, want)
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
func TestInterruptedFirstStart(t *testing.T) {
	for trial := range 9 {
		runCluster(t, uint64(60+trial), 3+2*(trial%2), 2, func(cluster *Cluster) {
			time.Sleep(time.Duration(trial) * 20 * time.Millisecond)
			switch trial % 3 {
			case 0:
				cluster.Controllers[1].Kill(true)
				cluster.Controllers[1].WipeDisk()
				requireNoError(t, cluster.Controllers[1].Start())
			case 1:
				for range 3 {
					for _, controller := range cluster.Controllers {
						controller.Kill(false)
						requireNoError(t, controller.Start())
					}
					time.Sleep(15 * time.Millisecond)
				}
			case 2:
				for _, controller := range cluster.Controllers {
					controller.Kill(true)
				}
				time.Sleep(time.Second)
				for _, controller := range cluster.Controllers {
					requireNoError(t, controller.Start())
				}
			}
			commitFirstVersion(t, cluster)
			commitVersion(t, cluster, 2)
			awaitVersion(t, cluster, 2, 3*time.Second)
		})
	}
}

// A time of day must decide nothing: it jumps. The system's own packages take spans between two readings of the clock, which
// are steady, and never ask what time it is; the one who names a file that is set aside may.
func TestNoWallClockReads(t *testing.T) {
	asks := map[string]bool{"Unix": true, "UnixMilli": true, "UnixMicro": true, "UnixNano": true, "UTC": true, "Local": true, "Round": true,
		"Truncate": true, "Date": true, "Hour": true, "Minute": true, "Second": true, "Format": true, "In": true}
	allowed := map[string]bool{"internal/acceptorstore/store.go:UTC": true, "internal/acceptorstore/store.go:Format": true}
	files := 0
	for _, dir := range []string{"consensus", "registry", "config", "rendezvous", "quorum", "topk", "rpc", "controlplane", "dataplane", "internal/acceptorstore", "internal/network", "internal/settings", "balancer"} {
		names, err := filepath.Glob(filepath.Join("../../..", dir, "*.go"))
		requireNoError(t, err)
		for _, name := range names {
			if strings.HasSuffix(name, "_test.go") || strings.HasSuffix(name, ".pb.go") || strings.HasSuffix(name, "_easyjson.go") {
				continue
			}
			set := token.NewFileSet()
			file, err := parser.ParseFile(set, name, nil, 0)
			requireNoError(t, err)
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
				if s, ok := call.Fun.(*ast.SelectorExpr); ok && asks[s.Sel.Name] && !allowed[strings.TrimPrefix(filepath.ToSlash(name), "../../../")+":"+s.Sel.Name] {
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
