package gatherer

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"oxbowspan/internal/testing/standin"
	"oxbowspan/merge"
)

// A merged request of which no segment is usable is no success, whatever the least share in the settings: with 0, or one below the tolerance of
// the comparison, its client got 200 with an empty list. One segment of four suffices for the shares that it reaches, and is not the full answer.
func TestMergedRequestNeedsOneSegment(t *testing.T) {
	for _, test := range []struct {
		setting     string // in place of the example's least share
		oneSuffices bool
	}{
		{`"leastShare":[1.0,0,1.0],`, true},
		{`"leastShare":[1.0,0.000000001,1.0],`, true},
		{`"leastShare":[1.0,0.25,1.0],`, true},
		{`"leastShare":[1.0,0.25004,1.0],`, false},
		{`"leastShare":[1.0],`, false},
		{``, false},
	} {
		settings := strings.Replace(mergeSettings, `"leastShare":[1.0,0.5,1.0],`, test.setting, 1)
		if settings == mergeSettings {
			t.Fatal("the example's least share has changed")
		}
		for _, fault := range []string{"errors", "corrupt rows"} {
			for usable := range 2 {
				t.Run(fmt.Sprintf("%s %s, %d usable", test.setting, fault, usable), func(t *testing.T) {
					t.Parallel()
					s := startMergeEnvWith(t, settings, standin.DatasetShape{Segments: 4, Accounts: 120}, func(c *standin.ShardConn, p standin.ShardCall, rows string) bool {
						switch {
						case p.Shard < usable:
							return false
						case fault == "errors":
							c.Respond(p.ID, "broke", "")
						default:
							c.Respond(p.ID, "served", rows[:len(rows)-9])
						}
						return true
					}, nil)
					q := s.newSearch("loose", merge.Request{Kind: "ranked", Order: []string{"due"}, Limit: 60})
					q.Timeout = 900 * time.Millisecond
					r, err := q.Send(context.Background(), http.DefaultClient, s.addr)
					success := usable == 1 && test.oneSuffices
					if err != nil || (r.Status == http.StatusOK) != success {
						t.Fatalf("status %d with %.120s (%v), want success %t", r.Status, r.Body, err, success)
					}
					if m, err := standin.ParseMergedResponse(r.Body); success && (err != nil || m.Full) {
						t.Errorf("full %t (%v) with one segment of four", m.Full, err)
					}
				})
			}
		}
	}
}
