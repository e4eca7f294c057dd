package dataplane

import (
	"io"
	"strings"
	"testing"
	"time"

	"oxbowspan/internal/metrics"
	"oxbowspan/internal/settings"
)

// metricsText returns a gateway's metrics as they are served.
func (b *testbed) metricsText() string { return string(metrics.Append(nil, b.gateway.collectMetrics()...)) }

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
