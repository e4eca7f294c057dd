package simcluster

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// zoneReservationPort is the port on which a process listens to reserve a group of zones.
const zoneReservationPort = 9999

// localZones returns the first zone of the group in which this process places its clusters on the loopback network. It keeps the reservation,
// which would end if the listener was garbage-collected.
var localZones = sync.OnceValues(func() (firstZone int, reservation net.Listener) { return reserveZones(os.Getpid()) })

// reserveZones reserves a group of zones on the loopback network for this process, so that no other process on the machine places a cluster at
// the same addresses. It tries all groups, beginning with one that the number start selects, and returns the group's first zone. The
// reservation lasts until the returned listener is closed or the process ends; the listener is nil if all groups are reserved.
func reserveZones(start int) (firstZone int, reservation net.Listener) {
	for i := range localZoneGroups {
		firstZone = 1 + zoneCount*((start+i)%localZoneGroups)
		address := fmt.Sprintf("%d.%d.255.254:%d", loopbackNetwork, firstZone, zoneReservationPort)
		if listener, err := net.Listen("tcp", address); err == nil {
			return firstZone, listener
		}
	}
	return firstZone, nil
}
