package dataplane

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oxbowspan/config"
)

// What stands on a client's connection is read as requests with the bounds that a strict reader finds, or refused. So no other
// reader of the same bytes can find a request in the midst of what is passed on.

// parsedRequest is a request that a reader finds.
type parsedRequest struct{ method, target, id, body string }

// parseStrictly reads requests as the standard's text has them, with none of the liberties that it lets a reader take, up to the first
// byte that is otherwise.
func parseStrictly(text string) (all []parsedRequest) {
	for {
		for strings.HasPrefix(text, "\r\n") {
			text = text[2:]
		}
		head, rest, whole := strings.Cut(text, "\r\n\r\n")
		lines := strings.Split(head, "\r\n")
		first := strings.Split(lines[0], " ")
		if !whole || strings.ContainsAny(strings.Join(lines, ""), "\r\n\x00") || len(first) != 3 || first[2] != "HTTP/1.1" || !strings.HasPrefix(first[1], "/") {
			return all
		}
		q, length, chunked, hosts := parsedRequest{method: first[0], target: first[1]}, "", "", 0
		for _, line := range lines[1:] {
			name, value, ok := strings.Cut(line, ":")
			value = strings.Trim(value, " \t")
			if !ok || name == "" || strings.ContainsAny(name, " \t") {
				return all
			}
			switch strings.ToLower(name) {
			case "host":
				hosts++
			case "x-attempt-id":
				if q.id != "" {
					return all
				}
				q.id = value
			case "content-length":
				if _, err := strconv.ParseUint(value, 10, 31); err != nil || length != "" {
					return all
				}
				length = value
			case "transfer-encoding":
				if !strings.EqualFold(value, "chunked") || chunked != "" {
					return all
				}
				chunked = value
			}
		}
		switch {
		case hosts != 1 || length != "" && chunked != "":
			return all
		case chunked != "":
			if q.body, rest, whole = parseChunks(rest); !whole {
				return all
			}
		case length != "":
			n, _ := strconv.Atoi(length)
			if n > len(rest) {
				return all
			}
			q.body, rest = rest[:n], rest[n:]
		}
		all = append(all, q)
		text = rest
	}
}

// parseChunks reads a body in chunks.
func parseChunks(text string) (body, rest string, whole bool) {
	for {
		line, after, ok := strings.Cut(text, "\r\n")
		size, extension, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.Trim(size, " \t"), 16, 31)
		if !ok || err != nil || strings.ContainsAny(extension, "\r\n") {
			return "", "", false
		}
		if text = after; n == 0 {
			break
		}
		if int(n)+2 > len(text) || text[n:n+2] != "\r\n" {
			return "", "", false
		}
		body, text = body+text[:n], text[n+2:]
	}
	for {
		line, after, ok := strings.Cut(text, "\r\n")
		if name, _, field := strings.Cut(line, ":"); !ok || line != "" && (!field || name == "" || strings.ContainsAny(line, "\r\n") || strings.ContainsAny(name, " \t")) {
			return "", "", false
		}
		if text = after; line == "" {
			return body, text, true
		}
	}
}

// inputConn is a connection on which a text came.
type inputConn struct {
	net.Conn
	r io.Reader
}

func (c inputConn) Read(b []byte) (int, error)     { return c.r.Read(b) }
func (inputConn) Write(b []byte) (int, error)      { return len(b), nil }
func (inputConn) SetReadDeadline(time.Time) error  { return nil }
func (inputConn) SetWriteDeadline(time.Time) error { return nil }

// parseAsGateway are the requests that the gatherer finds.
func parseAsGateway(text string, piece int) (all []parsedRequest) {
	c := inputConn{r: strings.NewReader(text)}
	if piece > 0 {
		c.r = &pieceReader{c.r, piece}
	}
	k := &clientConn{conn: c, reader: bufio.NewReaderSize(c, 4096)}
	limits := config.Limits{BodyBytes: 1 << 16, HeaderTimeoutMS: 1000}
	for k.readHeader(&k.req, limits) && k.readBody(&k.req, limits) {
		along, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(append(append([]byte("GET / HTTP/1.1\r\n"), forwardedHeaders(&k.req)...), "\r\n"...))))
		if err != nil {
			return append(all, parsedRequest{method: fmt.Sprint("what goes along can't be read: ", err)})
		}
		all = append(all, parsedRequest{string(k.req.Header.Method()), string(k.req.Header.RequestURI()), along.Header.Get("X-Attempt-Id"), string(k.req.Body())})
		if k.req.Header.ConnectionClose() {
			break
		}
	}
	return all
}

// pieceReader reads so many bytes at a time.
type pieceReader struct {
	r io.Reader
	n int
}

func (p *pieceReader) Read(b []byte) (int, error) { return p.r.Read(b[:min(p.n, len(b))]) }

const smuggledRequest = "POST /hidden HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: hidden\r\n\r\n"

var connectionGenerator = rapid.Custom(func(t *rapid.T) string {
	odd := rapid.Bool().Draw(t, "odd line ends")
	end := func() string {
		if !odd {
			return "\r\n"
		}
		return rapid.SampledFrom([]string{"\r\n", "\r\n", "\r\n", "\r\n", "\r\n", "\n", "\r", "\r\n ", "\n\r\n", ""}).Draw(t, "line end")
	}
	var b strings.Builder
	for i := range rapid.IntRange(1, 3).Draw(t, "requests") {
		b.WriteString(rapid.SampledFrom([]string{"GET", "POST", "HEAD", "DELETE"}).Draw(t, "method") + " ")
		b.WriteString(rapid.SampledFrom([]string{"/x", "/x", "/x", "/x y", "http://h/x", "*", "/x\t"}).Draw(t, "target") + " HTTP/1.1" + end())
		b.WriteString("Host: h" + end() + "X-Attempt-Id: " + strconv.Itoa(i) + end())
		body := rapid.SampledFrom([]string{"", "ab", smuggledRequest, "0\r\n\r\n" + smuggledRequest}).Draw(t, "body")
		lines := rapid.SampledFrom([]string{"length", "length", "chunks", "chunks", "none", "both", "twice", "odd length", "folded", "spaced", "odd coding", "two ids", "hop"}).Draw(t, "bounds")
		chunked := fmt.Sprintf("%x%s%s%s%s0%s%s", len(body), rapid.SampledFrom([]string{"", "", ";a=b", ";a\n", " ", ";\"\r\n"}).Draw(t, "extension"), end(), body, end(), end(), end())
		if body == "" {
			chunked = "0" + end() + rapid.SampledFrom([]string{"", "X: y\r\n", smuggledRequest, "X\r\n"}).Draw(t, "trailer") + end()
		}
		length := "Content-Length: " + strconv.Itoa(len(body))
		switch lines {
		case "length":
			b.WriteString(length + end() + end() + body)
		case "chunks":
			b.WriteString("Transfer-Encoding: chunked" + end() + end() + chunked)
		case "none":
			b.WriteString(end() + body)
		case "both":
			b.WriteString(length + end() + "Transfer-Encoding: chunked" + end() + end() + chunked)
		case "twice":
			b.WriteString(length + end() + "content-length: 0" + end() + end() + body)
		case "odd length":
			b.WriteString(rapid.SampledFrom([]string{"Content-Length: +2", "Content-Length: 2,2", "Content-Length: 0x2", "Content-Length:", "Content-Length: -1"}).Draw(t, "length") + end() + end() + body)
		case "folded":
			b.WriteString("X-A: b\r\n " + length + end() + end() + body)
		case "spaced":
			b.WriteString("Content-Length : " + strconv.Itoa(len(body)) + end() + end() + body)
		case "odd coding":
			b.WriteString(rapid.SampledFrom([]string{"Transfer-Encoding: identity", "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: xchunked", "Transfer-Encoding:\x0bchunked"}).Draw(t, "coding") + end() + end() + chunked)
		case "two ids":
			b.WriteString("x-attempt-id: other" + end() + length + end() + end() + body)
		case "hop":
			b.WriteString("Connection: keep-alive, X-Attempt-Id, Content-Length" + end() + length + end() + end() + body)
		}
	}
	return b.String()
})

func TestFramingMatchesStrictParser(t *testing.T) {
	read := 0
	rapid.Check(t, func(t *rapid.T) {
		text := connectionGenerator.Draw(t, "text")
		got, want := parseAsGateway(text, rapid.SampledFrom([]int{0, 0, 1, 7}).Draw(t, "in pieces of")), parseStrictly(text)
		for i, q := range got {
			if i >= len(want) || q != want[i] {
				t.Fatalf("UNASKED: %q is read as %q, strictly as %q", text, got, want)
			}
		}
		read += len(got)
	})
	if !t.Failed() && read == 0 {
		t.Error("no request was read")
	}
}
