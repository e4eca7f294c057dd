package experiment

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"oxbowspan/internal/testing/standin"
)

func TestHolderResultRoundTrip(t *testing.T) {
	want := holderResult{held: 3, failed: 1, opened: 5, closed: 2, statuses: map[int]int{0: 1, 200: 7, 503: 2}, p50: 1.5, p99: 12.25, max: 100}
	got, err := parseHolderResult(want.String())
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
	if got.sent() != 10 {
		t.Errorf("sent() = %d, want 10", got.sent())
	}
	got.add(holderResult{held: 1, statuses: map[int]int{200: 3}, p99: 20})
	if got.held != 4 || got.statuses[200] != 10 || got.p99 != 20 || got.p50 != 1.5 {
		t.Errorf("the sum is %+v", got)
	}
	for _, text := range []string{"held=x", "answered=1", "200=x", "p50="} {
		if _, err := parseHolderResult(text); err == nil {
			t.Errorf("the malformed result %q is accepted", text)
		}
	}
}

// The holder's commands run against a server that accepts connections and never responds.
func TestHolderProcessCommands(t *testing.T) {
	server, err := standin.StartShardServer("s-0", nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Stop()
	var out strings.Builder
	start := time.Now()
	p := newHolderProcess(server.Addr(), "127.0.0.1", 0)
	p.run(strings.NewReader("unknown\n\nsilent 3 50\nchurn 100 20\nquit\nsilent 1 50\n"), &out)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 {
		t.Fatalf("got results %q, want two", lines)
	}
	silent, err := parseHolderResult(lines[0])
	if err != nil || silent.opened != 3 || silent.closed != 0 {
		t.Errorf("silent: %+v, %v", silent, err)
	}
	churn, err := parseHolderResult(lines[1])
	if err != nil || churn.sent() != 2 || churn.statuses[noResponse] != 2 {
		t.Errorf("churn: %+v, %v", churn, err)
	}
	if took := time.Since(start); took > 20*time.Second {
		t.Errorf("the commands took %v", took)
	}
}
