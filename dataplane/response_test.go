package dataplane

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"oxbowspan/balancer"
	"oxbowspan/config"
)

// Parts of test responses.
const (
	testSeal    = "X-Server-Seal: s\r\n"
	testID      = "X-Attempt-Id: q\r\n"
	testBody    = "Content-Length: 2\r\n\r\nab"
	testSuccess = "HTTP/1.1 200 OK\r\n" + testID + testSeal
)

var (
	singleRoute   = &route{Route: &config.Route{Service: "s"}}
	gatheredRoute = &route{Route: &config.Route{GatheredServices: []string{"s"}}}
)

// testRequest returns a request with the id of testID.
func testRequest(to *route) *request { return &request{method: "GET", attemptID: "q", route: to} }

// TestReadResponse guards against wrong outcomes: they would pass a response to another client, repeat a request that has
// run, or report a request that has run as not executed.
func TestReadResponse(t *testing.T) {
	const chunks = "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"
	for _, test := range []struct {
		name    string
		text    string
		to      *route
		outcome balancer.Outcome
		fails   bool
		reused  bool // whether the connection may be reused
	}{
		{"complete", testSuccess + testBody, singleRoute, balancer.Answered, false, true},
		{"chunked", testSuccess + chunks + "0\r\n\r\n", singleRoute, balancer.Answered, false, true},
		{"cut off", testSuccess + "Content-Length: 9\r\n\r\nab", singleRoute, balancer.Reset, true, false},
		{"with a trailer", testSuccess + chunks + "0\r\nX-Sum: 1\r\n\r\n", singleRoute, balancer.Answered, false, true},
		{"trailer cut off", testSuccess + chunks + "0\r\n", singleRoute, balancer.Reset, true, false},
		{"chunks cut off", testSuccess + chunks, singleRoute, balancer.Reset, true, false},
		{"without a length, closed in order", testSuccess + "\r\nab", singleRoute, balancer.Answered, false, false},
		{"without a length or a body", testSuccess + "\r\n", singleRoute, balancer.Answered, false, false},
		{"without a length, another request's", "HTTP/1.1 200 OK\r\nX-Attempt-Id: p\r\n" + testSeal + "\r\nab", singleRoute, balancer.Reset, true, false},
		{"without a length or a seal", "HTTP/1.1 200 OK\r\n" + testID + "\r\nab", singleRoute, balancer.Errored, false, false},
		{"header cut off", testSuccess, singleRoute, balancer.Reset, true, false},
		{"another request's", "HTTP/1.1 200 OK\r\nX-Attempt-Id: p\r\n" + testSeal + testBody, singleRoute, balancer.Reset, true, false},
		{"header cut off, then another request's", "HTTP/1.1 200 OK\r\n" + testID + "A: bHTTP/1.1 200 OK\r\nX-Attempt-Id: p\r\n" + testSeal + testBody,
			singleRoute, balancer.Reset, true, false},
		{"without an id", "HTTP/1.1 200 OK\r\n" + testSeal + testBody, singleRoute, balancer.Reset, true, false},
		{"gathered, without an id", "HTTP/1.1 200 OK\r\n" + testSeal + testBody, gatheredRoute, balancer.Reset, true, false},
		{"without a seal", "HTTP/1.1 200 OK\r\n" + testID + testBody, singleRoute, balancer.Errored, false, true},
		{"encoded", testSuccess + "Content-Encoding: gzip\r\n" + testBody, singleRoute, balancer.Errored, false, true},
		{"no response", "\x00\x01garbage\r\n\r\n", singleRoute, balancer.Reset, true, false},
		{"503 not executed", "HTTP/1.1 503 No\r\n" + testID + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", singleRoute, balancer.Rejected, false, true},
		{"503 not executed, without an id", "HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", singleRoute, balancer.Reset, true, false},
		{"503 that may have run", "HTTP/1.1 503 No\r\n" + testID + "Content-Length: 0\r\n\r\n", singleRoute, balancer.Errored, false, true},
		{"408 that may have run", "HTTP/1.1 408 No\r\n" + testID + "Content-Length: 0\r\n\r\n", singleRoute, balancer.Errored, false, true},
		{"500", "HTTP/1.1 500 No\r\n" + testID + testSeal + "Content-Length: 0\r\n\r\n", singleRoute, balancer.Errored, false, true},
		{"gathered, a failure", "HTTP/1.1 404 No\r\n" + testID + testSeal + "Content-Length: 0\r\n\r\n", gatheredRoute, balancer.Errored, false, true},
		{"misdirected", "HTTP/1.1 421 No\r\nX-Instance-Id: o\r\nContent-Length: 0\r\n\r\n", singleRoute, balancer.Rejected, false, false},
		{"another request misdirected", "HTTP/1.1 421 No\r\nX-Attempt-Id: p\r\nX-Instance-Id: o\r\nContent-Length: 0\r\n\r\n", singleRoute, balancer.Reset, true, false},
		{"early hints", "HTTP/1.1 103 Hints\r\nContent-Length: 5\r\n\r\n" + testSuccess + testBody, singleRoute, balancer.Answered, false, true},
		{"only interim ones", strings.Repeat("HTTP/1.1 102 Wait\r\n"+testID+"\r\n", maxInterimResponses+1), singleRoute, balancer.Reset, true, false},
		{"another protocol", "HTTP/1.1 101 Switch\r\n" + testID + testSeal + testBody, singleRoute, balancer.Reset, true, false},
		{"no such status", "HTTP/1.1 000 OK\r\n" + testID + testSeal + testBody, singleRoute, balancer.Reset, true, false},
		{"behind an empty line", "\r\n" + testSuccess + testBody, singleRoute, balancer.Reset, true, false},
		{"connection closed", "HTTP/1.1 200 OK\r\nConnection: close\r\n" + testID + testSeal + testBody, singleRoute, balancer.Answered, false, false},
		{"long header", "HTTP/1.1 200 OK\r\nX-Fill: " + strings.Repeat("f", 5000) + "\r\n" + testID + testSeal + testBody, singleRoute, balancer.Answered, false, true},
		{"long header after a long interim one", "HTTP/1.1 103 Hints\r\nLink: " + strings.Repeat("f", 9000) + "\r\n\r\nHTTP/1.1 200 OK\r\nX-Fill: " +
			strings.Repeat("f", 60_000) + "\r\n" + testID + testSeal + testBody, gatheredRoute, balancer.Answered, false, true},
		{"too long header", "HTTP/1.1 200 OK\r\nX-Fill: " + strings.Repeat("f", 70_000) + "\r\n" + testID + testSeal + testBody, singleRoute, balancer.Reset, true, false},
		{"keep-alive timeout 0", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\n" + testID + testSeal + testBody, singleRoute, balancer.Answered, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			resp := fasthttp.AcquireResponse()
			defer fasthttp.ReleaseResponse(resp)
			reader := newMessageReader(strings.NewReader(test.text), maxResponseHeaderBytes)
			outcome, idleTimeout, err := readResponse(reader, testRequest(test.to), false, resp)
			if (err != nil) != test.fails || outcome != test.outcome || (idleTimeout > 0) != test.reused {
				t.Errorf("outcome %d, idle timeout %v, error %v", outcome, idleTimeout, err)
			}
			if err == nil && reader.Buffered() > 0 {
				t.Errorf("%d bytes of the response are left unread, which prevents the reuse of the connection", reader.Buffered())
			}
		})
	}
}

// resetReader reads a text and then fails as a connection that was reset.
type resetReader struct{ text *strings.Reader }

func (r resetReader) Read(b []byte) (int, error) {
	if n, err := r.text.Read(b); err == nil {
		return n, nil
	}
	return 0, syscall.ECONNRESET
}

// A response without a length whose connection is reset is incomplete, at whatever byte the reset occurs.
func TestCloseDelimitedResponseIsReset(t *testing.T) {
	const text = testSuccess + "\r\nabcdef"
	for cut := range len(text) + 1 {
		resp := fasthttp.AcquireResponse()
		outcome, idleTimeout, err := readResponse(newMessageReader(resetReader{strings.NewReader(text[:cut])}, maxResponseHeaderBytes), testRequest(singleRoute), true, resp)
		if err == nil || outcome != balancer.Reset || idleTimeout != 0 {
			t.Errorf("reset after %d of %d bytes: outcome %d, error %v", cut, len(text), outcome, err)
		}
		fasthttp.ReleaseResponse(resp)
	}
}

// A server that omits the id in its responses on gathered routes is still usable, with a new connection for each request:
// only the first response of a connection cannot be a late copy of another one.
func TestShardResponseWithoutID(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\n" + testSeal + testBody
	for _, test := range []struct {
		name     string
		to       *route
		first    bool
		accepted bool
	}{
		{"gathered, first", gatheredRoute, true, true},
		{"gathered, later", gatheredRoute, false, false},
		{"single, first", singleRoute, true, false},
		{"single, later", singleRoute, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			resp := fasthttp.AcquireResponse()
			defer fasthttp.ReleaseResponse(resp)
			outcome, idleTimeout, err := readResponse(newMessageReader(strings.NewReader(text), maxResponseHeaderBytes), testRequest(test.to), test.first, resp)
			if (err == nil) != test.accepted || (outcome == balancer.Answered) != test.accepted || idleTimeout != 0 {
				t.Errorf("outcome %d, idle timeout %v, error %v", outcome, idleTimeout, err)
			}
		})
	}
}

func TestKeepAliveTimeout(t *testing.T) {
	for _, test := range []struct {
		field string
		want  time.Duration
	}{
		{"timeout=5", 4800 * time.Millisecond},
		{"timeout=0", 0},
		{"max=3, timeout=2", 1800 * time.Millisecond},
		{"max=3", maxIdleTime},
		{"timeout=x", maxIdleTime},
	} {
		t.Run(test.field, func(t *testing.T) {
			if got := keepAliveTimeout(test.field); got != test.want {
				t.Errorf("keepAliveTimeout(%q) = %v, want %v", test.field, got, test.want)
			}
		})
	}
}

// FuzzReadResponseID checks that a response is accepted only if it contains the request's id.
func FuzzReadResponseID(f *testing.F) {
	f.Add(testSuccess + testBody)
	f.Fuzz(func(t *testing.T, text string) {
		resp := fasthttp.AcquireResponse()
		defer fasthttp.ReleaseResponse(resp)
		outcome, _, err := readResponse(newMessageReader(strings.NewReader(text), maxResponseHeaderBytes), testRequest(singleRoute), false, resp)
		if err == nil && outcome == balancer.Answered && string(resp.Header.Peek("X-Attempt-Id")) != "q" {
			t.Fatalf("%q was accepted as the response to q", text)
		}
	})
}
