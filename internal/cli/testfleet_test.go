package cli

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"oxbowspan/internal/testing/standin"
)

const (
	fleetSize       = 7
	numVoters       = 3                     // the first gatherers are voters
	pollInterval    = 20 * time.Millisecond // between two checks of a condition
	probeInterval   = 5 * time.Millisecond  // between two rounds of readiness probes
	requestInterval = 3 * time.Millisecond  // between two requests
)

// testFleet is a fleet of gatherers that run as separate processes, with stand-ins for discovery and a shard server. It observes them from
// outside, like a load balancer: which gatherers are ready, and how each request ends.
type testFleet struct {
	t            *testing.T
	program      string
	dir          string
	discovery    *standin.DiscoveryService
	fleetSection string
	gatherers    []*gathererProcess
	stopped      chan struct{}
	tasks        sync.WaitGroup

	sent       atomic.Int64
	succeeded  atomic.Int64 // with status 200
	unanswered atomic.Int64 // accepted by a gatherer, but without a final answer

	mu     sync.Mutex // guards maxOut and the state of the processes
	maxOut int        // largest number of gatherers not ready at the same time, except killed and suspended ones
}

// gathererProcess is a gatherer that is restarted whenever it ends, as a platform would restart it.
type gathererProcess struct {
	name string
	addr string
	args []string

	running     *standin.Program // nil = it is being started
	interrupted bool             // killed by SIGKILL or suspended by SIGSTOP, and not resumed or restarted since
	ready       bool             // at the last probe
	starts      int
	drains      []string // log lines fleet_drain of the gatherer
}

const fleetSettings = `{"classes":[{"name":"lookup","effect":"free","slo":1000,"hardLimit":3000,"lateWorth":0.3}],"membershipMode":"pushed","instances":7,"tick":5,
"domain":{"positions":1,"reach":1,"slices":4,"perCall":4,"leastShare":[1.0],"wholeAt":[1.0],"shortWorth":[0.9]},
"limits":{"attemptsCap":3,"cancel":true,"secondCopies":true,"dialTimeout":250,"idleClose":30000,"maxStreams":32,"peers":%v},
"guarantees":{"askWithin":10000,"stopSendingWithin":500}}`

var lastPort atomic.Int64

// freeAddr returns an address below the range of ephemeral ports, so that a restarted gatherer can listen on it again.
func freeAddr(t *testing.T) string {
	t.Helper()
	lastPort.CompareAndSwap(0, 21000+int64(os.Getpid()%400)*25)
	for range 1000 {
		addr := fmt.Sprintf("127.0.0.1:%d", lastPort.Add(1))
		if l, err := net.Listen("tcp", addr); err == nil {
			l.Close()
			return addr
		}
	}
	t.Fatal("no port is free")
	return ""
}

func writeFile(t *testing.T, path, text string) string {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// writeConfig writes a gatherer's configuration and returns its path.
func (f *testFleet) writeConfig(name, listen string, peers bool) string {
	f.t.Helper()
	b, err := json.Marshal(map[string]any{"name": name, "listen": listen, "discovery": f.discovery.Addr(), "seed": "7",
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256}, "settings": json.RawMessage(fmt.Sprintf(fleetSettings, peers))})
	if err != nil {
		f.t.Fatal(err)
	}
	return writeFile(f.t, filepath.Join(f.dir, name+".json"), string(b))
}

func (f *testFleet) build() {
	f.t.Helper()
	f.program = filepath.Join(f.dir, "oxbowspan")
	build := exec.Command("go", "build", "-o", f.program, "oxbowspan/cmd/oxbowspan")
	build.Env = append(os.Environ(), "CGO_ENABLED=0")
	if out, err := build.CombinedOutput(); err != nil {
		f.t.Fatalf("build: %v\n%s", err, out)
	}
}

// startStandIns starts the stand-ins for a shard server and discovery, and writes the key file.
func (f *testFleet) startStandIns() {
	f.t.Helper()
	shard, err := standin.StartShardServer("s-1", nil, func(what string) { f.t.Error(what) })
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(shard.Stop)
	if f.discovery, err = standin.StartDiscoveryService(shard); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(f.discovery.Stop)
	writeFile(f.t, filepath.Join(f.dir, "keys"), "k1 "+strings.Repeat("0f", 32)+"\n")
}

// newTestFleet builds the gatherer and starts a fleet with additional lines for the section [fleet].
func newTestFleet(t *testing.T, lines string) *testFleet {
	t.Helper()
	f := &testFleet{t: t, dir: t.TempDir(), stopped: make(chan struct{})}
	f.build()
	f.startStandIns()
	var voters []string
	for i := range numVoters {
		voters = append(voters, fmt.Sprintf("n%d=%s", i, freeAddr(t)))
	}
	f.fleetSection = "[fleet]\nkeys = keys\nlease = 3s\nwait = 60s\nstewards = " + strings.Join(voters, " ") + "\n" + lines
	for i := range fleetSize {
		name := fmt.Sprintf("n%d", i)
		text := f.fleetSection
		if i < numVoters {
			_, addr, _ := strings.Cut(voters[i], "=")
			text += "listen = " + addr + "\npath = log-" + name + "\n"
		}
		operator := writeFile(t, filepath.Join(f.dir, name+".ini"), text)
		addr := freeAddr(t)
		f.gatherers = append(f.gatherers, &gathererProcess{name: name, addr: addr,
			args: []string{"serve", "--config", f.writeConfig(name, addr, true), "--operator", operator}})
	}
	f.startAll()
	f.tasks.Go(f.probeReadiness)
	f.tasks.Go(f.sendRequests)
	t.Cleanup(f.stop)
	return f
}

func (f *testFleet) startAll() {
	f.t.Helper()
	var started sync.WaitGroup
	for i, g := range f.gatherers {
		started.Go(func() {
			var extra []string
			if i < numVoters {
				extra = []string{"--found-fleet"}
			}
			f.start(g, extra...)
		})
	}
	started.Wait()
	if f.t.Failed() {
		f.t.FailNow()
	}
}

// start starts a gatherer, and restarts it without extraArgs whenever it ends before the fleet is stopped.
func (f *testFleet) start(g *gathererProcess, extraArgs ...string) {
	cmd := exec.Command(f.program, append(g.args, extraArgs...)...)
	cmd.Env = append(os.Environ(), "OXBOWSPAN_VERSION="+f.installedVersion(g))
	program, err := standin.StartProgram(cmd, func(line string) {
		if strings.Contains(line, "event=fleet_drain ") {
			f.mu.Lock()
			g.drains = append(g.drains, line)
			f.mu.Unlock()
		}
	})
	if err != nil {
		f.t.Errorf("%s does not start: %v", g.name, err)
		return
	}
	writeFile(f.t, filepath.Join(f.dir, g.name+".pid"), fmt.Sprint(program.PID()))
	f.mu.Lock()
	g.running, g.interrupted = program, false
	g.starts++
	f.mu.Unlock()
	f.tasks.Go(func() {
		<-program.Exited
		f.mu.Lock()
		g.running = nil
		f.mu.Unlock()
		select {
		case <-f.stopped:
		default:
			f.start(g)
		}
	})
}

func (f *testFleet) stop() {
	close(f.stopped)
	f.mu.Lock()
	for _, g := range f.gatherers {
		if g.running != nil {
			g.running.Signal(syscall.SIGCONT)
			g.running.Kill()
		}
	}
	f.mu.Unlock()
	f.tasks.Wait()
}

// installedVersion returns the version that the hook last installed for a gatherer.
func (f *testFleet) installedVersion(g *gathererProcess) string {
	b, err := os.ReadFile(filepath.Join(f.dir, g.name+".version"))
	if err != nil {
		return "v1"
	}
	return strings.TrimSpace(string(b))
}

// writeHook writes the hook that carries out a release: once for each epoch it runs the shell command install, with the gatherer's name
// as $1 and the version as $2, and shuts the gatherer down.
func (f *testFleet) writeHook(install string) {
	f.t.Helper()
	script := "#!/bin/sh\ncd " + f.dir + "\n[ -e $1.$3 ] && exit 0\ntouch $1.$3\n" + install + "\nkill -TERM $(cat $1.pid)\n"
	path := writeFile(f.t, filepath.Join(f.dir, "hook.sh"), script)
	if err := os.Chmod(path, 0o700); err != nil {
		f.t.Fatal(err)
	}
}
