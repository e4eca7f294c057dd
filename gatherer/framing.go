package gatherer

import (
	"bytes"
	"strconv"
	"strings"
)

// requestFramer parses the request boundaries in the bytes of a connection, in parallel with net/http, to detect
// requests of ambiguous length. net/http hides these: if there is a Transfer-Encoding, it drops the Content-Length
// before a handler sees the request. The body could then smuggle bytes that another server would parse as the next
// request.
type requestFramer struct {
	state          framerState
	line           []byte // the beginning of the current line, from earlier calls of feed
	remaining      int64  // bytes of the body or chunk that are not read yet
	contentLengths int    // Content-Length lines in the current head
	chunked        bool   // the current head has a Transfer-Encoding
	legacyVersion  bool   // the current request is not HTTP/1.1
	requestsBegun  int    // requests of which at least a byte was read
	firstAmbiguous int    // number of the first ambiguous request, from 1; nothing is parsed after it; 0 = none
}

// framerState is the part of a request that the next byte belongs to.
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

// atRequestBoundary reports whether the bytes so far are one or more complete requests.
func (f *requestFramer) atRequestBoundary() bool {
	return f.state == inRequestLine && len(f.line) == 0 && f.firstAmbiguous == 0 && f.requestsBegun > 0
}

// inHead reports whether a request head was read partly.
func (f *requestFramer) inHead() bool {
	return f.firstAmbiguous == 0 && (f.state == inHead || f.state == inRequestLine && len(f.line) > 0)
}

// feed parses the next bytes of the connection, unless an earlier request was ambiguous.
func (f *requestFramer) feed(b []byte) {
	for len(b) > 0 && f.firstAmbiguous == 0 {
		if f.state == inBody || f.state == inChunk {
			n := min(f.remaining, int64(len(b)))
			b, f.remaining = b[n:], f.remaining-n
			if f.remaining > 0 {
				return
			}
			if f.state++; f.state == inChunkSize { // the end of a body without chunks ends the request
				f.state = inRequestLine
			}
			continue
		}
		if f.state == inRequestLine && len(f.line) == 0 {
			f.requestsBegun++
		}
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			if f.line = append(f.line, b...); len(f.line) > 2*maxHeaderBytes {
				f.firstAmbiguous = f.requestsBegun
			}
			return
		}
		line := b[:end]
		if len(f.line) > 0 {
			line = append(f.line, line...)
		}
		f.line, b = nil, b[end+1:]
		f.parseLine(strings.TrimSuffix(string(line), "\r"))
	}
}

// parseLine parses a complete line, without its line break.
func (f *requestFramer) parseLine(line string) {
	switch f.state {
	case inRequestLine:
		f.contentLengths, f.remaining, f.chunked, f.legacyVersion = 0, 0, false, !strings.HasSuffix(line, " HTTP/1.1")
		f.state = inHead
	case inHead:
		f.parseHeaderLine(line)
	case inChunkSize:
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 62)
		switch f.remaining = int64(n); {
		case err != nil:
			f.firstAmbiguous = f.requestsBegun
		case n == 0:
			f.state = inTrailer
		default:
			f.state = inChunk
		}
	case inChunkEnd:
		if f.state = inChunkSize; line != "" {
			f.firstAmbiguous = f.requestsBegun
		}
	case inTrailer:
		if line == "" {
			f.state = inRequestLine
		}
	}
}

// parseHeaderLine parses a header line; an empty line ends the head.
func (f *requestFramer) parseHeaderLine(line string) {
	if line == "" {
		switch {
		case f.contentLengths > 1 || f.chunked && (f.contentLengths > 0 || f.legacyVersion):
			f.firstAmbiguous = f.requestsBegun
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
	case line[0] == ' ' || line[0] == '\t': // obsolete line folding, which servers interpret differently
		f.firstAmbiguous = f.requestsBegun
	case name == "content-length":
		n, err := strconv.ParseUint(value, 10, 62)
		f.remaining, f.contentLengths = int64(n), f.contentLengths+1
		if err != nil {
			f.firstAmbiguous = f.requestsBegun
		}
	case name == "transfer-encoding":
		if f.chunked = true; !strings.EqualFold(value, "chunked") {
			f.firstAmbiguous = f.requestsBegun
		}
	}
}
