package gatherer

import (
	"bytes"
	"strconv"
	"strings"
)

// framing follows the bytes of a client's connection from request to request, beside net/http, which takes away what
// contradicts itself: with a Transfer-Encoding it drops the Content-Length before a handler sees the request, and what
// another server would take for the next request then hides in the body.
type framing struct {
	state   framingState
	line    []byte // of the present line, what came before
	left    int64  // bytes of the body, or of a chunk
	lengths int    // Content-Length lines of the present head
	coded   bool   // it has a Transfer-Encoding
	old     bool   // its request is not HTTP/1.1
	heads   int    // heads begun
	doubt   int    // the first that can be read in two ways: from it on nothing is followed; 0 = none
}

type framingState uint8

const (
	inRequestLine framingState = iota
	inHead
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
)

// between tells whether all that came is whole requests, and nothing of another.
func (f *framing) between() bool {
	return f.state == inRequestLine && len(f.line) == 0 && f.doubt == 0 && f.heads > 0
}

// inHead tells whether part of a head has come, and not all of it.
func (f *framing) inHead() bool {
	return f.doubt == 0 && (f.state == inHead || f.state == inRequestLine && len(f.line) > 0)
}

// take follows some more bytes.
func (f *framing) take(b []byte) {
	for len(b) > 0 && f.doubt == 0 {
		if f.state == inBody || f.state == inChunk {
			n := min(f.left, int64(len(b)))
			b, f.left = b[n:], f.left-n
			if f.left > 0 {
				return
			}
			if f.state++; f.state == inChunkSize { // a body's end is a request's
				f.state = inRequestLine
			}
			continue
		}
		if f.state == inRequestLine && len(f.line) == 0 {
			f.heads++
		}
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			if f.line = append(f.line, b...); len(f.line) > 2*mostHead {
				f.doubt = f.heads
			}
			return
		}
		line := b[:end]
		if len(f.line) > 0 {
			line = append(f.line, line...)
		}
		f.line, b = nil, b[end+1:]
		f.endLine(strings.TrimSuffix(string(line), "\r"))
	}
}

func (f *framing) endLine(line string) {
	switch f.state {
	case inRequestLine:
		f.lengths, f.left, f.coded, f.old = 0, 0, false, !strings.HasSuffix(line, " HTTP/1.1")
		f.state = inHead
	case inHead:
		f.field(line)
	case inChunkSize:
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 62)
		switch f.left = int64(n); {
		case err != nil:
			f.doubt = f.heads
		case n == 0:
			f.state = inTrailer
		default:
			f.state = inChunk
		}
	case inChunkEnd:
		if f.state = inChunkSize; line != "" {
			f.doubt = f.heads
		}
	case inTrailer:
		if line == "" {
			f.state = inRequestLine
		}
	}
}

// field takes a line of a head; an empty one ends it.
func (f *framing) field(line string) {
	if line == "" {
		switch {
		case f.lengths > 1 || f.coded && (f.lengths > 0 || f.old):
			f.doubt = f.heads
		case f.coded:
			f.state = inChunkSize
		case f.left > 0:
			f.state = inBody
		default:
			f.state = inRequestLine
		}
		return
	}
	name, value, _ := strings.Cut(line, ":")
	value = strings.Trim(value, " \t")
	switch name = strings.ToLower(strings.Trim(name, " \t\r\v\f")); {
	case line[0] == ' ' || line[0] == '\t': // folded: readers differ on what it belongs to
		f.doubt = f.heads
	case name == "content-length":
		n, err := strconv.ParseUint(value, 10, 62)
		f.left, f.lengths = int64(n), f.lengths+1
		if err != nil {
			f.doubt = f.heads
		}
	case name == "transfer-encoding":
		if f.coded = true; !strings.EqualFold(value, "chunked") {
			f.doubt = f.heads
		}
	}
}
