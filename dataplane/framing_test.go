package dataplane

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"oxbowspan/config"
)

// The gateway must parse the bytes of a client connection into the same requests as a strict parser, or reject them.
// Otherwise another parser of the same bytes might find a request smuggled into a forwarded one.

// parsedRequest is a request found by a parser.
type parsedRequest struct{ method, target, id, body string }

// parseStrictly parses requests strictly as defined by the HTTP standard, without any optional leniency, up to the first
// error.
func parseStrictly(text string) (all []parsedRequest) {
	for {
		for strings.HasPrefix(text, "\r\n") {
			text = text[2:]
		}
		header, rest, complete := strings.Cut(text, "\r\n\r\n")
		if !complete {
			return all
		}
		parsed, ok := parseHeaderStrictly(header)
		if !ok {
			return all
		}
		if parsed.request.body, text, ok = parsed.parseBody(rest); !ok {
			return all
		}
		all = append(all, parsed.request)
	}
}

// parsedHeader is a request header found by the strict parser.
type parsedHeader struct {
	request         parsedRequest
	length, chunked string // values of Content-Length and Transfer-Encoding, "" = none
	hosts           int
}

func parseHeaderStrictly(text string) (h parsedHeader, ok bool) {
	lines := strings.Split(text, "\r\n")
	if strings.ContainsAny(strings.Join(lines, ""), "\r\n\x00") {
		return h, false
	}
	first := strings.Split(lines[0], " ")
	if len(first) != 3 || first[2] != "HTTP/1.1" || !strings.HasPrefix(first[1], "/") {
		return h, false
	}
	h.request.method, h.request.target = first[0], first[1]
	for _, line := range lines[1:] {
		if !h.addField(line) {
			return h, false
		}
	}
	return h, h.hosts == 1 && (h.length == "" || h.chunked == "")
}

func (h *parsedHeader) addField(line string) bool {
	name, value, ok := strings.Cut(line, ":")
	value = strings.Trim(value, " \t")
	if !ok || name == "" || strings.ContainsAny(name, " \t") {
		return false
	}
	switch strings.ToLower(name) {
	case "host":
		h.hosts++
	case "x-attempt-id":
		if h.request.id != "" {
			return false
		}
		h.request.id = value
	case "content-length":
		if _, err := strconv.ParseUint(value, 10, 31); err != nil || h.length != "" {
			return false
		}
		h.length = value
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") || h.chunked != "" {
			return false
		}
		h.chunked = value
	}
	return true
}

// parseBody parses the body at the beginning of a text and returns it with the text that follows.
func (h *parsedHeader) parseBody(text string) (body, rest string, ok bool) {
	switch {
	case h.chunked != "":
		return parseChunks(text)
	case h.length != "":
		n, _ := strconv.Atoi(h.length)
		if n > len(text) {
			return "", "", false
		}
		return text[:n], text[n:], true
	}
	return "", text, true
}

// parseChunks parses a chunked body, including its trailer.
func parseChunks(text string) (body, rest string, ok bool) {
	for {
		line, after, found := strings.Cut(text, "\r\n")
		size, extension, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.Trim(size, " \t"), 16, 31)
		if !found || err != nil || strings.ContainsAny(extension, "\r\n") {
			return "", "", false
		}
		if n == 0 {
			rest, ok = parseTrailer(after)
			return body, rest, ok
		}
		if int(n)+2 > len(after) || after[n:n+2] != "\r\n" {
			return "", "", false
		}
		body, text = body+after[:n], after[n+2:]
	}
}

// parseTrailer parses the trailer fields after the last chunk, including the terminating empty line.
func parseTrailer(text string) (rest string, ok bool) {
	for {
		line, after, found := strings.Cut(text, "\r\n")
		if !found {
			return "", false
		}
		if line == "" {
			return after, true
		}
		name, _, isField := strings.Cut(line, ":")
		if !isField || name == "" || strings.ContainsAny(line, "\r\n") || strings.ContainsAny(name, " \t") {
			return "", false
		}
		text = after
	}
}

// inputConn is a connection that reads from r and discards what is written.
type inputConn struct {
	net.Conn
	r io.Reader
}

func (c inputConn) Read(b []byte) (int, error)     { return c.r.Read(b) }
func (inputConn) Write(b []byte) (int, error)      { return len(b), nil }
func (inputConn) SetReadDeadline(time.Time) error  { return nil }
func (inputConn) SetWriteDeadline(time.Time) error { return nil }

// shortReader reads at most n bytes at a time.
type shortReader struct {
	r io.Reader
	n int
}

func (p *shortReader) Read(b []byte) (int, error) { return p.r.Read(b[:min(p.n, len(b))]) }

// parseAsGateway parses requests with the gateway's code, reading at most readSize bytes at a time; 0 = no limit. The id
// of a request is taken from its forwarded header.
func parseAsGateway(text string, readSize int) (all []parsedRequest) {
	input := inputConn{r: strings.NewReader(text)}
	if readSize > 0 {
		input.r = &shortReader{input.r, readSize}
	}
	c := newClientConn(input)
	limits := config.Limits{HeaderBytes: 4096, BodyBytes: 1 << 16, HeaderTimeoutMS: 1000}
	for c.readHeader(limits) && c.readBody(limits) {
		header := slices.Concat([]byte("GET / HTTP/1.1\r\n"), readFields(&c.req.Header).forwarded, []byte("\r\n"))
		forwarded, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(header)))
		if err != nil {
			return append(all, parsedRequest{method: fmt.Sprint("the forwarded header can't be parsed: ", err)})
		}
		all = append(all, parsedRequest{
			method: string(c.req.Header.Method()),
			target: string(c.req.Header.RequestURI()),
			id:     forwarded.Header.Get("X-Attempt-Id"),
			body:   string(c.req.Body()),
		})
		if c.req.Header.ConnectionClose() {
			break
		}
	}
	return all
}

const smuggledRequest = "POST /hidden HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: hidden\r\n\r\n"

// connectionGenerator draws the bytes that a client sends on one connection.
var connectionGenerator = rapid.Custom(func(t *rapid.T) string {
	g := &connectionBuilder{t: t, malformedLineEnds: rapid.Bool().Draw(t, "odd line ends")}
	for i := range rapid.IntRange(1, 3).Draw(t, "requests") {
		g.addRequest(strconv.Itoa(i))
	}
	return g.text.String()
})

// connectionBuilder draws requests one by one and appends them to text.
type connectionBuilder struct {
	t                 *rapid.T
	malformedLineEnds bool
	text              strings.Builder
}

// oneOf draws one of the given texts. A text that is listed several times is drawn more often.
func (g *connectionBuilder) oneOf(label string, texts ...string) string {
	return rapid.SampledFrom(texts).Draw(g.t, label)
}

// end draws a line end, always CR LF unless malformedLineEnds is set.
func (g *connectionBuilder) end() string {
	if !g.malformedLineEnds {
		return "\r\n"
	}
	return g.oneOf("line end", "\r\n", "\r\n", "\r\n", "\r\n", "\r\n", "\n", "\r", "\r\n ", "\n\r\n", "")
}

func (g *connectionBuilder) addRequest(id string) {
	method := g.oneOf("method", "GET", "POST", "HEAD", "DELETE")
	target := g.oneOf("target", "/x", "/x", "/x", "/x y", "http://h/x", "*", "/x\t")
	g.text.WriteString(method + " " + target + " HTTP/1.1" + g.end())
	g.text.WriteString("Host: h" + g.end() + "X-Attempt-Id: " + id + g.end())
	body := g.oneOf("body", "", "ab", smuggledRequest, "0\r\n\r\n"+smuggledRequest)
	g.text.WriteString(g.withFraming(body))
}

// withFraming draws the header fields that determine the end of the body, and returns them with the end of the header and
// the body.
func (g *connectionBuilder) withFraming(body string) string {
	const chunkedField = "Transfer-Encoding: chunked"
	length := "Content-Length: " + strconv.Itoa(len(body))
	chunked := g.chunked(body)
	switch g.oneOf("framing", "length", "length", "chunks", "chunks", "none", "both", "twice", "odd length", "folded", "spaced", "odd coding",
		"two ids", "hop") {
	case "length":
		return length + g.end() + g.end() + body
	case "chunks":
		return chunkedField + g.end() + g.end() + chunked
	case "both":
		return length + g.end() + chunkedField + g.end() + g.end() + chunked
	case "twice":
		return length + g.end() + "content-length: 0" + g.end() + g.end() + body
	case "odd length":
		odd := g.oneOf("length", "Content-Length: +2", "Content-Length: 2,2", "Content-Length: 0x2", "Content-Length:", "Content-Length: -1")
		return odd + g.end() + g.end() + body
	case "folded":
		return "X-A: b\r\n " + length + g.end() + g.end() + body
	case "spaced":
		return "Content-Length : " + strconv.Itoa(len(body)) + g.end() + g.end() + body
	case "odd coding":
		odd := g.oneOf("coding", "Transfer-Encoding: identity", "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: xchunked",
			"Transfer-Encoding:\x0bchunked")
		return odd + g.end() + g.end() + chunked
	case "two ids":
		return "x-attempt-id: other" + g.end() + length + g.end() + g.end() + body
	case "hop":
		return "Connection: keep-alive, X-Attempt-Id, Content-Length" + g.end() + length + g.end() + g.end() + body
	}
	return g.end() + body
}

// chunked returns the body encoded as one chunk, or an empty body with a drawn trailer.
func (g *connectionBuilder) chunked(body string) string {
	if body == "" {
		return "0" + g.end() + g.oneOf("trailer", "", "X: y\r\n", smuggledRequest, "X\r\n") + g.end()
	}
	extension := g.oneOf("extension", "", "", ";a=b", ";a\n", " ", ";\"\r\n")
	return fmt.Sprintf("%x%s%s%s%s0%s%s", len(body), extension, g.end(), body, g.end(), g.end(), g.end())
}

// TestFramingMatchesStrictParser checks that the requests parsed by the gateway are a prefix of those found by the strict
// parser.
func TestFramingMatchesStrictParser(t *testing.T) {
	parsed := 0
	rapid.Check(t, func(t *rapid.T) {
		text := connectionGenerator.Draw(t, "text")
		readSize := rapid.SampledFrom([]int{0, 0, 1, 7}).Draw(t, "bytes at a time")
		got, want := parseAsGateway(text, readSize), parseStrictly(text)
		for i, request := range got {
			if i >= len(want) || request != want[i] {
				t.Fatalf("%q is parsed as %q, by the strict parser as %q", text, got, want)
			}
		}
		parsed += len(got)
	})
	if !t.Failed() && parsed == 0 {
		t.Error("no request was parsed")
	}
}

// TestCheckFraming checks that requests are rejected whose end two parsers might determine differently.
func TestCheckFraming(t *testing.T) {
	const (
		post = "POST /x HTTP/1.1\r\nHost: h\r\n"
		get  = "GET /x HTTP/1.1\r\nHost: h\r\n"
	)
	for _, test := range []struct {
		name, text string
		accepted   bool
	}{
		{"plain", get + "\r\n", true},
		{"length", post + "Content-Length: 2\r\n\r\nab", true},
		{"chunked", post + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true},
		{"two lengths", post + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc", false},
		{"length and chunked", post + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false},
		{"another coding", post + "Transfer-Encoding: xchunked\r\n\r\n", false},
		{"length with a sign", post + "Content-Length: +2\r\n\r\nab", false},
		{"space before the colon", post + "Content-Length : 2\r\n\r\nab", false},
		{"folded line", get + "A: b\r\n c\r\n\r\n", false},
		{"bare line feed", "GET /x HTTP/1.1\r\nHost: h\nA: b\r\n\r\n", false},
		{"bare empty line", "GET /x HTTP/1.1\r\nHost: h\n\nGET /y HTTP/1.1\r\nHost: h\r\n\r\n", false},
		{"two ids", get + "X-Attempt-Id: q\r\nx-attempt-id: p\r\n\r\n", false},
		{"target with a space", "GET /x y HTTP/1.1\r\nHost: h\r\n\r\n", false},
		{"target that is no path", "GET http://h/x HTTP/1.1\r\nHost: h\r\n\r\n", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var req fasthttp.Request
			req.Header.DisableNormalizing()
			err := req.Header.Read(bufio.NewReader(strings.NewReader(test.text)))
			if err == nil {
				err = checkFraming(&req)
			}
			if accepted := err == nil; accepted != test.accepted {
				t.Errorf("accepted: %v, want %v; error %v", accepted, test.accepted, err)
			}
		})
	}
}

func TestForwardedHeaders(t *testing.T) {
	const text = "GET /x HTTP/1.1\r\nHost: h.example:80\r\nX-Attempt-Id: q\r\nx-odd-Name: v\r\n" +
		"Connection: keep-alive, x-mine\r\nX-Mine: 1\r\nConnection: close, x-yours\r\nX-Yours: 1\r\n" +
		"X-Deadline-Remaining: 5\r\nX-Expected-Instance: z\r\nTE: trailers\r\nAccept: */*\r\n\r\n"
	var req fasthttp.Request
	req.Header.DisableNormalizing()
	if err := req.Header.Read(bufio.NewReader(strings.NewReader(text))); err != nil {
		t.Fatal(err)
	}
	got := string(readFields(&req.Header).forwarded)
	for _, field := range []string{"Host: h.example:80\r\n", "X-Attempt-Id: q\r\n", "x-odd-Name: v\r\n", "Accept: */*\r\n"} {
		if !strings.Contains(got, field) {
			t.Errorf("%q is missing in %q", field, got)
		}
	}
	for _, name := range []string{"X-Mine", "X-Yours", "Connection", "Deadline", "Expected", "TE:"} {
		if strings.Contains(got, name) {
			t.Errorf("%q is forwarded in %q", name, got)
		}
	}
}
