package gatherer

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"oxbowspan/balancer"
	"oxbowspan/internal/discovery"
)

// SIGHUP reloads the configuration: an invalid file changes nothing, and a new address of the discovery service takes effect
// without a restart, after which only servers of the new list receive calls.
func TestReloadChangesDiscoveryAddress(t *testing.T) {
	a, b := startShard(t, "s-a", nil), startShard(t, "s-b", nil)
	oldList, newList := startDiscovery(t, a), startDiscovery(t, b)
	newList.SetVersion(1) // its versions are independent of the old list's
	p := startProgram(t, oldList, nil)
	reload := func() { p.cmd.Process.Signal(syscall.SIGHUP) }
	// A missing, truncated or invalid file changes nothing; the next signal reads the corrected one.
	for _, text := range []string{"", `{"listen":"127.0`, `{"listen":"127.0.0.1:0","discovery":"nowhere","settings":{}}`} {
		if os.Remove(p.file); text != "" {
			os.WriteFile(p.file, []byte(text), 0o600)
		}
		reload()
		p.awaitLogLine("event=reload_failed")
	}
	p.config.Limits.Descriptors = 512
	p.configure()
	reload()
	p.awaitLogLine("event=reload ", "moved=false", "needs_restart=limits")
	if status, body, _ := p.sendRequest("lookup", 0); status != 200 || body != completeAnswer(0) {
		t.Errorf("got %d %s", status, body)
	}
	p.config.Discovery = newList.Addr()
	p.configure()
	for range 20 {
		reload()
	}
	p.awaitLogLine("event=reload ", "moved=true")
	p.awaitLogLine("event=discovery_conn_end", "addr="+oldList.Addr(), "reason=moved")
	if q := await(t, newList.Requests, func(string) bool { return true }); q != "/api/targets" {
		t.Errorf("the new discovery service received query %s", q)
	}
	for end := time.Now().Add(testTimeout); len(b.Received) == 0 && time.Now().Before(end); {
		p.sendRequest("lookup", 0)
	}
	before := len(a.Received)
	oldList.Update(a.Entry()) // must have no effect, as its watch has ended
	for range 5 {
		p.sendRequest("lookup", 0)
	}
	if len(a.Received) != before {
		t.Errorf("%d more calls went to the server that only the old discovery service lists", len(a.Received)-before)
	}
	reload()
	p.terminate()
	if err := p.waitExit(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}

// During an outage of the discovery service requests are served with the last list. Updates are received once it is back:
// a draining server gets no further calls.
func TestDiscoveryOutage(t *testing.T) {
	a, b := startShard(t, "s-a", nil), startShard(t, "s-b", nil)
	l := startDiscovery(t, a)
	p := startProgram(t, l, nil)
	await(t, l.Requests, func(string) bool { return true })
	l.SetDown(true)
	p.awaitLogLine("event=discovery_conn_end", "reason=discovery_closed")
	p.awaitLogLine("event=discovery_conn_end", "reason=bad_status")
	if status, _, _ := p.sendRequest("lookup", 0); status != 200 {
		t.Errorf("during the outage a request got %d", status)
	}
	l.SetDown(false)
	drained := a.Entry()
	drained.Health = discovery.Draining
	l.Update(b.Entry())
	l.Update(drained)
	for len(b.Received) == 0 { // the list is requested again with backoff
		p.sendRequest("lookup", 0)
	}
	// The gatherer closes the connection when it learns that the server is draining. Nothing is sent there from then on.
	p.awaitLogLine("event=server_conn_end", "server=s-a", "reason=draining")
	for len(a.Received) > 0 {
		<-a.Received
	}
	for range 20 {
		if status, _, _ := p.sendRequest("lookup", 0); status != 200 {
			t.Errorf("got %d", status)
		}
	}
	if len(a.Received) > 0 {
		t.Error("a call was sent to a draining server")
	}
	drained.Health = discovery.Removed
	l.Update(drained)
	if status, _, _ := p.sendRequest("lookup", 0); status != 200 {
		t.Errorf("got %d", status)
	}
}

// A gatherer starts with the known servers of its configuration and requests only newer versions of the list. Entries with
// a cell that the settings do not have are skipped.
func TestStartFromKnownServers(t *testing.T) {
	dead, a := startShard(t, "s-dead", nil), startShard(t, "s-a", nil)
	dead.Stop()
	l := startDiscovery(t, a)
	l.SetWithoutNotify(discovery.Server{Host: "s-odd", Address: "127.0.0.1:1", Cell: 9, Health: discovery.Up})
	p := startProgram(t, l, func(s *Config) {
		s.KnownServers, _ = json.Marshal(discovery.ServerList{Version: 7, Complete: true, Servers: []discovery.Server{dead.Entry()}})
	})
	if call := await(t, l.Requests, func(string) bool { return true }); !strings.Contains(call, "after=7") ||
		!strings.Contains(call, "watch=1") {
		t.Errorf("the discovery service received %s", call)
	}
	p.awaitLogLine("event=list_entry_left_out", "block 9")
	for {
		if status, body, _ := p.sendRequest("lookup", 0); status == 200 && body == completeAnswer(0) {
			return
		}
	}
}

// Servers are replaced continually by ones with new names: the removed ones must not accumulate in memory or keep
// goroutines.
func TestReplacedServersAreForgotten(t *testing.T) {
	g, err := New(Config{Listen: "127.0.0.1:0", Discovery: "127.0.0.1:1", Settings: json.RawMessage(testSettings)})
	if err != nil {
		t.Fatal(err)
	}
	d, before := g.dispatcher, runtime.NumGoroutine()
	defer d.shutdown()
	for i := range 2000 {
		l := discovery.ServerList{Version: uint64(i), Servers: []discovery.Server{{Host: fmt.Sprint("s-", i), Address: "127.0.0.1:1", Health: discovery.Up}}}
		if i >= 4 {
			l.Servers = append(l.Servers, discovery.Server{Host: fmt.Sprint("s-", i-4), Health: discovery.Removed})
		}
		d.applyServerList(balancer.ListDelta, l)
	}
	if d.listedServers != 4 || len(d.servers) > 2*d.listedServers || len(d.serverIDs) != len(d.servers) {
		t.Errorf("%d servers listed, %d known, %d hosts", d.listedServers, len(d.servers), len(d.serverIDs))
	}
	for end := time.Now().Add(testTimeout); runtime.NumGoroutine() > before+d.listedServers; runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("%d goroutines, %d before", runtime.NumGoroutine(), before)
		}
	}
}
