package dataplane

import (
	"bufio"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"oxbowspan/balancer"
	"oxbowspan/config"
)

const seal = "X-Server-Seal: s\r\n"

// What servers send, and what it says of a sub-request. A wrong verdict is a rule broken: MIXED, TWICE or REFUSED.
func TestReadResponse(t *testing.T) {
	single, gathered := &route{Route: &config.Route{Service: "s"}}, &route{Route: &config.Route{GatheredServices: []string{"s"}}}
	for what, k := range map[string]struct {
		text    string
		to      *route
		outcome balancer.Outcome
		broken  bool
		keep    bool
	}{
		"whole":                 {"HTTP/1.1 200 OK\r\nX-Attempt-Id: q\r\n" + seal + "Content-Length: 2\r\n\r\nab", single, balancer.Answered, false, true},
		"in chunks":             {"HTTP/1.1 200 OK\r\nX-Attempt-Id: q\r\n" + seal + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", single, balancer.Answered, false, true},
		"cut off":               {"HTTP/1.1 200 OK\r\nX-Attempt-Id: q\r\n" + seal + "Content-Length: 9\r\n\r\nab", single, balancer.Reset, true, false},
		"with a trailer":        {"HTTP/1.1 200 OK\r\nX-Attempt-Id: q\r\n" + seal + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX-Sum: 1\r\n\r\n", single, balancer.Answered, false, true},
		"a trailer cut off":     {"HTTP/1.1 200 OK\r\nX-Attempt-Id: q\r\n" + seal + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n", single, balancer.Reset, true, false},
		"chunks cut off":        {"HTTP/1.1 200 OK\r\nX-Attempt-Id: q\r\n" + seal + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", single, balancer.Reset, true, false},
		"without a length":      {"HTTP/1.1 200 OK\r\nX-Attempt-Id: q\r\n" + seal + "\r\nab", single, balancer.Reset, true, false},
		"another's":             {"HTTP/1.1 200 OK\r\nX-Attempt-Id: p\r\n" + seal + "Content-Length: 2\r\n\r\nab", single, balancer.Reset, true, false},
		"torn, then another's":  {"HTTP/1.1 200 OK\r\nX-Attempt-Id: q\r\nA: bHTTP/1.1 200 OK\r\nX-Attempt-Id: p\r\n" + seal + "Content-Length: 2\r\n\r\nab", single, balancer.Reset, true, false},
		"without an id":         {"HTTP/1.1 200 OK\r\n" + seal + "Content-Length: 2\r\n\r\nab", single, balancer.Reset, true, false},
		"a part without an id":  {"HTTP/1.1 200 OK\r\n" + seal + "Content-Length: 2\r\n\r\nab", gathered, balancer.Reset, true, false},
		"without a stamp":       {"HTTP/1.1 200 OK\r\nX-Attempt-Id: q\r\nContent-Length: 2\r\n\r\nab", single, balancer.Errored, false, true},
		"encoded":               {"HTTP/1.1 200 OK\r\nX-Attempt-Id: q\r\n" + seal + "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nab", single, balancer.Errored, false, true},
		"no answer at all":      {"\x00\x01garbage\r\n\r\n", single, balancer.Reset, true, false},
		"full":                  {"HTTP/1.1 503 No\r\nX-Attempt-Id: q\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", single, balancer.Rejected, false, true},
		"who is full?":          {"HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", single, balancer.Reset, true, false},
		"503 that may have run": {"HTTP/1.1 503 No\r\nX-Attempt-Id: q\r\nContent-Length: 0\r\n\r\n", single, balancer.Errored, false, true},
		"408 that may have run": {"HTTP/1.1 408 No\r\nX-Attempt-Id: q\r\nContent-Length: 0\r\n\r\n", single, balancer.Errored, false, true},
		"500":                   {"HTTP/1.1 500 No\r\nX-Attempt-Id: q\r\n" + seal + "Content-Length: 0\r\n\r\n", single, balancer.Errored, false, true},
		"a failure as a part":   {"HTTP/1.1 404 No\r\nX-Attempt-Id: q\r\n" + seal + "Content-Length: 0\r\n\r\n", gathered, balancer.Errored, false, true},
		"moved":                 {"HTTP/1.1 421 No\r\nX-Instance-Id: o\r\nContent-Length: 0\r\n\r\n", single, balancer.Rejected, false, false},
		"another has moved":     {"HTTP/1.1 421 No\r\nX-Attempt-Id: p\r\nX-Instance-Id: o\r\nContent-Length: 0\r\n\r\n", single, balancer.Reset, true, false},
		"early hints":           {"HTTP/1.1 103 Hints\r\nContent-Length: 5\r\n\r\nHTTP/1.1 200 OK\r\nX-Attempt-Id: q\r\n" + seal + "Content-Length: 2\r\n\r\nab", single, balancer.Answered, false, true},
		"only interim ones":     {strings.Repeat("HTTP/1.1 102 Wait\r\nX-Attempt-Id: q\r\n\r\n", maxInterimResponses+1), single, balancer.Reset, true, false},
		"another protocol":      {"HTTP/1.1 101 Switch\r\nX-Attempt-Id: q\r\n" + seal + "Content-Length: 2\r\n\r\nab", single, balancer.Reset, true, false},
		"no such status":        {"HTTP/1.1 000 OK\r\nX-Attempt-Id: q\r\n" + seal + "Content-Length: 2\r\n\r\nab", single, balancer.Reset, true, false},
		"behind a stray line":   {"\r\nHTTP/1.1 200 OK\r\nX-Attempt-Id: q\r\n" + seal + "Content-Length: 2\r\n\r\nab", single, balancer.Reset, true, false},
		"leaving":               {"HTTP/1.1 200 OK\r\nConnection: close\r\nX-Attempt-Id: q\r\n" + seal + "Content-Length: 2\r\n\r\nab", single, balancer.Answered, false, false},
		"soon idle":             {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nX-Attempt-Id: q\r\n" + seal + "Content-Length: 2\r\n\r\nab", single, balancer.Answered, false, false},
	} {
		resp := fasthttp.AcquireResponse()
		from := bufio.NewReader(strings.NewReader(k.text))
		outcome, keep, err := readResponse(from, &request{method: "GET", attemptID: "q", route: k.to}, false, resp)
		if (err != nil) != k.broken || outcome != k.outcome || (keep > 0) != k.keep {
			t.Errorf("%s: outcome %d, kept %v, error %v", what, outcome, keep, err)
		}
		if err == nil && from.Buffered() > 0 {
			t.Errorf("%s: %d bytes of the answer stay unread, so that its connection is not used again", what, from.Buffered())
		}
		fasthttp.ReleaseResponse(resp)
	}
}

// Requests in which two readers might find different bounds are refused.
func TestAmbiguousFraming(t *testing.T) {
	for what, k := range map[string]struct {
		text string
		fine bool
	}{
		"plain":                 {"GET /x HTTP/1.1\r\nHost: h\r\n\r\n", true},
		"a length":              {"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab", true},
		"chunked":               {"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true},
		"two lengths":           {"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", false},
		"length and chunked":    {"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false},
		"another coding":        {"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n", false},
		"a length with a sign":  {"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: +2\r\n\r\nab", false},
		"a space before colon":  {"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length : 2\r\n\r\nab", false},
		"a folded line":         {"GET /x HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n", false},
		"a bare line feed":      {"GET /x HTTP/1.1\r\nHost: h\nA: b\r\n\r\n", false},
		"a bare empty line":     {"GET /x HTTP/1.1\r\nHost: h\n\nGET /y HTTP/1.1\r\nHost: h\r\n\r\n", false},
		"two ids":               {"GET /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: q\r\nx-attempt-id: p\r\n\r\n", false},
		"a target with a space": {"GET /x y HTTP/1.1\r\nHost: h\r\n\r\n", false},
		"no path":               {"GET http://h/x HTTP/1.1\r\nHost: h\r\n\r\n", false},
	} {
		var q fasthttp.Request
		q.Header.DisableNormalizing()
		err := q.Header.Read(bufio.NewReader(strings.NewReader(k.text)))
		if fine := err == nil && ambiguousFraming(&q) == ""; fine != k.fine {
			t.Errorf("%s: taken %v (%v, %q)", what, fine, err, ambiguousFraming(&q))
		}
	}
}

func TestForwardedHeaders(t *testing.T) {
	var q fasthttp.Request
	q.Header.DisableNormalizing()
	text := "GET /x HTTP/1.1\r\nHost: h.example:80\r\nX-Attempt-Id: q\r\nx-odd-Name: v\r\nConnection: keep-alive, x-mine\r\nX-Mine: 1\r\nConnection: close, x-yours\r\nX-Yours: 1\r\n" +
		"X-Deadline-Remaining: 5\r\nX-Expected-Instance: z\r\nTE: trailers\r\nAccept: */*\r\n\r\n"
	if err := q.Header.Read(bufio.NewReader(strings.NewReader(text))); err != nil {
		t.Fatal(err)
	}
	got := string(forwardedHeaders(&q))
	for _, want := range []string{"Host: h.example:80\r\n", "X-Attempt-Id: q\r\n", "x-odd-Name: v\r\n", "Accept: */*\r\n"} {
		if !strings.Contains(got, want) {
			t.Errorf("%q is missing in %q", want, got)
		}
	}
	for _, not := range []string{"X-Mine", "X-Yours", "Connection", "Deadline", "Expected", "TE:"} {
		if strings.Contains(got, not) {
			t.Errorf("%q goes along in %q", not, got)
		}
	}
}

func TestKeepAliveTimeout(t *testing.T) {
	for text, want := range map[string]time.Duration{"timeout=5": 4800 * time.Millisecond, "timeout=0": 0, "max=3, timeout=2": 1800 * time.Millisecond,
		"max=3": maxIdle, "timeout=x": maxIdle} {
		if got := keepAliveTimeout(text); got != want {
			t.Errorf("%q: %v, want %v", text, got, want)
		}
	}
}

func FuzzReadResponseID(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nX-Attempt-Id: q\r\n" + seal + "Content-Length: 2\r\n\r\nab")
	f.Fuzz(func(t *testing.T, text string) {
		resp := fasthttp.AcquireResponse()
		defer fasthttp.ReleaseResponse(resp)
		s := &request{method: "GET", attemptID: "q", route: &route{Route: &config.Route{Service: "s"}}}
		outcome, _, err := readResponse(bufio.NewReader(strings.NewReader(text)), s, false, resp)
		if err == nil && outcome == balancer.Answered && string(resp.Header.Peek("X-Attempt-Id")) != "q" {
			t.Fatalf("%q was taken for the answer to q", text)
		}
	})
}

// A server that leaves the id out of the parts of gathered answers serves all the same, with a connection for each: only the
// first answer of a connection can be nobody's late copy.
func TestShardResponseWithoutID(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\n" + seal + "Content-Length: 2\r\n\r\nab"
	single, gathered := &route{Route: &config.Route{Service: "s"}}, &route{Route: &config.Route{GatheredServices: []string{"s"}}}
	for _, k := range []struct {
		to      *route
		first   bool
		belongs bool
	}{{gathered, true, true}, {gathered, false, false}, {single, true, false}, {single, false, false}} {
		resp := fasthttp.AcquireResponse()
		outcome, keep, err := readResponse(bufio.NewReader(strings.NewReader(text)), &request{method: "GET", attemptID: "q", route: k.to}, k.first, resp)
		if (err == nil) != k.belongs || (outcome == balancer.Answered) != k.belongs || keep != 0 {
			t.Errorf("gathered %v, first %v: outcome %d, kept for %v, error %v", k.to == gathered, k.first, outcome, keep, err)
		}
		fasthttp.ReleaseResponse(resp)
	}
}
