package dataplane

import (
	"cmp"
	"slices"
	"sync/atomic"

	"oxbowspan/internal/settings"
	"oxbowspan/rendezvous"
	"oxbowspan/rpc"
)

// controllerAddress is a controller that may be polled.
type controllerAddress struct {
	address string // internal address
	zone    string // "" = unknown: a seed that no update has listed
}

// controllerList orders the known controllers by distance, the nearest first. Controllers at the same distance are in an order of this
// gateway's own (rendezvous hashing), so that gateways are spread over them. It does no I/O and is owned by the configFollower's goroutine.
type controllerList struct {
	self     rendezvous.Name
	settings *settings.Settings
	seeds    []string                     // internal addresses
	newSeeds atomic.Pointer[[]string]     // set by setSeeds until they are adopted
	known    map[string]controllerAddress // by address
	order    []controllerAddress
	position int // index of the current controller in order, modulo its length; grows without bound
}

func newControllerList(p *process) *controllerList {
	l := &controllerList{self: p.name, settings: p.settings, seeds: p.settings.SeedControllers()}
	l.known = l.seedControllers()
	l.sort()
	return l
}

// seedControllers returns the seeds by address.
func (l *controllerList) seedControllers() map[string]controllerAddress {
	seeds := map[string]controllerAddress{}
	for _, address := range l.seeds {
		seeds[address] = controllerAddress{address: address}
	}
	return seeds
}

// setSeeds replaces the seeds, unless there are none in addresses. It is safe for concurrent use.
func (l *controllerList) setSeeds(addresses []string) {
	if len(addresses) > 0 {
		l.newSeeds.Store(&addresses)
	}
}

// adoptSeeds adds the seeds that were set since the last call to the known controllers.
func (l *controllerList) adoptSeeds() {
	replaced := l.newSeeds.Swap(nil)
	if replaced == nil {
		return
	}
	l.seeds = *replaced
	for address, seed := range l.seedControllers() {
		if _, known := l.known[address]; !known {
			l.known[address] = seed
		}
	}
	l.sort()
}

// current returns the controller to poll.
func (l *controllerList) current() controllerAddress { return l.order[l.position%len(l.order)] }

// advance makes the next controller the current one.
func (l *controllerList) advance() { l.position++ }

// update replaces the known controllers by the announced ones and the seeds. It reports whether the list has changed, and whether the
// current controller is still the current one: it is, unless it is no longer listed or a nearer one is known.
func (l *controllerList) update(announced []*rpc.Controller) (changed, currentKept bool) {
	known := l.seedControllers()
	for _, controller := range announced {
		known[controller.Address] = controllerAddress{address: controller.Address, zone: controller.Zone}
	}
	if sameControllers(known, l.known) {
		return false, true
	}
	current := l.current().address
	l.known = known
	l.sort()
	index := slices.IndexFunc(l.order, func(c controllerAddress) bool { return c.address == current })
	if index < 0 || l.distance(l.order[index].zone) > l.distance(l.order[0].zone) {
		return true, false
	}
	l.position = index
	return true, true
}

// sort orders the known controllers by distance and weight, and makes the first the current one.
func (l *controllerList) sort() {
	l.order = l.order[:0]
	for _, controller := range l.known {
		l.order = append(l.order, controller)
	}
	slices.SortFunc(l.order, func(a, b controllerAddress) int {
		return cmp.Or(cmp.Compare(l.distance(a.zone), l.distance(b.zone)), cmp.Compare(l.weight(a), l.weight(b)))
	})
	l.position = 0
}

// weight returns the rendezvous weight of a controller for this gateway.
func (l *controllerList) weight(c controllerAddress) uint64 {
	return rendezvous.Weight(rendezvous.Name(c.address), l.self)
}

// Distances of a zone from this gateway's zone.
const (
	distanceSameZone = iota
	distanceSameRegion
	distanceFar
)

// distance returns the distance of a zone from this gateway's zone. An unknown zone counts as far.
func (l *controllerList) distance(zone string) int {
	switch {
	case zone == l.settings.Zone:
		return distanceSameZone
	case l.settings.Zones[zone] == l.settings.Region:
		return distanceSameRegion
	}
	return distanceFar
}

func sameControllers(a, b map[string]controllerAddress) bool {
	for address, controller := range a {
		if b[address] != controller {
			return false
		}
	}
	return len(a) == len(b)
}
