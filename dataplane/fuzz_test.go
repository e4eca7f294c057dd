package dataplane

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/valyala/fasthttp"

	"oxbowspan/balancer"
	"oxbowspan/config"
)

// FuzzReadResponse checks that no bytes sent by a server make the gateway panic, and that a response accepted as a
// success has a seal and belongs to the request.
func FuzzReadResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Attempt-Id: q\r\nX-Server-Seal: s\r\nContent-Length: 3\r\n\r\nabc"), true)
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Attempt-Id: q\r\nX-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nx: y\r\n\r\n"), false)
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\nKeep-Alive: timeout=99999999999999999999\r\n\r\n"), true)
	f.Add([]byte("HTTP/1.1 204\r\nContent-Length: -1\r\n\r\n"), false)
	f.Fuzz(func(t *testing.T, text []byte, gathered bool) {
		to := &route{Route: &config.Route{}}
		if gathered {
			to.GatheredServices = []string{"a"}
		}
		req := &request{route: to, method: "GET", attemptID: "q"}
		resp := fasthttp.AcquireResponse()
		defer fasthttp.ReleaseResponse(resp)
		outcome, idleTimeout, err := readResponse(newMessageReader(bytes.NewReader(text), maxResponseHeaderBytes), req, false, resp)
		if idleTimeout < 0 || idleTimeout > maxIdleTime {
			t.Fatalf("the connection may stay idle for %v", idleTimeout)
		}
		if err != nil || outcome != balancer.Answered {
			return
		}
		if id := resp.Header.Peek("X-Attempt-Id"); len(id) > 0 && string(id) != "q" {
			t.Fatalf("the response to %q is accepted", id)
		}
		if resp.StatusCode()/100 == 2 && len(resp.Header.Peek("X-Server-Seal")) == 0 {
			t.Fatal("a success without a seal is accepted")
		}
	})
}

// FuzzForwardedHeaders checks that forwarded headers have exactly one Host field, no hop-by-hop fields and none of the
// fields that the gateway sets itself.
func FuzzForwardedHeaders(f *testing.F) {
	f.Add([]byte("GET /a/b?c HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: q\r\nConnection: x-hop\r\nX-Hop: 1\r\n\r\n"))
	f.Add([]byte("POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc"))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\nX: a\rb\r\nExpect: 100-continue\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		req := &fasthttp.Request{}
		req.Header.DisableNormalizing()
		if req.Header.Read(bufio.NewReaderSize(bytes.NewReader(text), 16<<10)) != nil || checkFraming(req) != nil {
			return
		}
		header := readFields(&req.Header).forwarded
		hosts := 0
		for line := range bytes.SplitSeq(header, []byte("\r\n")) {
			name, _, ok := bytes.Cut(line, []byte(":"))
			if len(line) == 0 {
				continue
			}
			if !ok || bytes.ContainsAny(name, " \t\r\n") || bytes.ContainsAny(line, "\r\n") {
				t.Fatalf("line %q is forwarded", line)
			}
			switch {
			case bytes.EqualFold(name, []byte("Host")):
				hosts++
			case isHopByHop(name), bytes.EqualFold(name, []byte("X-Deadline-Remaining")), bytes.EqualFold(name, []byte("X-Expected-Instance")):
				t.Fatalf("line %q is forwarded", line)
			}
		}
		if hosts != 1 {
			t.Fatalf("%d Host fields are forwarded in %q", hosts, header)
		}
	})
}
