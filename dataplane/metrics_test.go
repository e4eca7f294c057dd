package dataplane

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"oxbowspan/config"
	"oxbowspan/internal/metrics"
	"oxbowspan/internal/settings"
)

// metricsText returns the gateway's metrics in the served text format.
func (b *testbed) metricsText() string {
	return string(metrics.Append(nil, b.gateway.collectMetrics()...))
}

// Attempts are counted by reason and results by kind. Clients that leave before their result are counted as well.
func TestMetricsOfRequests(t *testing.T) {
	servers := &recordingServers{serviceTime: 15 * time.Millisecond, malformedEvery: 1}
	runWithRecordingServers(t, servers, scenario{}, settings.Bounds{}, func(t *testing.T, b *testbed) {
		conn := b.dialGateway(t)
		defer conn.Close()
		io.WriteString(conn, requestText("GET", "/one/x", "q", 850*time.Millisecond))
		time.Sleep(2 * time.Second)
		leaving := b.dialGateway(t)
		io.WriteString(leaving, requestText("GET", "/one/x", "r", 850*time.Millisecond))
		time.Sleep(time.Millisecond)
		leaving.Close()
		time.Sleep(time.Second)
		got := b.metricsText()
		for _, want := range []string{
			"oxbowspan_gateway_attempts_total{reason=\"first\"} 2\n",
			"oxbowspan_gateway_attempts_over_limit_total{reason=\"retry\"} 0\n",
			"oxbowspan_gateway_results_total{result=\"failed\"} 2\n",
			"oxbowspan_gateway_clients_left_total 1\n",
			"oxbowspan_gateway_active_version 1\n",
		} {
			if !strings.Contains(got, want) {
				t.Errorf("the metrics do not contain %q:\n%s", want, got)
			}
		}
		if strings.Contains(got, "attempts_total{reason=\"retry\"} 0") {
			t.Errorf("the retries are not counted:\n%s", got)
		}
	})
}

// Probation attempts, which are sent to servers that stopped responding in addition to attempts at other servers, count towards the
// maximum number of attempts of the request's route. Here the maximum is 1: each request may reach only one server of each service.
func TestProbationAttemptsCountTowardsLimit(t *testing.T) {
	for _, path := range []string{"/one/x", "/all/x"} {
		t.Run(strings.ReplaceAll(path, "/", " "), func(t *testing.T) {
			servers := &recordingServers{serviceTime: 15 * time.Millisecond, unansweredRequests: 6}
			runWithRecordingServers(t, servers, scenario{}, settings.Bounds{}, func(t *testing.T, b *testbed) {
				b.activateAttempts(2, 1)
				time.Sleep(12 * time.Second) // the retry budget covers probation attempts as well
				for i := range 400 {
					conn := b.dialGateway(t)
					io.WriteString(conn, requestText("GET", path, fmt.Sprint("request-", i), 850*time.Millisecond))
					go func() {
						time.Sleep(time.Second)
						conn.Close()
					}()
					time.Sleep(20 * time.Millisecond)
				}
				time.Sleep(time.Second)
				servers.requireAttempts(t, 1)
				if got := b.metricsText(); !strings.Contains(got, "attempts_over_limit_total{reason=\"probation\"} 0\n") {
					t.Errorf("attempts over the limit are counted:\n%s", got)
				}
			})
		})
	}
}

// requireAttempts fails the test if a request reached more than limit servers of one service, or if no attempt was left unanswered, in which
// case the test exercises nothing.
func (s *recordingServers) requireAttempts(t *testing.T, limit int) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	attemptCounts := map[string]int{}
	overLimit, unanswered := 0, 0
	for _, a := range s.attempts {
		key := a.service + " " + a.id
		if attemptCounts[key]++; attemptCounts[key] == limit+1 {
			overLimit++
		}
		if !a.answered {
			unanswered++
		}
	}
	if overLimit > 0 {
		t.Errorf("%d of %d calls reached more than %d servers", overLimit, len(attemptCounts), limit)
	}
	if unanswered == 0 || len(attemptCounts) == 0 {
		t.Errorf("%d calls, %d attempts unanswered, want both above 0: the test exercises nothing", len(attemptCounts), unanswered)
	}
}

// A request that is on its way to the loop while its route is removed and another one is added keeps the limits of its own route. If the
// new route took over the query type of the removed one, a request that must not be repeated could be retried.
func TestRequestKeepsItsRouteAcrossConfigurations(t *testing.T) {
	servers := &recordingServers{serviceTime: 15 * time.Millisecond, malformedEvery: 1}
	runWithRecordingServers(t, servers, scenario{}, settings.Bounds{}, func(t *testing.T, b *testbed) {
		g := b.gateway
		before := g.configs.load()
		once := before.table.Find("h", nonRetryablePath+"x")
		if once == nil {
			t.Fatalf("no route for %s", nonRetryablePath+"x")
		}
		results := make(chan result, 1)
		r := &request{
			route: before.routes[once], method: "POST", uri: nonRetryablePath + "x", attemptID: "q", header: []byte("Host: h\r\nX-Attempt-Id: q\r\n"),
			deadline: ticks(800 * time.Millisecond), deliver: func(outcome result) { results <- outcome },
		}
		g.loop.post(func() {
			without := testConfiguration(2)
			without.Routes[0].PathPrefix = "/elsewhere/" // its service stays in use
			without.Routes = append(without.Routes[1:], without.Routes[0])
			g.activateConfig(without, nil, 2)
			with := testConfiguration(3)
			with.Routes[0].PathPrefix = "/elsewhere/"
			with.Routes = append(with.Routes, config.Route{
				Hostname: "h", PathPrefix: "/new/", RouteKind: config.Retryable, TimeoutMS: 900, TargetMS: 90, Service: "one", Attempts: 3,
			})
			g.activateConfig(with, nil, 3)
		})
		g.dispatcher.submit(r)
		outcome := <-results
		outcome.release()
		if seen := servers.attemptsOf("q"); len(seen) != 1 {
			t.Errorf("a request that must not be repeated reached %d servers", len(seen))
		}
	})
}
