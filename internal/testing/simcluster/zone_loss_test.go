package simcluster

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"oxbowspan/controlapi"
)

// placementTime bounds the time until the members are spread over the zones: each change of the members needs two slots, and all
// controllers that are not members try at random moments.
const placementTime = 15 * time.Second

// zoneLossCase describes a deployment that must tolerate the loss of a zone or region.
type zoneLossCase struct {
	controllers, machines, zones, regions int
	seeds                                 []int // indices of the first members
}

var zoneLossCases = []zoneLossCase{
	{controllers: 5, zones: 1, seeds: []int{0, 3, 1}},                          // two of the three seeds in one zone
	{controllers: 5, machines: 2, zones: 1, seeds: []int{0, 3, 1}},             // five members in three zones
	{controllers: 7, machines: 1, zones: 1, regions: 1, seeds: []int{0, 3, 6}}, // all seeds in one zone
	{controllers: 7, machines: 2, zones: 1, regions: 1, seeds: []int{1, 4, 0}}, // two machines and one region
	{controllers: 7, machines: 3, zones: 1, seeds: []int{0, 1, 2}},             // all seven are members
}

// TestZoneLossKeepsMajority loses each zone in turn, at different moments of a change, in deployments that tolerate the loss of a
// zone or a region. The remaining controllers must acknowledge changes, and no acknowledged change may be lost, also after all of
// them lose power.
func TestZoneLossKeepsMajority(t *testing.T) {
	for i, test := range zoneLossCases {
		for zone := range zoneCount {
			name := fmt.Sprintf("%d controllers, %d zones, %d regions, %d: zone %d", test.controllers, test.zones, test.regions, i, zone)
			t.Run(name, func(t *testing.T) {
				runBubble(t, uint64(3500+10*i+zone), test.controllers, 1, func(t *testing.T, cluster *Cluster) {
					startZoneLossCase(t, cluster, test)
					awaitPlacement(t, cluster)
					time.Sleep(catchUpTime)
					loseZoneDuringChange(t, cluster, zone, time.Duration(4*i+7*zone)*time.Millisecond)
				})
			})
		}
	}
}

func startZoneLossCase(t *testing.T, cluster *Cluster, test zoneLossCase) {
	t.Helper()
	cluster.toleratedFailures, cluster.toleratedZones, cluster.toleratedRegions = test.machines, test.zones, test.regions
	var seeds []*ControllerNode
	for _, i := range test.seeds {
		seeds = append(seeds, cluster.Controllers[i])
	}
	cluster.SetSeeds(seeds...)
	requireNoError(t, cluster.Start())
	commitFirstVersion(t, cluster)
}

// awaitPlacement waits until the first controller reports that the system tolerates the configured losses.
func awaitPlacement(t *testing.T, cluster *Cluster) {
	t.Helper()
	var status controlapi.MembershipStatus
	placed := func() bool {
		readJSON(t, cluster, cluster.Controllers[0], "/-/members/read", &status)
		return status.Stable && status.TolerableZones >= cluster.toleratedZones && status.TolerableRegions >= cluster.toleratedRegions &&
			status.TolerableLosses >= cluster.toleratedFailures
	}
	if !eventually(placementTime, 100*time.Millisecond, placed) {
		t.Fatalf("the members are %+v after %v", status, placementTime)
	}
}

// loseZoneDuringChange cuts the power of a zone and wipes its disks a delay after a change is sent, and checks that the change is
// committed and not lost.
func loseZoneDuringChange(t *testing.T, cluster *Cluster, zone int, delay time.Duration) {
	t.Helper()
	var operator sync.WaitGroup
	status := 0
	operator.Go(func() {
		status = replaceWithRetry(cluster, 1, ExampleConfiguration(2, ExampleResharding), 10)
	})
	time.Sleep(delay)
	for _, controller := range cluster.Controllers {
		if zoneOf(controller.IP) == zoneName(fmt.Sprint(zone)) {
			controller.Kill(true)
			controller.WipeDisk()
		}
	}
	operator.Wait()
	requireStatus(t, status, http.StatusOK, "change while a zone is lost")
	powerCycle(t, cluster)
	status = replaceOnRunning(cluster, 2, ExampleConfiguration(3, ExampleSharding), 12)
	expectStatus(t, status, http.StatusOK, "change without the zone, after a power loss")
	checkReadBack(t, cluster, ExampleConfiguration(3, ExampleSharding))
}
