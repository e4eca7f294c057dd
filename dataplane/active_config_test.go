package dataplane

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"oxbowspan/balancer"
	"oxbowspan/config"
	"oxbowspan/rpc"
)

func testConfig(version uint64, paths ...string) *config.Configuration {
	c := &config.Configuration{Version: version, Services: []config.Service{{Name: "s"}}}
	for _, path := range paths {
		c.Routes = append(c.Routes, config.Route{Hostname: "h", PathPrefix: path, Service: "s"})
	}
	return c
}

// A route keeps its query type, and with it the balancer's statistics, from one configuration to the next. The query type of a removed
// route is assigned to another route only once no request of the removed route can still be on its way to the loop.
func TestQueryTypesOfRoutes(t *testing.T) { synctest.Test(t, testQueryTypesOfRoutes) }

func testQueryTypesOfRoutes(t *testing.T) {
	c := newComponents(t)
	assignedTypes := func() map[string]balancer.QueryType {
		byPath := map[string]balancer.QueryType{}
		for _, r := range c.configs.load().routes {
			byPath[r.PathPrefix] = r.queryType
		}
		return byPath
	}
	c.configs.activate(testConfig(1, "/a", "/b"), nil, 1)
	first := assignedTypes()
	c.configs.activate(testConfig(2, "/b", "/c"), nil, 2)
	second := assignedTypes()
	if second["/b"] != first["/b"] {
		t.Errorf("/b has query type %d, had %d", second["/b"], first["/b"])
	}
	if second["/c"] == second["/b"] {
		t.Errorf("/b and /c have the same query type %d", second["/c"])
	}
	c.configs.activate(testConfig(3, "/b", "/c", "/d"), nil, 3)
	if third := assignedTypes(); third["/d"] == first["/a"] || third["/d"] == third["/b"] || third["/d"] == third["/c"] {
		t.Errorf("/d has query type %d, which belongs to a route that was just removed or to another route: %v", third["/d"], third)
	}
	time.Sleep(queryTypeReuseDelay)
	c.configs.activate(testConfig(4, "/b", "/c", "/d", "/e"), nil, 4)
	if fourth := assignedTypes(); fourth["/e"] != first["/a"] {
		t.Errorf("/e has query type %d, want %d, which the removed route /a had", fourth["/e"], first["/a"])
	}
	for version := uint64(5); version < 200; version++ {
		time.Sleep(queryTypeReuseDelay / 4)
		c.configs.activate(testConfig(version, fmt.Sprint("/", version)), nil, version)
	}
	for path, queryType := range assignedTypes() {
		if queryType > 10 {
			t.Errorf("%s has query type %d, want at most 10: query types are not reused", path, queryType)
		}
	}
}

func TestActivateIgnoresOldSlots(t *testing.T) {
	c := newComponents(t)
	c.configs.activate(testConfig(7, "/"), []byte("seven"), 3)
	for _, slot := range []uint64{2, 3} {
		c.configs.activate(testConfig(8, "/"), []byte("eight"), slot)
		if got := c.configs.version(); got != 7 {
			t.Errorf("slot %d: version %d is active, want 7", slot, got)
		}
	}
}

func TestFillUpdate(t *testing.T) {
	for _, test := range []struct {
		name      string
		knownSlot uint64
		filled    bool
	}{
		{"older slot known", 2, true},
		{"same slot known", 3, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newComponents(t)
			c.configs.activate(testConfig(7, "/"), []byte("seven"), 3)
			update := &rpc.Update{}
			filled := c.configs.fillUpdate(update, test.knownSlot)
			if filled != test.filled || update.HasConfig != test.filled || update.Slot != 3 {
				t.Errorf("filled %v, HasConfig %v, slot %d, want %v, %v, 3", filled, update.HasConfig, update.Slot, test.filled, test.filled)
			}
			if test.filled && (update.Version != 7 || !slices.Equal(update.Config, []byte("seven"))) {
				t.Errorf("version %d, configuration %q, want 7, \"seven\"", update.Version, update.Config)
			}
		})
	}
}

func TestHealthPath(t *testing.T) {
	c := newComponents(t)
	if got := c.configs.healthPath("s"); got != defaultHealthPath {
		t.Errorf("healthPath(\"s\") = %q without a configuration, want %q", got, defaultHealthPath)
	}
	c.configs.activate(&config.Configuration{Version: 1, Services: []config.Service{{Name: "s", HealthPath: "/up"}, {Name: "o"}}}, nil, 1)
	for service, want := range map[string]string{"s": "/up", "o": defaultHealthPath, "unknown": defaultHealthPath} {
		if got := c.configs.healthPath(service); got != want {
			t.Errorf("healthPath(%q) = %q, want %q", service, got, want)
		}
	}
}
