package simcluster

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// fullDevice is a device on which every write fails with ENOSPC.
const fullDevice = "/dev/full"

// fillDisk makes every write to a controller's data file fail with ENOSPC until the returned function is called. It replaces
// the file behind the open descriptor, so that the storage library handles a real write error.
func fillDisk(t *testing.T, controller *ControllerNode) (restore func()) {
	t.Helper()
	descriptor := openDescriptor(t, filepath.Join(controller.dataDir(), "hive.db"))
	original, err := syscall.Dup(descriptor)
	requireNoError(t, err)
	full, err := syscall.Open(fullDevice, syscall.O_RDWR, 0)
	requireNoError(t, err)
	requireNoError(t, syscall.Dup3(full, descriptor, syscall.O_CLOEXEC))
	syscall.Close(full)
	return func() {
		requireNoError(t, syscall.Dup3(original, descriptor, syscall.O_CLOEXEC))
		syscall.Close(original)
	}
}

// openDescriptor returns this process's file descriptor of an open file.
func openDescriptor(t *testing.T, path string) int {
	t.Helper()
	const descriptors = "/proc/self/fd"
	path, err := filepath.EvalSymlinks(path)
	requireNoError(t, err)
	entries, err := os.ReadDir(descriptors)
	requireNoError(t, err)
	for _, entry := range entries {
		target, err := os.Readlink(filepath.Join(descriptors, entry.Name()))
		if err != nil || target != path {
			continue
		}
		var descriptor int
		_, err = fmt.Sscan(entry.Name(), &descriptor)
		requireNoError(t, err)
		return descriptor
	}
	t.Fatalf("%s is not open", path)
	return -1
}

// TestFullDiskRejectsImmediately fills the disk of one controller: it must reject proposals immediately, and the others must
// continue to commit. With two of three disks full no change may be acknowledged; once there is free space, the same change
// must be committed.
func TestFullDiskRejectsImmediately(t *testing.T) {
	const bound = 300 * time.Millisecond
	runCluster(t, 31, 3, 2, func(t *testing.T, cluster *Cluster) {
		commitFirstVersion(t, cluster)
		restoreFirst := fillDisk(t, cluster.Controllers[0])
		for i, to := range cluster.Controllers { // the controller with the full disk may also propose
			version := uint64(2 + i)
			start := time.Now()
			status := cluster.ReplaceConfiguration(to, version-1, ExampleConfiguration(version, ExampleSharding))
			requireStatus(t, status, http.StatusOK, "version %d by controller %d with one disk full", version, i)
			if elapsed := time.Since(start); elapsed > bound {
				t.Errorf("version %d with one disk full took %v, want at most %v", version, elapsed, bound)
			}
		}
		awaitVersion(t, cluster, 4, time.Second)

		restoreSecond := fillDisk(t, cluster.Controllers[1])
		status := cluster.ReplaceConfiguration(cluster.Controllers[2], 4, ExampleConfiguration(5, ExampleResharding))
		if status/100 != 5 && status != 0 {
			t.Fatalf("with two of three disks full a change is answered with %d, want 5xx or no response", status)
		}
		for _, gateway := range cluster.Gateways {
			if version := gateway.Gateway.ActiveVersion(); version != 4 {
				t.Errorf("gateway %s applies version %d, which was not committed", gateway.IP, version)
			}
		}

		restoreFirst()
		restoreSecond()
		status = replaceWithRetry(cluster, 4, ExampleConfiguration(5, ExampleResharding), 5)
		requireStatus(t, status, http.StatusOK, "the same change with space on the disks")
		awaitVersion(t, cluster, 5, time.Second)
		powerCycle(t, cluster)
		time.Sleep(3 * time.Second)
		checkFirstRead(t, cluster, ExampleConfiguration(5, ExampleResharding))
	})
}

// TestPowerLossDuringCommit cuts the power of all controllers at different moments of a commit. Afterwards the change must be
// either committed or not, consistently on all controllers.
func TestPowerLossDuringCommit(t *testing.T) {
	const trials, stepDelay = 14, 700 * time.Microsecond
	committed := 0
	for trial := range trials {
		t.Run(fmt.Sprint(trial), func(t *testing.T) {
			runCluster(t, uint64(40+trial), 3+2*(trial%2), 1, func(t *testing.T, cluster *Cluster) {
				if commitInterrupted(t, cluster, time.Duration(trial)*stepDelay) {
					committed++
				}
			})
		})
	}
	if committed == 0 || committed == trials {
		t.Errorf("%d of %d changes were committed: the power was never lost during a commit", committed, trials)
	}
}

// commitInterrupted sends version 2, cuts the power of all controllers after a delay and checks the outcome. It reports
// whether version 2 was committed.
func commitInterrupted(t *testing.T, cluster *Cluster, delay time.Duration) (committed bool) {
	t.Helper()
	commitFirstVersion(t, cluster)
	body := ExampleConfiguration(2, ExampleResharding)
	status := 0
	var operator sync.WaitGroup
	operator.Go(func() { status = cluster.ReplaceConfiguration(cluster.Controllers[0], 1, body) })
	time.Sleep(delay)
	killAll(true, cluster.Controllers...)
	for i := range cluster.Controllers {
		requireNoError(t, cluster.Controllers[len(cluster.Controllers)-1-i].Start())
	}
	operator.Wait()
	time.Sleep(3 * time.Second)
	found := currentVersion(t, cluster)
	if status == http.StatusOK && found != 2 {
		t.Fatalf("committed configuration is lost: version 2 was acknowledged, %d is read back", found)
	}
	if found != 1 && found != 2 {
		t.Fatalf("version %d is read back, want 1 or 2", found)
	}
	wantOther, wantRepeated := http.StatusOK, http.StatusPreconditionFailed
	if found == 2 {
		wantOther, wantRepeated = wantRepeated, wantOther
	}
	other := replaceWithRetry(cluster, 1, ExampleConfiguration(3, ExampleSharding), 5)
	expectStatus(t, other, wantOther, "another change on version 1 with version %d committed", found)
	for _, controller := range cluster.Controllers {
		repeated := cluster.ReplaceConfiguration(controller, 1, body)
		expectStatus(t, repeated, wantRepeated, "repeated change at %s with version %d committed", controller.IP, found)
	}
	return found == 2
}

// TestInterruptedFirstStart interrupts the first start of a system in several ways and at different moments. Changes must be
// committed and applied afterwards.
func TestInterruptedFirstStart(t *testing.T) {
	interruptions := []struct {
		name      string
		interrupt func(t *testing.T, cluster *Cluster)
	}{
		{"one disk wiped", func(t *testing.T, cluster *Cluster) {
			wiped := cluster.Controllers[1]
			wiped.Kill(true)
			wiped.WipeDisk()
			requireNoError(t, wiped.Start())
		}},
		{"controllers killed repeatedly", func(t *testing.T, cluster *Cluster) {
			for range 3 {
				for _, controller := range cluster.Controllers {
					controller.Kill(false)
					requireNoError(t, controller.Start())
				}
				time.Sleep(15 * time.Millisecond)
			}
		}},
		{"power lost", func(t *testing.T, cluster *Cluster) {
			killAll(true, cluster.Controllers...)
			time.Sleep(time.Second)
			startAll(t, cluster.Controllers...)
		}},
	}
	for trial := range 9 {
		interruption := interruptions[trial%len(interruptions)]
		t.Run(fmt.Sprintf("%s %d", interruption.name, trial), func(t *testing.T) {
			runCluster(t, uint64(60+trial), 3+2*(trial%2), 2, func(t *testing.T, cluster *Cluster) {
				time.Sleep(time.Duration(trial) * 20 * time.Millisecond)
				interruption.interrupt(t, cluster)
				commitFirstVersion(t, cluster)
				commitVersion(t, cluster, 2)
				awaitVersion(t, cluster, 2, configurationApplyMax)
			})
		})
	}
}
