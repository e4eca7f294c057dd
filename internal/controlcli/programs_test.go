package controlcli

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"oxbowspan/controlapi"
	"oxbowspan/internal/testing/simcluster"
)

const (
	// convergence bounds the wait for state that reaches the programs by itself: heartbeats, reports and elections, beside other load.
	convergence  = 20 * time.Second
	pollInterval = 200 * time.Millisecond
)

// programs is a cluster of built programs on loopback.
type programs struct {
	t            *testing.T
	binaries     string // directory
	cluster      *simcluster.Cluster
	settings     []string // files of the controllers
	controllers  []*exec.Cmd
	gateways     []*exec.Cmd
	settingsFlag string // of commands; its seeds are called
}

func buildPrograms(t *testing.T) *programs {
	t.Helper()
	p := &programs{t: t, binaries: t.TempDir(), cluster: simcluster.NewLocal(t.TempDir(), 3, 2)}
	build := exec.Command("go", "build", "-o", p.binaries+"/", "oxbowspan/cmd/"+controllerName, "oxbowspan/cmd/"+gatewayName)
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return p
}

// startAll starts the controllers, the gateways and two servers for each service.
func (p *programs) startAll() {
	p.t.Helper()
	controllers, gateways, err := p.cluster.WriteSettings()
	if err != nil {
		p.t.Fatal(err)
	}
	p.settings = controllers
	p.settingsFlag = "--boot=" + controllers[0]
	for _, file := range controllers {
		p.startController(file)
	}
	for _, file := range gateways {
		p.gateways = append(p.gateways, p.start(gatewayName, file))
	}
	for _, service := range simcluster.ExampleServices {
		for range 2 {
			server := p.cluster.AddServer(service, 5*time.Millisecond)
			if err := server.Start(); err != nil {
				p.t.Fatal(err)
			}
			p.t.Cleanup(func() { server.Crash(false) })
		}
	}
}

func (p *programs) start(program, settingsFile string) *exec.Cmd {
	p.t.Helper()
	command := exec.Command(filepath.Join(p.binaries, program), "--boot", settingsFile, "--log-level", "error", "serve")
	command.Stderr = os.Stderr
	if err := command.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { kill(command) })
	return command
}

func (p *programs) startController(settingsFile string) {
	p.t.Helper()
	p.controllers = append(p.controllers, p.start(controllerName, settingsFile))
}

// signalSettingsChange sends all programs the signal that their settings have changed.
func (p *programs) signalSettingsChange(t *testing.T) {
	t.Helper()
	for _, program := range slices.Concat(p.controllers, p.gateways) {
		if err := program.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
}

func kill(command *exec.Cmd) {
	command.Process.Signal(syscall.SIGKILL)
	command.Wait()
}

func (p *programs) killControllers() {
	for _, controller := range p.controllers {
		kill(controller)
	}
	p.controllers = nil
}

// dataDirectory returns the data directory of a controller.
func (p *programs) dataDirectory(controller int) string {
	return filepath.Join(p.cluster.Dir, p.cluster.Controllers[controller].IP)
}

func (p *programs) removeData(t *testing.T, controller int) {
	t.Helper()
	if err := os.RemoveAll(p.dataDirectory(controller)); err != nil {
		t.Fatal(err)
	}
}

// writeFile writes a file for a command and returns its path.
func (p *programs) writeFile(t *testing.T, name, text string) (path string) {
	t.Helper()
	path = filepath.Join(p.cluster.Dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// run runs a command of the controller program and returns what it printed and its exit code.
func (p *programs) run(t *testing.T, args ...string) (output string, code int) {
	t.Helper()
	command := exec.Command(filepath.Join(p.binaries, controllerName), args...)
	var out, errs bytes.Buffer
	command.Stdout, command.Stderr = &out, &errs
	err := command.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return out.String() + errs.String(), command.ProcessState.ExitCode()
}

// expectAlone runs a command without the settings file, and checks its exit code and that its output contains a text.
func (p *programs) expectAlone(t *testing.T, code int, text string, args ...string) {
	t.Helper()
	output, got := p.run(t, args...)
	if got != code || !strings.Contains(output, text) {
		t.Errorf("%s: exit code %d, want %d with %q\n%s", strings.Join(args, " "), got, code, text, output)
	}
}

// expect runs a command that calls the controllers.
func (p *programs) expect(t *testing.T, code int, text string, args ...string) {
	t.Helper()
	p.expectAlone(t, code, text, append([]string{p.settingsFlag}, args...)...)
}

// poll runs a command that calls the controllers until its output and exit code pass. When they don't in time, the test fails with the last
// output.
func (p *programs) poll(t *testing.T, want string, pass func(output string, code int) bool, args ...string) {
	t.Helper()
	args = append([]string{p.settingsFlag}, args...)
	for end := time.Now().Add(convergence); ; time.Sleep(pollInterval) {
		output, code := p.run(t, args...)
		if pass(output, code) {
			return
		}
		if time.Now().After(end) {
			t.Errorf("%s: no %s within %s; last exit code %d\n%s", strings.Join(args, " "), want, convergence, code, output)
			return
		}
	}
}

// eventually runs a command until it ends with the exit code and its output contains the text. It is for what converges: a command that makes
// a change is run once, by expect.
func (p *programs) eventually(t *testing.T, code int, text string, args ...string) {
	t.Helper()
	p.poll(t, fmt.Sprintf("exit code %d with %q", code, text), func(output string, got int) bool {
		return got == code && strings.Contains(output, text)
	}, args...)
}

// eventuallyEvent waits until a controller has recorded an event that passes.
func (p *programs) eventuallyEvent(t *testing.T, want string, pass func(controlapi.Event) bool) {
	t.Helper()
	p.poll(t, "event of the "+want, func(output string, code int) bool {
		var events []controlapi.Event
		return code == exitOK && json.Unmarshal([]byte(output), &events) == nil && slices.ContainsFunc(events, pass)
	}, "events", "--json")
}

// allServers waits until a number of servers is listed, all ready and with recent heartbeats, and returns them.
func (p *programs) allServers(t *testing.T, count int) (servers []controlapi.ServerStatus) {
	t.Helper()
	p.poll(t, fmt.Sprintf("list of %d ready servers", count), func(output string, code int) bool {
		servers = nil
		if code != 0 || json.Unmarshal([]byte(output), &servers) != nil || len(servers) != count {
			return false
		}
		return !slices.ContainsFunc(servers, func(s controlapi.ServerStatus) bool { return s.State != serverReady || s.Unresponsive })
	}, "servers", "--json")
	if t.Failed() {
		t.FailNow()
	}
	return servers
}

// request sends a request to a gateway until a server responds. Only 503 is retried, as the gateway may not know the servers yet: any other
// status is the outcome.
func (p *programs) request(path, id string) simcluster.Response {
	for end := time.Now().Add(convergence); ; time.Sleep(pollInterval) {
		response := p.cluster.SendRequest(p.cluster.Gateways[0], http.MethodGet, "h.example", path, id, time.Second)
		if response.Status != http.StatusServiceUnavailable || time.Now().After(end) {
			return response
		}
	}
}
