package simcluster

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"oxbowspan/controlapi"
)

// placementTime is how long controllers have to spread the members over the zones: each change is two slots, and all that are no
// members try at random moments.
const placementTime = 15 * time.Second

// zoneLossCase is a deployment that must survive the loss of a zone or region.
type zoneLossCase struct {
	controllers, machines, zones, regions int
	seeds                                 []int // the first members
}

var zoneLossCases = []zoneLossCase{
	{controllers: 5, zones: 1, seeds: []int{0, 3, 1}},                          // two of the three seeds in one zone
	{controllers: 5, machines: 2, zones: 1, seeds: []int{0, 3, 1}},             // five members in three zones
	{controllers: 7, machines: 1, zones: 1, regions: 1, seeds: []int{0, 3, 6}}, // all seeds in one zone
	{controllers: 7, machines: 2, zones: 1, regions: 1, seeds: []int{1, 4, 0}}, // two machines and one region
	{controllers: 7, machines: 3, zones: 1, seeds: []int{0, 1, 2}},             // all seven are members
}

// TestZoneLossKeepsMajority loses each zone in turn, at any step of a change, of deployments that tolerate the loss of a zone or
// a region. The others acknowledge changes, and what was acknowledged is there, also after a loss of power by all that are left.
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

// awaitPlacement waits until the controllers report that the tolerated zones and regions may be lost.
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

// loseZoneDuringChange loses a zone with its disks a moment after a change is sent.
func loseZoneDuringChange(t *testing.T, cluster *Cluster, zone int, delay time.Duration) {
	t.Helper()
	var operator sync.WaitGroup
	status := 0
	operator.Go(func() {
		status = replaceWithRetry(cluster, 1, ExampleConfiguration(2, SecondSharding), 10)
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
	status = replaceOnRunning(cluster, 2, ExampleConfiguration(3, FirstSharding), 12)
	expectStatus(t, status, http.StatusOK, "change without the zone, after a loss of power")
	checkReadBack(t, cluster, ExampleConfiguration(3, FirstSharding))
}
