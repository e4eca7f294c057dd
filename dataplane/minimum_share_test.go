package dataplane

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"oxbowspan/config"
	"oxbowspan/internal/settings"
)

// A gathered route is answered with success only if at least one shard and at least the route's minimum share of them have answered. With
// a minimum share of 0, or one that exceeds a share of the shards by less than the tolerance of the balancer, fewer were enough.
func TestMinimumShareOfGatheredRoute(t *testing.T) {
	three := []string{"a0", "a1", "one"}
	for _, test := range []struct {
		share    float64
		shards   []string
		failures int // shards whose servers fail
		want     int
	}{
		{0, three[:1], 1, http.StatusGatewayTimeout},
		{0, three[:1], 0, http.StatusOK},
		{0, three, 3, http.StatusGatewayTimeout},
		{0, three, 2, http.StatusOK},
		{-1, three, 3, http.StatusGatewayTimeout},
		{1e-9, three, 3, http.StatusGatewayTimeout},
		{0.5, three[:2], 2, http.StatusGatewayTimeout},
		{0.5, three[:2], 1, http.StatusOK},
		{0.33333, three, 2, http.StatusOK},
		{0.33334, three, 2, http.StatusGatewayTimeout},
		{0.6666, three, 1, http.StatusOK},
		{2.0 / 3, three, 1, http.StatusOK},
		{0.66668, three, 1, http.StatusGatewayTimeout},
		{1, three, 1, http.StatusGatewayTimeout},
		{1, three, 0, http.StatusOK},
	} {
		t.Run(fmt.Sprintf("share %v, %d of %d fail", test.share, test.failures, len(test.shards)), func(t *testing.T) {
			servers := &recordingServers{serviceTime: time.Millisecond, failures: make([]int, test.failures)}
			for i := range servers.failures {
				servers.failures[i] = http.StatusInternalServerError
			}
			runWithRecordingServers(t, servers, scenario{}, settings.Bounds{}, func(t *testing.T, b *testbed) {
				c := testConfiguration(2)
				c.Routes = []config.Route{{Hostname: "h", PathPrefix: "/all/", RouteKind: config.Retryable, TimeoutMS: 900, TargetMS: 90,
					GatheredServices: test.shards, Attempts: 1, TopRecords: 6, MinimumShare: test.share}}
				b.gateway.loop.post(func() { b.gateway.activateConfig(c, nil, 2) })
				synctest.Wait()
				conn := b.dialGateway(t)
				defer conn.Close()
				io.WriteString(conn, requestText("GET", "/all/x", "q", 500*time.Millisecond))
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					t.Error(err)
					return
				}
				parts := resp.Header.Get("X-Part-Seals")
				if resp.StatusCode != test.want {
					t.Errorf("status %d with the parts %q, want %d", resp.StatusCode, parts, test.want)
				}
				if count := len(strings.Split(parts, ",")); resp.StatusCode == http.StatusOK && (parts == "" || count != len(test.shards)-test.failures) {
					t.Errorf("the parts are %q, want %d", parts, len(test.shards)-test.failures)
				}
			})
		})
	}
}
