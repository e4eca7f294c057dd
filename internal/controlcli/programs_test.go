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
	// convergenceTimeout limits the wait for state that spreads among the programs: heartbeats, reports and elections. It is long enough for
	// a machine under other load.
	convergenceTimeout = 20 * time.Second
	pollInterval       = 200 * time.Millisecond
)

// programs is a cluster of built controllers and gateways, and servers in the test process, on loopback addresses.
type programs struct {
	t            *testing.T
	binaries     string // directory of the built programs
	cluster      *simcluster.Cluster
	settings     []string // settings files of the controllers
	controllers  []*exec.Cmd
	gateways     []*exec.Cmd
	settingsFlag string // --boot with a controller's settings file, whose seeds commands call
}

// buildPrograms builds the programs for a cluster of three controllers and two gateways.
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

// start starts a program that serves until the test ends.
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

// signalSettingsChange sends SIGHUP to all programs, which usually means that settings have changed.
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

// run runs a command of the controller program and returns its output, with standard error last, and its exit code.
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

// expectArgs runs a command with exactly the given arguments, without the settings file. It checks the exit code, and that the output contains
// a text.
func (p *programs) expectArgs(t *testing.T, code int, text string, args ...string) {
	t.Helper()
	output, got := p.run(t, args...)
	if got != code || !strings.Contains(output, text) {
		t.Errorf("%s: exit code %d, want %d with %q\n%s", strings.Join(args, " "), got, code, text, output)
	}
}

// expect runs a command with the settings file, whose controllers the command calls, and checks as [programs.expectArgs] does.
func (p *programs) expect(t *testing.T, code int, text string, args ...string) {
	t.Helper()
	p.expectArgs(t, code, text, append([]string{p.settingsFlag}, args...)...)
}

// poll runs a command that calls the controllers repeatedly until its output and exit code pass. If they don't within convergenceTimeout, the
// test fails with the last output.
func (p *programs) poll(t *testing.T, want string, pass func(output string, code int) bool, args ...string) {
	t.Helper()
	args = append([]string{p.settingsFlag}, args...)
	for end := time.Now().Add(convergenceTimeout); ; time.Sleep(pollInterval) {
		output, code := p.run(t, args...)
		if pass(output, code) {
			return
		}
		if time.Now().After(end) {
			t.Errorf("%s: no %s within %s; last exit code %d\n%s", strings.Join(args, " "), want, convergenceTimeout, code, output)
			return
		}
	}
}

// eventually runs a command repeatedly until its exit code is as given and its output contains the text. It is for state that converges.
// Commands that make a change run only once, with expect.
func (p *programs) eventually(t *testing.T, code int, text string, args ...string) {
	t.Helper()
	p.poll(t, fmt.Sprintf("exit code %d with %q", code, text), func(output string, got int) bool {
		return got == code && strings.Contains(output, text)
	}, args...)
}

// eventuallyEvent waits until a controller has recorded an event for which pass returns true.
func (p *programs) eventuallyEvent(t *testing.T, want string, pass func(controlapi.Event) bool) {
	t.Helper()
	p.poll(t, "event of the "+want, func(output string, code int) bool {
		var events []controlapi.Event
		return code == exitOK && json.Unmarshal([]byte(output), &events) == nil && slices.ContainsFunc(events, pass)
	}, "events", "--json")
}

// allServers waits until exactly count servers are listed, all ready and none with an overdue heartbeat, and returns them.
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

// request sends a request to a gateway and repeats it only while the status is 503, because the gateway may not have received the servers
// yet. It returns the first response with another status, or the last one before convergenceTimeout ends.
func (p *programs) request(path, id string) simcluster.Response {
	for end := time.Now().Add(convergenceTimeout); ; time.Sleep(pollInterval) {
		response := p.cluster.SendRequest(p.cluster.Gateways[0], http.MethodGet, "h.example", path, id, time.Second)
		if response.Status != http.StatusServiceUnavailable || time.Now().After(end) {
			return response
		}
	}
}
