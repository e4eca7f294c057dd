package dataplane

import (
	"slices"
	"testing"

	"oxbowspan/internal/settings"
	"oxbowspan/rpc"
)

// addresses returns the addresses of the known controllers, sorted.
func (l *controllerList) addresses() (addresses []string) {
	for address := range l.known {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

// Seeds that replace others are added to the known controllers at once, and are the only ones that stay if no controller announces others.
func TestReplacedSeedsAreAdopted(t *testing.T) {
	s := &settings.Settings{SeedAddresses: []string{"10.0.0.1:80"}, InternalPorts: []int{7000, 7009}}
	l := newControllerList(&process{settings: s})
	old := l.current().address
	replacement := &settings.Settings{SeedAddresses: []string{"10.0.0.2:80"}, InternalPorts: []int{7000, 7009}}
	l.setSeeds(replacement.SeedControllers())
	if got := l.addresses(); !slices.Equal(got, []string{old}) {
		t.Errorf("known before the seeds are adopted: %q", got)
	}
	l.adoptSeeds()
	adopted := replacement.SeedControllers()[0]
	if got := l.addresses(); !slices.Equal(got, []string{old, adopted}) {
		t.Errorf("known after that: %q, want %q", got, []string{old, adopted})
	}
	l.update([]*rpc.Controller{{Address: "10.0.0.3:7000"}})
	if got := l.addresses(); slices.Contains(got, old) || !slices.Contains(got, adopted) || len(got) != 2 {
		t.Errorf("known after an announcement: %q, want it and %q", got, adopted)
	}
	l.setSeeds(nil)
	l.adoptSeeds()
	l.update(nil)
	if len(l.order) == 0 {
		t.Error("no controller is known after seeds without an address")
	}
}
