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

func TestReloadChangesDiscoveryAddress(t *testing.T) {
	a, b := startShard(t, "s-a", nil), startShard(t, "s-b", nil)
	was, is := startList(t, a), startList(t, b)
	is.SetSequence(1) // its versions are its own
	p := start(t, was, nil)
	hup := func() { p.cmd.Process.Signal(syscall.SIGHUP) }
	// A missing, truncated or invalid file changes nothing; the next signal reads the corrected one.
	for _, text := range []string{"", `{"listen":"127.0`, `{"listen":"127.0.0.1:0","discovery":"nowhere","settings":{}}`} {
		if os.Remove(p.file); text != "" {
			os.WriteFile(p.file, []byte(text), 0o600)
		}
		hup()
		p.line("event=reload_failed")
	}
	p.config.Limits.Sockets = 512
	p.configure()
	hup()
	p.line("event=reload ", "moved=false", "needs_restart=limits")
	if status, body, _ := p.ask("lookup", 0); status != 200 || body != completeAnswer(0) {
		t.Errorf("got %d %s", status, body)
	}
	p.config.Discovery = is.Addr()
	p.configure()
	for range 20 {
		hup()
	}
	p.line("event=reload ", "moved=true")
	p.line("event=discovery_conn_end", "addr="+was.Addr(), "reason=moved")
	if q := await(t, is.Requests, func(string) bool { return true }); q != "/api/targets" {
		t.Errorf("the new list service got query %s", q)
	}
	for end := time.Now().Add(testTimeout); len(b.Received) == 0 && time.Now().Before(end); {
		p.ask("lookup", 0)
	}
	before := len(a.Received)
	was.Update(a.Entry()) // its address has changed
	for range 5 {
		p.ask("lookup", 0)
	}
	if len(a.Received) != before {
		t.Errorf("%d more calls went to the server that only the old list service lists", len(a.Received)-before)
	}
	hup()
	p.term()
	if err := p.ends(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}

func TestDiscoveryOutage(t *testing.T) {
	a, b := startShard(t, "s-a", nil), startShard(t, "s-b", nil)
	l := startList(t, a)
	p := start(t, l, nil)
	await(t, l.Requests, func(string) bool { return true })
	l.SetDown(true)
	p.line("event=discovery_conn_end", "reason=discovery_closed")
	p.line("event=discovery_conn_end", "reason=bad_status")
	if status, _, _ := p.ask("lookup", 0); status != 200 {
		t.Errorf("without the list service a request got %d", status)
	}
	l.SetDown(false)
	drained := a.Entry()
	drained.Health = discovery.Draining
	l.Update(b.Entry())
	l.Update(drained)
	for len(b.Received) == 0 { // requested again with backoff
		p.ask("lookup", 0)
	}
	// Its connection ends once the gatherer knows that it drains; nothing is sent there from then on.
	p.line("event=server_conn_end", "server=s-a", "reason=draining")
	for len(a.Received) > 0 {
		<-a.Received
	}
	for range 20 {
		if status, _, _ := p.ask("lookup", 0); status != 200 {
			t.Errorf("got %d", status)
		}
	}
	if len(a.Received) > 0 {
		t.Error("a call was sent to a draining server")
	}
	drained.Health = discovery.Removed
	l.Update(drained)
	if status, _, _ := p.ask("lookup", 0); status != 200 {
		t.Errorf("got %d", status)
	}
}

func TestStartFromKnownServers(t *testing.T) {
	dead, a := startShard(t, "s-dead", nil), startShard(t, "s-a", nil)
	dead.Stop()
	l := startList(t, a)
	l.Set(discovery.Server{Host: "s-odd", Address: "127.0.0.1:1", Cell: 9, Health: discovery.Up})
	p := start(t, l, func(s *Config) {
		s.KnownServers, _ = json.Marshal(discovery.ServerList{Version: 7, Complete: true, Servers: []discovery.Server{dead.Entry()}})
	})
	if call := await(t, l.Requests, func(string) bool { return true }); !strings.Contains(call, "after=7") ||
		!strings.Contains(call, "watch=1") {
		t.Errorf("the list service got %s", call)
	}
	p.line("event=list_entry_left_out", "block 9")
	for {
		if status, body, _ := p.ask("lookup", 0); status == 200 && body == completeAnswer(0) {
			return
		}
	}
}

// Servers come and go under new names without end.
func TestReplacedServersAreForgotten(t *testing.T) {
	g, err := New(Config{Listen: "127.0.0.1:0", Discovery: "127.0.0.1:1", Settings: json.RawMessage(testSettings)})
	if err != nil {
		t.Fatal(err)
	}
	m, before := g.dispatcher, runtime.NumGoroutine()
	defer m.shutdown()
	for i := range 2000 {
		l := discovery.ServerList{Version: uint64(i), Servers: []discovery.Server{{Host: fmt.Sprint("s-", i), Address: "127.0.0.1:1", Health: discovery.Up}}}
		if i >= 4 {
			l.Servers = append(l.Servers, discovery.Server{Host: fmt.Sprint("s-", i-4), Health: discovery.Removed})
		}
		m.applyServerList(balancer.ListDelta, l)
	}
	if m.listedServers != 4 || len(m.servers) > 2*m.listedServers || len(m.serverIDs) != len(m.servers) {
		t.Errorf("%d servers listed, %d known, %d hosts", m.listedServers, len(m.servers), len(m.serverIDs))
	}
	for end := time.Now().Add(testTimeout); runtime.NumGoroutine() > before+m.listedServers; runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("%d goroutines, %d before", runtime.NumGoroutine(), before)
		}
	}
}
