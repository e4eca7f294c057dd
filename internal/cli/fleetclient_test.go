package cli

import (
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"oxbowspan/internal/testing/standin"
)

// probeReadiness probes all gatherers repeatedly until the fleet is stopped, and records in maxOut how many were not ready in one round.
func (f *testFleet) probeReadiness() {
	client := &http.Client{Timeout: time.Second}
	for {
		select {
		case <-f.stopped:
			return
		case <-time.After(probeInterval):
		}
		out := 0
		for _, g := range f.gatherers {
			if !f.probe(client, g) {
				out++
			}
		}
		f.mu.Lock()
		f.maxOut = max(f.maxOut, out)
		f.mu.Unlock()
	}
}

// probe reports whether a gatherer is ready. It returns true for one that the test has killed or suspended, which does not count as out.
func (f *testFleet) probe(client *http.Client, g *gathererProcess) bool {
	f.mu.Lock()
	running, interrupted := g.running != nil, g.interrupted
	f.mu.Unlock()
	if interrupted || !running {
		return interrupted
	}
	res, err := client.Get("http://" + g.addr + "/-/ready")
	if err == nil {
		res.Body.Close()
	}
	ready := err == nil && res.StatusCode == http.StatusOK
	f.mu.Lock()
	g.ready = ready
	f.mu.Unlock()
	return ready
}

// sendRequests sends requests to the ready gatherers in turn until the fleet is stopped. Every accepted request must get a final answer.
func (f *testFleet) sendRequests() {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; ; i++ {
		select {
		case <-f.stopped:
			return
		case <-time.After(requestInterval):
		}
		g := f.gatherers[i%len(f.gatherers)]
		f.mu.Lock()
		unavailable := g.interrupted || !g.ready || g.running == nil
		f.mu.Unlock()
		if !unavailable {
			f.sendRequest(client, g, i+1)
		}
	}
}

func (f *testFleet) sendRequest(client *http.Client, g *gathererProcess, id int) {
	request := standin.Request{ID: fmt.Sprintf("%016x", id), QueryType: "lookup", Timeout: 2 * time.Second, Shards: []int{0, 1}, Statement: "t"}
	res, err := request.Send(context.Background(), client, g.addr)
	f.sent.Add(1)
	if err == nil {
		if res.Status == http.StatusOK {
			f.succeeded.Add(1)
		}
		return
	}
	f.mu.Lock()
	interrupted := g.interrupted
	f.mu.Unlock()
	notAccepted := strings.Contains(err.Error(), "refused") || strings.Contains(err.Error(), "reset by peer")
	if !interrupted && !notAccepted {
		f.unanswered.Add(1)
		f.t.Logf("request %d to %s: %v", id, g.name, err)
	}
}

// signal sends a signal to a gatherer, if it runs, and records whether that kills or suspends it.
func (f *testFleet) signal(g *gathererProcess, sig syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if g.running != nil {
		g.interrupted = sig != syscall.SIGCONT && (g.interrupted || sig == syscall.SIGKILL || sig == syscall.SIGSTOP)
		g.running.Signal(sig)
	}
}

// starts returns how often a gatherer has been started.
func (f *testFleet) starts(g *gathererProcess) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return g.starts
}

// drains returns the log lines fleet_drain of a gatherer.
func (f *testFleet) drains(g *gathererProcess) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), g.drains...)
}

// command runs an operator's command to the fleet and returns its output.
func (f *testFleet) command(args ...string) (string, error) {
	operator := filepath.Join(f.dir, "n6.ini")
	out, err := exec.Command(f.program, append([]string{"fleet", "--operator", operator}, args...)...).CombinedOutput()
	return string(out), err
}

func (f *testFleet) mustCommand(args ...string) string {
	f.t.Helper()
	out, err := f.command(args...)
	if err != nil {
		f.t.Fatalf("%s: %s %v", strings.Join(args, " "), out, err)
	}
	return out
}

// status returns the output of the status command, including its error messages.
func (f *testFleet) status() string {
	out, _ := f.command("status")
	return out
}

// await waits until a condition is met, and fails the test with the fleet's status after the timeout.
func (f *testFleet) await(condition string, timeout time.Duration, met func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if met() {
			return
		}
	}
	out, err := f.command("status")
	stateJSON, _ := f.command("status", "--json")
	f.t.Fatalf("not met within %s: %s\n%s%v\n%s", timeout, condition, out, err, stateJSON)
}

// awaitMembers waits until the status shows n members that are in service.
func (f *testFleet) awaitMembers(n int) {
	f.t.Helper()
	f.await(fmt.Sprintf("%d members are in", n), 30*time.Second, func() bool { return strings.Count(f.status(), ": in\n") == n })
}

// awaitLeader waits until the status names a leader and returns it; there is none during an election.
func (f *testFleet) awaitLeader() (leader *gathererProcess) {
	f.t.Helper()
	f.await("there is a leader", 30*time.Second, func() bool {
		_, name, found := strings.Cut(f.status(), "leader ")
		name, _, _ = strings.Cut(name, ",")
		for _, g := range f.gatherers {
			if found && g.name == name {
				leader = g
			}
		}
		return leader != nil
	})
	return leader
}

// checkGuarantees checks that at most maxOut gatherers were out at the same time, that every drain had a permit, and that every
// accepted request had a final answer.
func (f *testFleet) checkGuarantees(maxOut int) {
	f.t.Helper()
	f.mu.Lock()
	if f.maxOut > maxOut {
		f.t.Errorf("%d gatherers were out at the same time, at most %d may be", f.maxOut, maxOut)
	}
	f.mu.Unlock()
	if n := f.unanswered.Load(); n > 0 || f.sent.Load() < 100 {
		f.t.Errorf("%d of %d requests had no final answer", n, f.sent.Load())
	}
	for _, g := range f.gatherers {
		for _, line := range f.drains(g) {
			if !strings.Contains(line, "permitted=true") {
				f.t.Errorf("%s: %s", g.name, line)
			}
		}
	}
}
