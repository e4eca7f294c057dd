package colony

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"oxbowspan/config"
)

// What the example configuration asks for, and what its servers give.
const (
	ExampleRecords = 20 // of a server's answer
	exampleTop     = 30
	exampleLeast   = 0.5
)

// ExampleServices are the services of the example configuration; FirstCut and SecondCut are two ways to cut its index.
var (
	ExampleServices     = []string{"a0", "a1", "a2", "b0", "b1", "one", "once"}
	FirstCut, SecondCut = []string{"a0", "a1", "a2"}, []string{"b0", "b1"}
)

// Example is a configuration with a gathered, a single and a non-retryable route.
func Example(version uint64, cut []string) []byte {
	c := config.Configuration{Version: version, Limits: config.Limits{HeaderBytes: 16384, BodyBytes: 1 << 18, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000}}
	for _, s := range ExampleServices {
		c.Services = append(c.Services, config.Service{Name: s, HealthPath: "/health", ConnectionLimit: 60, Protocol: "h1"})
	}
	c.Routes = []config.Route{
		{Name: "all", Hostname: "h.example", PathPrefix: "/all/", RouteKind: config.Retryable, TimeoutMS: 1200, TargetMS: 120, GatheredServices: cut, Attempts: 2, TopRecords: exampleTop, MinimumShare: exampleLeast},
		{Name: "one", Hostname: "h.example", PathPrefix: "/one/", RouteKind: config.Retryable, TimeoutMS: 3000, TargetMS: 300, Service: "one", Attempts: 2},
		{Name: "once", Hostname: "h.example", PathPrefix: "/once/", RouteKind: config.NonRetryable, TimeoutMS: 3000, TargetMS: 300, Service: "once", Attempts: 3},
	}
	text, _ := json.Marshal(c)
	return text
}

// Try sends a forager a request of one of the example's kinds, by number, and checks what comes back. It tells whether the
// request was served, and which rule was broken, "" = none.
func (c *Colony) Try(f *ForagerMachine, kind int, id string) (served bool, fault string) {
	switch kind % 3 {
	case 0:
		c.Ledger.Want(slices.Concat(FirstCut, SecondCut)...) // whichever is in force
		a := c.Ask(f, "GET", "h.example", "/all/x", id, time.Second)
		if a.Status != http.StatusOK {
			return false, ""
		}
		return true, CheckGathered(a, id, [][]string{FirstCut, SecondCut}, ExampleRecords, exampleTop, exampleLeast)
	case 1:
		c.Ledger.Want("one")
		a := c.Ask(f, "GET", "h.example", "/one/x", id, time.Second)
		if a.Status == http.StatusOK && !bytes.Equal(a.Body, Records("one", id, ExampleRecords)) {
			return false, "MIXED: not the server's body"
		}
		return a.Status == http.StatusOK, ""
	}
	c.Ledger.Want("once")
	a := c.Ask(f, "POST", "h.example", "/once/x", id, time.Second)
	switch runs := c.Ledger.Runs("once", id); {
	case runs > 1:
		return false, fmt.Sprintf("TWICE: request %s ran %d times", id, runs)
	case runs > 0 && (a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests):
		return false, fmt.Sprintf("REFUSED: request %s ran and was answered %d", id, a.Status)
	}
	return a.Status == http.StatusOK, ""
}
