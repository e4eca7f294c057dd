package dayreport

import (
	"errors"
	"math"
	"slices"
	"testing"
)

const dayText = `{"G":0.8,"prices":[["machines",700.0,0.02],["bytes",0.1,0.05]],
"all":{"name":"all","n":400,"late":10,"refused":20,"failed":0,"worth":0.9},
"windows":[{"name":"0","n":100,"late":0,"refused":0,"failed":0,"worth":1.0},
{"name":"2","n":100,"late":10,"refused":10,"failed":0,"worth":0.8},
{"name":"4","n":100,"late":0,"refused":10,"failed":0,"worth":0.9},
{"name":"6","n":100,"late":0,"refused":0,"failed":0,"worth":0.9}],
"events":[{"at_s":2.0,"to_s":6.0,"kind":"slow"},{"at_s":5.9,"to_s":8.0,"kind":"closing"}],
"breaks":{}}`

func TestLosses(t *testing.T) {
	r, err := Parse([]byte(dayText))
	if err != nil {
		t.Fatal(err)
	}
	losses := r.Losses(0.02)
	if len(losses) != 3 {
		t.Fatalf("losses %+v", losses)
	}
	first := losses[0]
	if first.From != 2 || first.To != 4 || !slices.Equal(first.Events, []string{"slow"}) || math.Abs(first.Share-0.05) > 1e-9 || first.MinValue != 0.8 {
		t.Errorf("the greatest loss is %+v", first)
	}
	if partial := first.PartialShare(0.3); math.Abs(partial-0.05*(1-17.0/20)) > 1e-9 {
		t.Errorf("partial responses lost a share of %.4f", partial)
	}
	if got := r.LargestDeduction(); got.Name != "bytes" || got.Share != 0.05 {
		t.Errorf("the largest deduction is %+v", got)
	}
}

// Consecutive windows with the same events are merged into one loss.
func TestConsecutiveWindowsAreMerged(t *testing.T) {
	r, err := Parse([]byte(dayText))
	if err != nil {
		t.Fatal(err)
	}
	r.Events = []Event{{From: 1, To: 20, Kind: "slow"}}
	losses := r.Losses(0)
	if len(losses) != 1 || losses[0].From != 0 || losses[0].To != 8 || losses[0].Counts.Refused != 20 || math.Abs(losses[0].Counts.Value-0.9) > 1e-9 {
		t.Errorf("losses %+v", losses)
	}
}

func TestParseRejectsInvalidReports(t *testing.T) {
	if _, err := Parse([]byte(`{"G":1}`)); !errors.Is(err, ErrNoWindows) {
		t.Errorf("a report without windows: %v", err)
	}
	for _, text := range []string{"", "[]", `{"prices":[["x"]]}`, `{"prices":[[1,2,3]]}`} {
		if _, err := Parse([]byte(text)); err == nil {
			t.Errorf("%q is accepted", text)
		}
	}
}
