package controlcli

import (
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"oxbowspan/internal/testing/simcluster"
)

// fullDevice refuses every write with ENOSPC.
const fullDevice = "/dev/full"

// TestControllerStartsOnFullDisk starts a built controller whose disk takes no write. It stays up and answers what it knows; the
// other two agree on the configuration without it. Once its disk takes writes it stores what was decided.
func TestControllerStartsOnFullDisk(t *testing.T) {
	p := buildPrograms(t)
	if err := os.MkdirAll(p.dataDirectory(0), 0o755); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(p.dataDirectory(0), "hive.db")
	if err := os.Symlink(fullDevice, file); err != nil {
		t.Fatal(err)
	}
	p.startAll()
	full := p.cluster.Controllers[0]
	await(t, "the others commit a configuration", func() bool {
		body := simcluster.ExampleConfiguration(1, simcluster.FirstSharding)
		return p.cluster.ReplaceConfiguration(p.cluster.Controllers[1], 0, body) == http.StatusOK
	})
	await(t, "the controller on the full disk answers", func() bool {
		return p.cluster.ReadResource(full, "/-/members/read") != nil && p.cluster.ReadConfiguration(full) != nil
	})
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	await(t, "the disk takes the decided value", func() bool {
		info, err := os.Stat(file)
		return err == nil && info.Size() > int64(len(simcluster.ExampleConfiguration(1, simcluster.FirstSharding)))
	})
}

// await waits until a condition holds, for as long as state takes to reach the programs.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(convergence); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("timeout: not %s", what)
		}
	}
}
