package controlcli

import (
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"oxbowspan/internal/testing/simcluster"
)

// All controllers are killed in the first milliseconds of their first start, as soon as two of them have created their state files, and
// started again without being told that this is the first start. They must form one core: they were strangers to each other if their identities
// were not in the files yet, and no configuration was ever committed.
func TestCoreSurvivesKillDuringFirstStart(t *testing.T) {
	p := buildPrograms(t)
	files, _, err := p.cluster.WriteSettings()
	if err != nil {
		t.Fatal(err)
	}
	p.settings = files
	for _, file := range files {
		p.startController(file)
	}
	created := func() (count int) {
		for i := range p.controllers {
			if _, err := os.Stat(filepath.Join(p.dataDirectory(i), "hive.db")); err == nil {
				count++
			}
		}
		return count
	}
	for end := time.Now().Add(convergenceTimeout); created() < 2; {
		if time.Now().After(end) {
			t.Fatal("timeout: no state files")
		}
	}
	for _, controller := range p.controllers {
		controller.Process.Signal(syscall.SIGKILL)
	}
	for i, controller := range p.controllers {
		kill(controller)
		p.restartController(t, i)
	}
	body := simcluster.ExampleConfiguration(1, simcluster.ExampleSharding)
	await(t, "committed a configuration", func() bool {
		return p.cluster.ReplaceConfiguration(p.cluster.Controllers[1], 0, body) == http.StatusOK
	})
}
