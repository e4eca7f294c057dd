package gatherer

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"oxbowspan/internal/testing/standin"
)

// A request of which no call is answered is no success, also where the settings demand no share of the answer: the client got 200 with an
// empty list.
func TestRequestWithoutAnsweredCallIsNoSuccess(t *testing.T) {
	broken := startShard(t, "s-broken", func(c *standin.ShardConn, p standin.ShardCall) { c.Respond(p.ID, "broke", "") })
	for queryType, want := range map[string]int{"lookup": http.StatusServiceUnavailable, "post": http.StatusGatewayTimeout} {
		p := startProgram(t, startDiscovery(t, broken), withoutMinimumShare)
		if status, body, _ := p.sendRequest(queryType, 0, 1); status != want {
			t.Errorf("%s: status %d with %s, want %d", queryType, status, body, want)
		}
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

// withoutMinimumShare changes a configuration so that an answer may have any share of its calls.
func withoutMinimumShare(c *Config) {
	c.Settings = []byte(strings.Replace(testSettings, `"leastShare":[1.0,1.0]`, `"leastShare":[0,0]`, 1))
}
