package gatherer

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"oxbowspan/internal/frame"
	"oxbowspan/internal/testing/standin"
)

func TestRequestsReuseServerConnection(t *testing.T) {
	a := startShard(t, "s-a", nil)
	p := startProgram(t, startDiscovery(t, a), nil)
	for range 3 {
		if status, body, _ := p.sendRequest("lookup", 0, 1, 2); status != 200 || body != completeAnswer(0, 1, 2) {
			t.Fatalf("got %d %s", status, body)
		}
	}
	if conns, frames := a.Counts(); conns != 1 || frames != 3 {
		t.Errorf("%d connections and %d frames, want 1 and 3", conns, frames)
	}
	// A request with more calls than fit in one frame, and with a body of unknown length.
	r, _ := newRequest(context.Background(), p.addr, "lookup", 0, 1, 2, 3, 4)
	r.ContentLength, r.Body = -1, struct{ io.ReadCloser }{r.Body}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if b, _ := io.ReadAll(res.Body); string(b) != completeAnswer(0, 1, 2, 3, 4) || res.ContentLength != int64(len(b)) {
		t.Errorf("got %s with length %d", b, res.ContentLength)
	}
	if _, frames := a.Counts(); frames != 5 {
		t.Errorf("%d frames, want 5", frames)
	}
}

func TestServerFailureDuringRequest(t *testing.T) {
	a := startShard(t, "s-a", func(c *standin.ShardConn, _ standin.ShardCall) { c.Reset() })
	b := startShard(t, "s-b", func(c *standin.ShardConn, _ standin.ShardCall) { c.Reset() })
	l := startDiscovery(t, a, b)
	p := startProgram(t, l, nil)
	// A call that is not idempotent may have run on the broken connection, so its request is neither retried nor shed.
	status, _, id := p.sendRequest("post", 0)
	if status != http.StatusGatewayTimeout {
		t.Errorf("a request whose call may have run got status %d, want 504", status)
	}
	first := a
	if len(b.Received) > 0 {
		first = b
	}
	if got := <-first.Received; got != id+".0" || len(a.Received)+len(b.Received) > 0 {
		t.Errorf("sent %s and %d more, want %s.0 alone", got, len(a.Received)+len(b.Received), id)
	}
	p.awaitLogLine("event=server_conn_end", "server="+first.Host, "reason=reset")
	// An idempotent request is retried on the other server.
	c := startShard(t, "s-c", nil)
	l.Update(c.Entry())
	await(t, l.Requests, func(string) bool { return true })
	for range 20 {
		if status, body, _ := p.sendRequest("lookup", 0, 1); status == 200 && body == completeAnswer(0, 1) {
			return
		}
	}
	t.Error("of 20 idempotent requests none was answered, although one of three servers works")
}

func TestRefusedConnectionIsRetried(t *testing.T) {
	a, b := startShard(t, "s-a", nil), startShard(t, "s-b", nil)
	a.Stop()
	p := startProgram(t, startDiscovery(t, a, b), nil)
	for i := range 20 {
		if status, body, _ := p.sendRequest("post", i%8); status != 200 || body != completeAnswer(i%8) {
			t.Fatalf("request %d got %d %s", i, status, body)
		}
	}
	p.awaitLogLine("event=server_connect_failed", "server=s-a", "reason=refused")
}

func TestRejectedAndFailedCallsAreRetried(t *testing.T) {
	full := startShard(t, "s-full", func(c *standin.ShardConn, p standin.ShardCall) { c.Respond(p.ID, "skipped", "") })
	b := startShard(t, "s-b", nil)
	p := startProgram(t, startDiscovery(t, full, b), nil)
	for range 10 {
		if status, body, _ := p.sendRequest("post", 0, 1); status != 200 || body != completeAnswer(0, 1) {
			t.Fatalf("got %d %s", status, body)
		}
	}
	broken := startShard(t, "s-broken", func(c *standin.ShardConn, p standin.ShardCall) { c.Respond(p.ID, "broke", "") })
	p = startProgram(t, startDiscovery(t, broken), nil)
	if status, _, _ := p.sendRequest("post", 0); status != http.StatusGatewayTimeout {
		t.Errorf("a request whose call may have run got status %d, want 504", status)
	}
}

func TestClientDisconnectCancelsCalls(t *testing.T) {
	a := startShard(t, "s-a", func(*standin.ShardConn, standin.ShardCall) {})
	p := startProgram(t, startDiscovery(t, a), withoutTimeLimits) // no deadline cancels the call
	ctx, cancel := context.WithCancel(context.Background())
	r, id := newRequest(ctx, p.addr, "lookup", 3)
	r.Header.Set("Req-Deadline-Ms", longDeadline)
	go func() {
		await(t, a.Received, func(s string) bool { return s == id+".3" })
		cancel()
	}()
	if _, err := http.DefaultClient.Do(r); err == nil {
		t.Error("the request of a client that disconnected got a response")
	}
	await(t, a.Received, func(s string) bool { return s == "c "+id+".3" })
	p.awaitLogLine("event=client_conn_end", "reason=client_left")
}

func TestDeadlineCancelsCall(t *testing.T) {
	a := startShard(t, "s-a", func(*standin.ShardConn, standin.ShardCall) {})
	p := startProgram(t, startDiscovery(t, a), nil)
	if status, _, _ := p.sendRequest("post", 0); status != http.StatusGatewayTimeout {
		t.Errorf("got %d", status)
	}
	await(t, a.Received, func(s string) bool { return strings.HasPrefix(s, "c ") })
}

func TestMalformedServersAreReset(t *testing.T) {
	malformed := map[string]string{
		"bad_form":      "\xff\xff\xff\xffa",
		"bad_form ":     "\x00\x00\x00\x02zz",
		"bad_form  ":    string(frame.New(frame.ResponseFrame, "one two\nx")),
		"server_fault":  string(frame.New(frame.ErrorFrame, "not understood")),
		"server_closed": "",
	}
	for reason, text := range malformed {
		bad := startShard(t, "s-bad", func(c *standin.ShardConn, _ standin.ShardCall) {
			io.WriteString(c, text)
			c.Close()
		})
		p := startProgram(t, startDiscovery(t, bad), nil)
		if status, _, _ := p.sendRequest("post", 0); status != http.StatusGatewayTimeout {
			t.Errorf("%s: got %d", reason, status)
		}
		p.awaitLogLine("event=server_conn_end", "reason="+strings.TrimSpace(reason)+" ")
	}
}

func TestDuplicateAnswersAreIgnored(t *testing.T) {
	a := startShard(t, "s-a", nil)
	a.Handle = func(c *standin.ShardConn, p standin.ShardCall) {
		c.Respond(p.ID, "served", "value of c41e77d0")
		c.Respond(p.ID, "served", "again")
	}
	p := startProgram(t, startDiscovery(t, a), nil)
	for range 20 {
		if status, body, _ := p.sendRequest("lookup", 0); status != 200 || body != completeAnswer(0) {
			t.Fatalf("got %d %s", status, body)
		}
	}
	p.awaitLogLine("event=server_conn_end", "reason=bad_form")
}
