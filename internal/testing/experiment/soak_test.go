package experiment

import (
	"os/exec"
	"path/filepath"
	"testing"
)

// TestSoakOnBuiltPrograms runs the soak experiment on built programs with one seed.
func TestSoakOnBuiltPrograms(t *testing.T) {
	binaries := t.TempDir()
	build := exec.Command("go", "build", "-o", binaries+"/", "oxbowspan/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	archive := filepath.Join(t.TempDir(), "lab.db")
	soak := exec.Command(filepath.Join(binaries, "oxbowlab"), "--archive", archive, "run", "soak", "--quick", "--seed", "1")
	if out, err := soak.CombinedOutput(); err != nil {
		t.Errorf("%v: %s", err, out)
	}
}
