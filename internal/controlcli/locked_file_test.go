package controlcli

import (
	"bufio"
	"bytes"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"oxbowspan/internal/testing/simcluster"
)

// A controller is killed and started again while another process holds the lock of its state file for some seconds, as a killed process does
// that waits for its disk, and another controller has lost its disk. The controller must wait and continue with its file: it was set aside as
// damaged, two of three disks were lost with it, and the committed configuration was gone for good.
func TestLockOfStateFileIsAwaited(t *testing.T) {
	const lockHeldFor = 5 * time.Second
	p := buildPrograms(t)
	p.startAll()
	body := simcluster.ExampleConfiguration(1, simcluster.ExampleSharding)
	await(t, "committed a configuration", func() bool {
		return p.cluster.ReplaceConfiguration(p.cluster.Controllers[1], 0, body) == http.StatusOK
	})
	const locked, lost = 0, 2
	kill(p.controllers[locked])
	kill(p.controllers[lost])
	p.removeData(t, lost)
	stateFile := filepath.Join(p.dataDirectory(locked), "hive.db")
	file, err := os.OpenFile(stateFile, os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	killedAt := time.Now()
	await(t, "locked the file of the killed controller, whose lock may outlast the process", func() bool {
		return syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil
	})
	t.Logf("the file was locked %v after the controller had ended", time.Since(killedAt))
	unlock := time.AfterFunc(lockHeldFor, func() { file.Close() })
	defer unlock.Stop()
	for _, i := range []int{locked, lost} {
		p.restartController(t, i)
	}
	for _, controller := range p.cluster.Controllers {
		await(t, "read the committed configuration", func() bool {
			return bytes.Equal(p.cluster.ReadConfiguration(controller), body)
		})
	}
	p.expectOnlyStateFile(t, locked)

	// A second process for a running controller waits too, and ends in order when it is stopped.
	second := exec.Command(filepath.Join(p.binaries, controllerName), "--boot", p.settings[locked], "--log-level", "warn", "serve")
	log, err := second.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := second.Start(); err != nil {
		t.Fatal(err)
	}
	defer kill(second)
	if line, err := bufio.NewReader(log).ReadString('\n'); !strings.Contains(line, "waiting for the lock of the state file") {
		t.Errorf("the first log line of a second controller is %q (%v)", line, err)
	}
	second.Process.Signal(syscall.SIGTERM)
	if err := second.Wait(); err != nil {
		t.Errorf("a controller that waits for the lock ends with %v at SIGTERM, want success", err)
	}
	p.expectOnlyStateFile(t, locked)
}

// restartController starts a controller again whose process has ended.
func (p *programs) restartController(t *testing.T, controller int) {
	t.Helper()
	text, err := os.ReadFile(p.settings[controller])
	if err != nil {
		t.Fatal(err)
	}
	text = bytes.Replace(text, []byte("first_start = true"), []byte("first_start = false"), 1)
	if err := os.WriteFile(p.settings[controller], text, 0o600); err != nil {
		t.Fatal(err)
	}
	p.controllers[controller] = p.start(controllerName, p.settings[controller])
}

// expectOnlyStateFile checks that a controller's data directory contains the state file and nothing else, such as a file that was set aside.
func (p *programs) expectOnlyStateFile(t *testing.T, controller int) {
	t.Helper()
	entries, err := os.ReadDir(p.dataDirectory(controller))
	if err != nil || len(entries) != 1 || entries[0].Name() != "hive.db" {
		t.Errorf("the data directory contains %v (%v), want only the state file", entries, err)
	}
}
