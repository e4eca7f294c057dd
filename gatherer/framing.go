package gatherer

import (
	"bytes"
	"strconv"
	"strings"
)

// requestFramer finds the requests in the bytes of a connection, beside net/http, to detect ambiguous lengths. net/http
// hides those: with a Transfer-Encoding it drops the Content-Length before a handler sees the request, and the body may
// smuggle what another server would take for the next request.
type requestFramer struct {
	state         framerState
	line          []byte // the beginning of the present line, from earlier calls
	remaining     int64  // bytes of the body or chunk that are still to come
	lengths       int    // Content-Length lines of the present head
	chunked       bool   // the present head has a Transfer-Encoding
	legacyVersion bool   // the present request is not HTTP/1.1
	heads         int    // requests begun
	ambiguousAt   int    // number of the first ambiguous request, after which nothing is parsed; 0 = none
}

// framerState is the part of a request that is being read.
type framerState uint8

const (
	inRequestLine framerState = iota
	inHead
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
)

// atRequestBoundary reports whether all bytes so far are complete requests.
func (f *requestFramer) atRequestBoundary() bool {
	return f.state == inRequestLine && len(f.line) == 0 && f.ambiguousAt == 0 && f.heads > 0
}

// inHead reports whether a head was read partly.
func (f *requestFramer) inHead() bool {
	return f.ambiguousAt == 0 && (f.state == inHead || f.state == inRequestLine && len(f.line) > 0)
}

// feed parses more bytes.
func (f *requestFramer) feed(b []byte) {
	for len(b) > 0 && f.ambiguousAt == 0 {
		if f.state == inBody || f.state == inChunk {
			n := min(f.remaining, int64(len(b)))
			b, f.remaining = b[n:], f.remaining-n
			if f.remaining > 0 {
				return
			}
			if f.state++; f.state == inChunkSize { // the end of a body is that of its request
				f.state = inRequestLine
			}
			continue
		}
		if f.state == inRequestLine && len(f.line) == 0 {
			f.heads++
		}
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			if f.line = append(f.line, b...); len(f.line) > 2*maxHeaderBytes {
				f.ambiguousAt = f.heads
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

// endLine parses a complete line.
func (f *requestFramer) endLine(line string) {
	switch f.state {
	case inRequestLine:
		f.lengths, f.remaining, f.chunked, f.legacyVersion = 0, 0, false, !strings.HasSuffix(line, " HTTP/1.1")
		f.state = inHead
	case inHead:
		f.headerLine(line)
	case inChunkSize:
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 62)
		switch f.remaining = int64(n); {
		case err != nil:
			f.ambiguousAt = f.heads
		case n == 0:
			f.state = inTrailer
		default:
			f.state = inChunk
		}
	case inChunkEnd:
		if f.state = inChunkSize; line != "" {
			f.ambiguousAt = f.heads
		}
	case inTrailer:
		if line == "" {
			f.state = inRequestLine
		}
	}
}

// headerLine parses a line of a head; an empty line ends the head.
func (f *requestFramer) headerLine(line string) {
	if line == "" {
		switch {
		case f.lengths > 1 || f.chunked && (f.lengths > 0 || f.legacyVersion):
			f.ambiguousAt = f.heads
		case f.chunked:
			f.state = inChunkSize
		case f.remaining > 0:
			f.state = inBody
		default:
			f.state = inRequestLine
		}
		return
	}
	name, value, _ := strings.Cut(line, ":")
	value = strings.Trim(value, " \t")
	switch name = strings.ToLower(strings.Trim(name, " \t\r\v\f")); {
	case line[0] == ' ' || line[0] == '\t': // folded, which servers understand differently
		f.ambiguousAt = f.heads
	case name == "content-length":
		n, err := strconv.ParseUint(value, 10, 62)
		f.remaining, f.lengths = int64(n), f.lengths+1
		if err != nil {
			f.ambiguousAt = f.heads
		}
	case name == "transfer-encoding":
		if f.chunked = true; !strings.EqualFold(value, "chunked") {
			f.ambiguousAt = f.heads
		}
	}
}
