package dataplane

import (
	"slices"
	"testing"

	"github.com/rs/zerolog"

	"oxbowspan/internal/network"
	"oxbowspan/internal/settings"
	"oxbowspan/rpc"
)

// Addresses of controllers, named by their distance from the gateway of testProcess.
const (
	seedAddress   = "10.0.0.9:7000"
	nearAddress   = "10.0.0.2:7000"
	regionAddress = "10.0.0.3:7000"
	farAddress    = "10.0.0.4:7000"
)

// testProcess returns the process of a gateway in zone "a" of region "r". Zone "b" is in the same region, zone "c" in another.
func testProcess() *process {
	return newProcess(&settings.Settings{
		IPAddress:     "10.0.0.1",
		Zone:          "a",
		Region:        "r",
		Zones:         map[string]string{"a": "r", "b": "r", "c": "s"},
		InternalPorts: []int{7000, 7010},
		SeedAddresses: []string{seedAddress},
	}, network.TCP{}, zerolog.Nop())
}

// controllers returns a controller for each address, with its zone.
func controllers(zoneOf map[string]string) (list []*rpc.Controller) {
	for address, zone := range zoneOf {
		list = append(list, &rpc.Controller{Address: address, Zone: zone})
	}
	return list
}

func TestControllerListOrder(t *testing.T) {
	l := newControllerList(testProcess())
	l.update(controllers(map[string]string{farAddress: "c", regionAddress: "b", nearAddress: "a"}))
	var zones []string
	for _, controller := range l.order {
		zones = append(zones, controller.zone)
	}
	if want := []string{"a", "b"}; !slices.Equal(zones[:2], want) {
		t.Errorf("controllers are ordered by zones %q, want %q first", zones, want)
	}
	if len(zones) != 4 {
		t.Errorf("%d controllers, want 4: the announced ones and the seed", len(zones))
	}
}

func TestControllerListUpdate(t *testing.T) {
	for _, test := range []struct {
		name                 string
		announced            map[string]string // addresses and zones; before, only farAddress was announced, and it is the current controller
		changed, currentKept bool
	}{
		{"same list", map[string]string{farAddress: "c"}, false, true},
		{"another one as far", map[string]string{farAddress: "c", "10.0.0.5:7000": "c"}, true, true},
		{"a nearer one", map[string]string{farAddress: "c", nearAddress: "a"}, true, false},
		{"the current one is gone", map[string]string{"10.0.0.5:7000": "c"}, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newControllerList(testProcess())
			l.update(controllers(map[string]string{farAddress: "c"}))
			for l.current().address != farAddress {
				l.advance()
			}
			changed, currentKept := l.update(controllers(test.announced))
			if changed != test.changed || currentKept != test.currentKept {
				t.Errorf("update() = %v, %v, want %v, %v", changed, currentKept, test.changed, test.currentKept)
			}
			if got := l.current().address == farAddress; got != test.currentKept {
				t.Errorf("the current controller is %s, want %s kept: %v", l.current().address, farAddress, test.currentKept)
			}
		})
	}
}

func TestControllerListAdvance(t *testing.T) {
	l := newControllerList(testProcess())
	l.update(controllers(map[string]string{nearAddress: "a", regionAddress: "b"}))
	polled := map[string]bool{}
	for range len(l.order) {
		polled[l.current().address] = true
		l.advance()
	}
	if len(polled) != len(l.order) {
		t.Errorf("advance() visited %d of %d controllers", len(polled), len(l.order))
	}
	if l.current() != l.order[0] {
		t.Error("advance() does not return to the first controller after the last")
	}
}
