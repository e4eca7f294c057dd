package controlcli

import (
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"oxbowspan/internal/testing/simcluster"
)

// fullDevice fails every write with ENOSPC.
const fullDevice = "/dev/full"

// TestControllerStartsOnFullDisk starts a built controller whose disk fails every write. It must keep running and serve reads, while the
// other two controllers decide a configuration without it. Once writes succeed, it must store the decided value.
func TestControllerStartsOnFullDisk(t *testing.T) {
	p := buildPrograms(t)
	if err := os.MkdirAll(p.dataDirectory(0), 0o755); err != nil {
		t.Fatal(err)
	}
	stateFile := filepath.Join(p.dataDirectory(0), "hive.db")
	if err := os.Symlink(fullDevice, stateFile); err != nil {
		t.Fatal(err)
	}
	p.startAll()
	fullNode := p.cluster.Controllers[0]
	await(t, "committed a configuration on the other controllers", func() bool {
		body := simcluster.ExampleConfiguration(1, simcluster.ExampleSharding)
		return p.cluster.ReplaceConfiguration(p.cluster.Controllers[1], 0, body) == http.StatusOK
	})
	await(t, "served reads by the controller on the full disk", func() bool {
		return p.cluster.ReadResource(fullNode, "/-/members/read") != nil && p.cluster.ReadConfiguration(fullNode) != nil
	})
	if err := os.Remove(stateFile); err != nil {
		t.Fatal(err)
	}
	await(t, "stored the decided value after writes succeed again", func() bool {
		info, err := os.Stat(stateFile)
		return err == nil && info.Size() > int64(len(simcluster.ExampleConfiguration(1, simcluster.ExampleSharding)))
	})
}

// await waits until a condition holds, and fails the test after convergenceTimeout.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(convergenceTimeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("timeout: not %s", what)
		}
	}
}
