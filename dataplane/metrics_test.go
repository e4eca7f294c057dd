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

// metricsText returns a gateway's metrics as they are served.
func (b *testbed) metricsText() string {
	return string(metrics.Append(nil, b.gateway.collectMetrics()...))
}

// Attempts are counted by their reasons, results by their kinds, and clients that leave.
func TestMetricsOfRequests(t *testing.T) {
	servers := &recordingServers{serviceTime: 15 * time.Millisecond, broken: 1}
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
				t.Errorf("no %q in:\n%s", want, got)
			}
		}
		if strings.Contains(got, "attempts_total{reason=\"retry\"} 0") {
			t.Errorf("no retry is counted:\n%s", got)
		}
	})
}

// Servers that fell silent are tried again beside others, but never beyond the attempts of the request's route: here each request is
// sent to one server of each service.
func TestRecoveringServersKeepAttemptLimit(t *testing.T) {
	for _, path := range []string{"/one/x", "/all/x"} {
		t.Run(strings.ReplaceAll(path, "/", " "), func(t *testing.T) {
			servers := &recordingServers{serviceTime: 15 * time.Millisecond, silent: 6}
			runWithRecordingServers(t, servers, scenario{}, settings.Bounds{}, func(t *testing.T, b *testbed) {
				b.activateAttempts(2, 1)
				time.Sleep(12 * time.Second) // the retry budget is for probation attempts too
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

// requireAttempts requires that no request reached more servers of one service than it may.
func (s *recordingServers) requireAttempts(t *testing.T, limit int) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	reached := map[string]int{}
	over, silent := 0, 0
	for _, a := range s.attempts {
		key := a.service + " " + a.id
		if reached[key]++; reached[key] == limit+1 {
			over++
		}
		if !a.answered {
			silent++
		}
	}
	if over > 0 {
		t.Errorf("%d of %d calls ran on more than %d servers", over, len(reached), limit)
	}
	if silent == 0 || len(reached) == 0 {
		t.Errorf("%d calls, %d unanswered: the test shows nothing", len(reached), silent)
	}
}

// A request that is on its way into the loop while its route goes, and while another route is added, keeps the limits of its own route.
func TestRequestKeepsItsRouteAcrossConfigurations(t *testing.T) {
	servers := &recordingServers{serviceTime: 15 * time.Millisecond, broken: 1}
	runWithRecordingServers(t, servers, scenario{}, settings.Bounds{}, func(t *testing.T, b *testbed) {
		g := b.gateway
		before := g.configs.load()
		once := before.table.Find("h", oncePath+"x")
		if once == nil {
			t.Fatal("no route")
		}
		results := make(chan result, 1)
		r := &request{
			route: before.routes[once], method: "POST", uri: oncePath + "x", attemptID: "q", header: []byte("Host: h\r\nX-Attempt-Id: q\r\n"),
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
		if seen := servers.seen("q"); len(seen) != 1 {
			t.Errorf("a request that must not be repeated reached %d servers", len(seen))
		}
	})
}
