package dataplane

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"oxbowspan/config"
	"oxbowspan/internal/settings"
)

// edgeNumber draws a number at an edge of what a field of the settings or of a configuration can hold.
func edgeNumber(t *rapid.T, field string) float64 {
	return rapid.SampledFrom([]float64{0, 0, math.Copysign(0, -1), -1, 1e-9, 0.5, 1, 10, 1e6, 1e300, -1e300, math.Inf(1), math.Inf(-1), math.NaN()}).Draw(t, field)
}

// edgeScenario is a gateway's settings, limits and routes with numbers at their edges.
type edgeScenario struct {
	bounds   settings.Bounds
	memoryMB float64
	limits   config.Limits
	route    config.Route
}

var edgeScenarioGenerator = rapid.Custom(func(t *rapid.T) edgeScenario {
	integer := func(field string) int {
		return rapid.SampledFrom([]int{0, -1, 1, 2, 1000, math.MaxInt32, math.MinInt32}).Draw(t, field)
	}
	finite := func(field string) float64 { // JSON has no other numbers
		if n := edgeNumber(t, field); !math.IsNaN(n) && !math.IsInf(n, 0) {
			return n
		}
		return 0
	}
	timeout := func(field string) float64 { // so short ones that no request can arrive in time are left out
		if ms := finite(field); ms <= 0 || ms > 100 {
			return ms
		}
		return 0
	}
	return edgeScenario{
		bounds: settings.Bounds{
			GracePeriodS:     edgeNumber(t, "grace_period_s"),
			RetryBudgetRatio: edgeNumber(t, "retry_budget_ratio"),
			BudgetWindowS:    edgeNumber(t, "budget_window_s"),
			BudgetExtraTries: edgeNumber(t, "budget_extra_tries"),
			HasRetryBudget:   rapid.Bool().Draw(t, "has a retry budget"),
		},
		memoryMB: edgeNumber(t, "memory_mb"),
		limits: config.Limits{
			BodyBytes:       integer("body_bytes"),
			HeaderTimeoutMS: timeout("header_timeout_ms"),
			IdleTimeoutMS:   timeout("idle_timeout_ms"),
		},
		route: config.Route{
			Hostname: "h", PathPrefix: "/", RouteKind: config.Retryable, GatheredServices: []string{"a0", "a1"}, TimeoutMS: 900,
			TargetMS: finite("target_ms"), MinimumShare: finite("minimum_share"), Attempts: integer("attempts"), TopRecords: integer("top_records"),
		},
	}
})

// Whatever the numbers of the settings file and of a configuration are, a gateway answers requests, also while servers fail, and does not end. A
// gateway with budget_extra_tries = 0 ended at the first request.
func TestGatewayServesWithNumbersAtTheirEdges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := edgeScenarioGenerator.Draw(rt, "scenario")
		var problem string
		synctest.Test(t, func(t *testing.T) { problem = runEdgeScenario(t, s) })
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

// runEdgeScenario returns what is wrong with the responses of a gateway; "" = nothing.
func runEdgeScenario(t *testing.T, s edgeScenario) (problem string) {
	t.Helper()
	servers := &recordingServers{serviceTime: time.Millisecond, failures: []int{500, 503}}
	b := newTestbed(scenario{Servers: 2, Writes: []writeStep{{}}, Dials: []time.Duration{0}, MemoryMB: s.memoryMB})
	b.bounds = s.bounds
	listeners, reports := b.listenServers(t, servers.serve)
	stop := b.startGateway(t, reports)
	defer func() {
		stop()
		b.stopServers(listeners)
	}()
	single := s.route
	single.PathPrefix, single.GatheredServices, single.Service = "/one/", nil, "one"
	c := testConfiguration(2)
	c.Limits, c.Routes = s.limits, []config.Route{s.route, single}
	b.gateway.loop.post(func() { b.gateway.activateConfig(c, nil, 2) })
	synctest.Wait()
	for i, path := range []string{"/one/x", "/all/x", "/one/x", "/all/x"} {
		conn := b.dialGateway(t)
		conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		io.WriteString(conn, requestText("POST", path, fmt.Sprint("request-", i), 300*time.Millisecond))
		_, err := http.ReadResponse(bufio.NewReader(conn), nil)
		conn.Close()
		if err != nil {
			return fmt.Sprintf("request %d to %s got no response: %v", i, path, err)
		}
	}
	return ""
}
