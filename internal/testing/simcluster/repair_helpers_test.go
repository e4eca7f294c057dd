package simcluster

import (
	"strings"
	"testing"
	"time"

	"oxbowspan/consensus"
	"oxbowspan/controlapi"
)

// acceptors returns the members and the slot of the newest committed value that any running controller knows.
func acceptors(cluster *Cluster) (members []consensus.Member, slot consensus.Slot) {
	for _, controller := range cluster.runningControllers() {
		if value := controller.Controller.CommittedValue(); value != nil && value.Slot >= slot {
			members, slot = value.Members, value.Slot
		}
	}
	return members, slot
}

// isMember reports whether a member of the acceptors is the controller on this machine.
func (m *ControllerNode) isMember(member consensus.Member) bool {
	return member.Address == m.settings().InternalAddress(0)
}

// missingReplicas returns the addresses of the acceptors that do not run or whose disks do not hold the newest committed value
// with a version.
func missingReplicas(cluster *Cluster, version uint64) (addresses []string) {
	members, slot := acceptors(cluster)
	for _, member := range members {
		if !holdsReplica(cluster, member, slot, version) {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

// holdsReplica reports whether an acceptor runs and its disk holds a value with a version, of the given slot or a later one.
func holdsReplica(cluster *Cluster, member consensus.Member, slot consensus.Slot, version uint64) bool {
	for _, controller := range cluster.runningControllers() {
		state, ok := controller.Controller.StoredState()
		if !ok || state.ID != member.ID || state.Value == nil {
			continue
		}
		if state.Value.Slot >= slot && uint64(state.Value.Version) == version {
			return true
		}
	}
	return false
}

// storesVersion reports whether the disk of a running controller holds a value with a version.
func storesVersion(controller *ControllerNode, version uint64) bool {
	state, ok := controller.Controller.StoredState()
	return ok && state.Value != nil && uint64(state.Value.Version) == version
}

// awaitReplicated waits until the disks of all acceptors hold a version, and logs the time that this took.
func awaitReplicated(t *testing.T, cluster *Cluster, version uint64, within time.Duration) {
	t.Helper()
	start := time.Now()
	var missing []string
	replicated := func() bool {
		missing = missingReplicas(cluster, version)
		return len(missing) == 0
	}
	if !eventually(within, 10*time.Millisecond, replicated) {
		t.Errorf("version %d is not on the disks of %s after %v", version, strings.Join(missing, ", "), within)
		return
	}
	t.Logf("version %d is on all disks after %v", version, time.Since(start))
}

// tolerableLosses returns the number of disks that may be lost according to a controller's report.
func tolerableLosses(t *testing.T, cluster *Cluster, controller *ControllerNode) int {
	t.Helper()
	var status controlapi.MembershipStatus
	readJSON(t, cluster, controller, "/-/members/read", &status)
	return status.TolerableLosses
}
