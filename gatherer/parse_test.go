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

// A request whose length other servers might read differently is refused, and nothing after it is served.
func TestAmbiguousRequestLengthIsRejected(t *testing.T) {
	a := startShard(t, "s-a", nil)
	p := start(t, startList(t, a), nil)
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

// Answers to the calls of two requests with one id could not be told apart.
func TestDuplicateRequestIDIsRejected(t *testing.T) {
	hold := make(chan struct{})
	a := startShard(t, "s-a", func(c *standin.ShardConn, p standin.ShardCall) {
		go func() {
			<-hold
			c.Respond(p.ID, "served", "value of c41e77d0")
		}()
	})
	p := start(t, startList(t, a), nil)
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
		t.Errorf("a second request with the id of an open one got %d", status)
	}
	close(hold)
	if status := <-first; status != http.StatusOK {
		t.Errorf("the first request got %d", status)
	}
	if status := again(); status != http.StatusOK {
		t.Errorf("after the first has ended it got %d", status)
	}
}

func TestInvalidRequests(t *testing.T) {
	a := startShard(t, "s-a", nil)
	p := start(t, startList(t, a), nil)
	parts := func(text string) string { return `{"tablets":[` + text + `],"statement":"x"}` }
	for _, c := range []struct {
		status int
		method string
		path   string
		header string
		body   string
	}{
		{400, "POST", "/lookup", "", `{`},
		{400, "POST", "/lookup", "", ``},
		{400, "POST", "/lookup", "", parts(``)},
		{400, "POST", "/lookup", "", parts(`{"tablet":0,"fraction":1},{"tablet":0,"fraction":1}`)},
		{400, "POST", "/lookup", "", parts(`{"tablet":8,"fraction":1}`)},
		{400, "POST", "/lookup", "", parts(`{"tablet":-1,"fraction":1}`)},
		{400, "POST", "/lookup", "", parts(`{"fraction":1}`)},
		{400, "POST", "/lookup", "", parts(`{"tablet":0}`)},
		{400, "POST", "/lookup", "", parts(`{"tablet":0,"fraction":-1}`)},
		{400, "POST", "/lookup", "", parts(`{"tablet":0,"fraction":1e999}`)},
		{400, "POST", "/lookup", "", parts(`{"tablet":0,"fraction":1,"guess":-5}`)},
		{400, "POST", "/lookup", "", parts(`{"tablet":0,"fraction":1.5}`)},
		{400, "POST", "/lookup", "", parts(`{"tablet":0,"fraction":0.5},{"tablet":1,"fraction":0.4}`)},
		{400, "POST", "/lookup", "", `{"tablets":[{"tablet":0,"fraction":1}]}`},
		{400, "POST", "/lookup", "", `{"tablets":[{"tablet":0,"fraction":1}],"statement":7}`},
		{400, "POST", "/lookup", "", parts(`{"tablet":0,"fraction":1}`)[:40] + "\xff" + `"}`},
		{400, "POST", "/lookup", "Req-Deadline-Ms: 0", parts(`{"tablet":0,"fraction":1}`)},
		{400, "POST", "/lookup", "Req-Deadline-Ms: soon", parts(`{"tablet":0,"fraction":1}`)},
		{400, "POST", "/lookup", "Req-Id: ", parts(`{"tablet":0,"fraction":1}`)},
		{400, "POST", "/lookup", "Req-Id: not-hex", parts(`{"tablet":0,"fraction":1}`)},
		{400, "POST", "/lookup", "Req-Owner: nobody", parts(`{"tablet":0,"fraction":1}`)},
		{400, "POST", "/lookup", "Req-Kind: post", parts(`{"tablet":0,"fraction":1}`)},
		{400, "POST", "/odd", "Req-Kind: odd", parts(`{"tablet":0,"fraction":1}`)},
		{404, "POST", "/odd", "", parts(`{"tablet":0,"fraction":1}`)},
		{404, "GET", "/", "", ""},
		{405, "GET", "/lookup", "", ""},
		{405, "POST", "/-/ready", "", ""},
		{413, "POST", "/lookup", "", parts(`{"tablet":0,"fraction":1}`) + strings.Repeat(" ", maxBodyBytes)},
	} {
		r, _ := newRequest(context.Background(), p.addr, "lookup", 0)
		again, err := http.NewRequest(c.method, "http://"+p.addr+c.path, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		again.Header = r.Header
		if name, v, ok := strings.Cut(c.header, ": "); ok {
			again.Header.Set(name, v)
		}
		res, err := http.DefaultClient.Do(again)
		if err != nil {
			t.Errorf("%+.100v: %v", c, err)
			continue
		}
		b, _ := io.ReadAll(res.Body)
		res.Body.Close()
		if text := string(b); res.StatusCode != c.status || strings.Count(text, "\n") != 1 || len(text) < 10 {
			t.Errorf("%+.100v: got %d %q", c, res.StatusCode, text)
		}
	}
	if len(a.Received) > 0 {
		t.Error("an invalid request reached a server")
	}
	// An incomplete request ends at the read timeout, and one that is not HTTP at once.
	half, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer half.Close()
	fmt.Fprintf(half, "POST /lookup HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{")
	p.line("event=client_conn_end", "client="+half.LocalAddr().String(), "reason=read_limit")
	noise, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer noise.Close()
	fmt.Fprintf(noise, "\x00\x01\x02 nothing\r\n\r\n")
	p.line("event=client_conn_end", "client="+noise.LocalAddr().String(), "reason=bad_request")
	if status, _, _ := p.ask("lookup", 0); status != 200 {
		t.Errorf("after all that a request got %d", status)
	}
}
