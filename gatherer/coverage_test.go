package gatherer

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"oxbowspan/internal/testing/standin"
)

// A request of which no call is answered is no success, whatever share of the answer the settings demand: with 0, or one below the tolerance
// of the comparison, the client got 200 with an empty list. Without the setting the whole answer is demanded.
func TestRequestWithoutAnsweredCallIsNoSuccess(t *testing.T) {
	broken := startShard(t, "s-broken", func(c *standin.ShardConn, p standin.ShardCall) { c.Respond(p.ID, "broke", "") })
	for _, setting := range []string{`"leastShare":[0,0],`, `"leastShare":[-1,-1],`, `"leastShare":[1e-9,1e-9],`, `"leastShare":[4e-5,4e-5],`, ``} {
		t.Run(setting, func(t *testing.T) {
			t.Parallel()
			p := startProgram(t, startDiscovery(t, broken), withLeastShare(setting))
			for queryType, want := range map[string]int{"lookup": http.StatusServiceUnavailable, "post": http.StatusGatewayTimeout} {
				if status, body, _ := p.sendRequest(queryType, 0, 1); status != want {
					t.Errorf("%s: status %d with %s, want %d", queryType, status, body, want)
				}
			}
		})
	}
}

// A request whose fractions add up to a little less than 1 is valid, but was answered 503 although all of its calls were answered. One
// without a call of a fraction below the tolerance was answered as full.
func TestFractionsNeedNotAddUpExactly(t *testing.T) {
	serving := func(c *standin.ShardConn, p standin.ShardCall) { c.Respond(p.ID, "served", "value") }
	broken := func(c *standin.ShardConn, p standin.ShardCall) { c.Respond(p.ID, "broke", "") }
	for _, test := range []struct {
		serve     func(*standin.ShardConn, standin.ShardCall) // of tablet 1
		fractions [2]float64
		want      int
	}{
		{serving, [2]float64{0.4997, 0.4997}, http.StatusOK},
		{serving, [2]float64{0.99999, 0.00001}, http.StatusOK},
		{broken, [2]float64{0.99999, 0.00001}, http.StatusServiceUnavailable},
	} {
		shard := startShard(t, "s-a", func(c *standin.ShardConn, p standin.ShardCall) {
			if p.Shard == 1 {
				test.serve(c, p)
			} else {
				serving(c, p)
			}
		})
		p := startProgram(t, startDiscovery(t, shard), nil)
		r, _ := newRequest(t.Context(), p.addr, "lookup", 0, 1)
		text := fmt.Sprintf(`{"tablets":[{"tablet":0,"fraction":%g},{"tablet":1,"fraction":%g}],"statement":"c41e77d0"}`,
			test.fractions[0], test.fractions[1])
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(text)), int64(len(text))
		res, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(res.Body)
		res.Body.Close()
		if err != nil || res.StatusCode != test.want {
			t.Errorf("fractions %v: status %d with %s (%v), want %d", test.fractions, res.StatusCode, body, err, test.want)
		}
	}
}

// withLeastShare replaces the setting of the least share of a configuration.
func withLeastShare(setting string) func(*Config) {
	return func(c *Config) {
		c.Settings = []byte(strings.Replace(testSettings, `"leastShare":[1.0,1.0],`, setting, 1))
	}
}
