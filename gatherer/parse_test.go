package gatherer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"oxbowspan/internal/testing/standin"
)

// A request whose length other servers might parse differently is rejected, and no later request on the connection is
// served.
func TestAmbiguousRequestLengthIsRejected(t *testing.T) {
	a := startShard(t, "s-a", nil)
	p := startProgram(t, startDiscovery(t, a), nil)
	text := `{"tablets":[{"tablet":0,"fraction":1}],"statement":"c41e77d0"}`
	search := func(proto, fields, body string) string {
		_, id := newRequest(context.Background(), p.addr, "lookup", 0)
		return "POST /lookup " + proto + "\r\nHost: x\r\nReq-Id: " + id + "\r\nReq-Kind: lookup\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 1500\r\n" +
			fields + "\r\n" + body
	}
	length := fmt.Sprintf("Content-Length: %d\r\n", len(text))
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(text), text)
	good := search("HTTP/1.1", length, text) + search("HTTP/1.1", "Transfer-Encoding: chunked\r\n", chunks)
	for _, bad := range []string{
		search("HTTP/1.1", length+"Transfer-Encoding: chunked\r\n", chunks),
		search("HTTP/1.1", "Transfer-Encoding:\tChunked\r\ncontent-length: 5\r\n", chunks),
		search("HTTP/1.1", length+length, text),
		search("HTTP/1.1", length+"X: y\r\n z\r\n", text),
		search("HTTP/1.0", "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n", chunks),
	} {
		c, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(testTimeout))
		io.WriteString(c, good+bad+good)
		b, err := io.ReadAll(c)
		if n := strings.Count(string(b), " 200 OK\r\n"); err != nil && !errors.Is(err, syscall.ECONNRESET) || n != 2 ||
			strings.Count(string(b), "HTTP/1.1 400 ")+strings.Count(string(b), "HTTP/1.0 400 ") != 1 {
			t.Errorf("%q got %q, %v", bad, b, err)
		}
	}
	if n := len(a.Received); n != 10 {
		t.Errorf("%d calls reached the server, want those of the ten valid requests", n)
	}
}

// The answers to the calls of two open requests with the same Req-Id could not be distinguished.
func TestDuplicateRequestIDIsRejected(t *testing.T) {
	hold := make(chan struct{})
	a := startShard(t, "s-a", func(c *standin.ShardConn, p standin.ShardCall) {
		go func() {
			<-hold
			c.Respond(p.ID, "served", "value of c41e77d0")
		}()
	})
	p := startProgram(t, startDiscovery(t, a), nil)
	r, id := newRequest(context.Background(), p.addr, "lookup", 0)
	first := make(chan int, 1)
	go func() {
		res, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Error(err)
			return
		}
		res.Body.Close()
		first <- res.StatusCode
	}()
	await(t, a.Received, func(string) bool { return true })
	again := func() int {
		r, _ := newRequest(context.Background(), p.addr, "lookup", 0)
		r.Header.Set("Req-Id", id)
		res, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		return res.StatusCode
	}
	if status := again(); status != http.StatusBadRequest {
		t.Errorf("a second request with the id of an open one got status %d, want 400", status)
	}
	close(hold)
	if status := <-first; status != http.StatusOK {
		t.Errorf("the first request got status %d, want 200", status)
	}
	if status := again(); status != http.StatusOK {
		t.Errorf("after the first request has ended, one with its id got status %d, want 200", status)
	}
}

// callsBody returns the body of a request with calls, which are a list of JSON objects.
func callsBody(calls string) string { return `{"tablets":[` + calls + `],"statement":"x"}` }

// validBody is the body of a valid request.
var validBody = callsBody(`{"tablet":0,"fraction":1}`)

// invalidRequests are requests that are rejected with a status and one line of text. The header replaces that of a
// valid request; "" = none is replaced.
var invalidRequests = []struct {
	name                       string
	status                     int
	method, path, header, body string
}{
	{"truncated body", 400, "POST", "/lookup", "", `{`},
	{"empty body", 400, "POST", "/lookup", "", ``},
	{"no calls", 400, "POST", "/lookup", "", callsBody(``)},
	{"duplicate shard", 400, "POST", "/lookup", "", callsBody(`{"tablet":0,"fraction":1},{"tablet":0,"fraction":1}`)},
	{"shard too high", 400, "POST", "/lookup", "", callsBody(`{"tablet":8,"fraction":1}`)},
	{"shard below 0", 400, "POST", "/lookup", "", callsBody(`{"tablet":-1,"fraction":1}`)},
	{"no shard", 400, "POST", "/lookup", "", callsBody(`{"fraction":1}`)},
	{"no weight", 400, "POST", "/lookup", "", callsBody(`{"tablet":0}`)},
	{"weight below 0", 400, "POST", "/lookup", "", callsBody(`{"tablet":0,"fraction":-1}`)},
	{"weight not finite", 400, "POST", "/lookup", "", callsBody(`{"tablet":0,"fraction":1e999}`)},
	{"guess below 0", 400, "POST", "/lookup", "", callsBody(`{"tablet":0,"fraction":1,"guess":-5}`)},
	{"weight above 1", 400, "POST", "/lookup", "", callsBody(`{"tablet":0,"fraction":1.5}`)},
	{"sum of weights", 400, "POST", "/lookup", "", callsBody(`{"tablet":0,"fraction":0.5},{"tablet":1,"fraction":0.4}`)},
	{"no statement", 400, "POST", "/lookup", "", `{"tablets":[{"tablet":0,"fraction":1}]}`},
	{"statement not a string", 400, "POST", "/lookup", "", `{"tablets":[{"tablet":0,"fraction":1}],"statement":7}`},
	{"body not UTF-8", 400, "POST", "/lookup", "", validBody[:40] + "\xff" + `"}`},
	{"deadline 0", 400, "POST", "/lookup", "Req-Deadline-Ms: 0", validBody},
	{"deadline not a number", 400, "POST", "/lookup", "Req-Deadline-Ms: soon", validBody},
	{"no id", 400, "POST", "/lookup", "Req-Id: ", validBody},
	{"id not hex", 400, "POST", "/lookup", "Req-Id: not-hex", validBody},
	{"unknown customer", 400, "POST", "/lookup", "Req-Owner: nobody", validBody},
	{"type not of the path", 400, "POST", "/lookup", "Req-Kind: post", validBody},
	{"unknown type", 400, "POST", "/odd", "Req-Kind: odd", validBody},
	{"unknown path", 404, "POST", "/odd", "", validBody},
	{"no path", 404, "GET", "/", "", ""},
	{"wrong method", 405, "GET", "/lookup", "", ""},
	{"wrong method of a status", 405, "POST", "/-/ready", "", ""},
	{"body too large", 413, "POST", "/lookup", "", validBody + strings.Repeat(" ", maxBodyBytes)},
}

func TestInvalidRequests(t *testing.T) {
	a := startShard(t, "s-a", nil)
	p := startProgram(t, startDiscovery(t, a), nil)
	for _, test := range invalidRequests {
		t.Run(test.name, func(t *testing.T) {
			valid, _ := newRequest(context.Background(), p.addr, "lookup", 0)
			r, err := http.NewRequest(test.method, "http://"+p.addr+test.path, strings.NewReader(test.body))
			if err != nil {
				t.Fatal(err)
			}
			r.Header = valid.Header
			if name, value, ok := strings.Cut(test.header, ": "); ok {
				r.Header.Set(name, value)
			}
			res, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			defer res.Body.Close()
			b, _ := io.ReadAll(res.Body)
			if text := string(b); res.StatusCode != test.status || strings.Count(text, "\n") != 1 || len(text) < 10 {
				t.Errorf("got %d %q, want %d and one line", res.StatusCode, text, test.status)
			}
		})
	}
	if len(a.Received) > 0 {
		t.Error("an invalid request reached a server")
	}
	if status, _, _ := p.sendRequest("lookup", 0); status != http.StatusOK {
		t.Errorf("a valid request after the invalid ones got status %d, want 200", status)
	}
}

// The connection of an incomplete request is closed at the read timeout, and that of a request that is not HTTP at
// once.
func TestIncompleteRequests(t *testing.T) {
	a := startShard(t, "s-a", nil)
	p := startProgram(t, startDiscovery(t, a), nil)
	for reason, text := range map[string]string{
		"read_limit":  "POST /lookup HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{",
		"bad_request": "\x00\x01\x02 nothing\r\n\r\n",
	} {
		c, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, text)
		p.awaitLogLine("event=client_conn_end", "client="+c.LocalAddr().String(), "reason="+reason)
	}
	if len(a.Received) > 0 {
		t.Error("an incomplete request reached a server")
	}
	if status, _, _ := p.sendRequest("lookup", 0); status != http.StatusOK {
		t.Errorf("a valid request after the invalid ones got status %d, want 200", status)
	}
}
