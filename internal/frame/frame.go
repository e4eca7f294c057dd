// Package frame encodes and decodes the frames of the shard servers' protocol. A frame is its length in four bytes,
// big endian, a letter, and a content that depends on the letter.
package frame

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// Letters of frames. Calls, cancellations and health checks are sent to a server; the server sends answers, errors and
// the answers to health checks, which carry the letter of the check.
const (
	CallFrame        = 'q' // calls
	CancelFrame      = 'c' // the id of a call that is cancelled
	HealthCheckFrame = 'p'
	LoadCheckFrame   = 'l' // a health check that requests a load report
	AnswerFrame      = 'a'
	ErrorFrame       = 'e' // a message: the last frame could not be parsed
)

// MaxFrameSize is the most bytes that a frame from a server may have after its length: a value as long as a whole answer,
// and its line.
const MaxFrameSize = 64<<10 + 1<<10

// lengthBytes is the size of a frame's length.
const lengthBytes = 4

// readChunk is how many bytes are allocated at a time while a frame is read, so that a length alone allocates nothing.
const readChunk = 4 << 10

// FormatError says that bytes are not a valid frame.
type FormatError struct{ Reason string }

func (e *FormatError) Error() string { return e.Reason }

// IsFormatError reports whether an error is due to the format of a frame and not to the connection.
func IsFormatError(err error) bool {
	var format *FormatError
	return errors.As(err, &format)
}

// Begin appends the beginning of a frame to b. End completes it.
func Begin(b []byte, letter byte) []byte { return append(b, 0, 0, 0, 0, letter) }

// End writes the length of the frame that begins at b[start] and ends with b.
func End(b []byte, start int) []byte {
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-lengthBytes))
	return b
}

// New returns a frame.
func New(letter byte, content string) []byte { return End(append(Begin(nil, letter), content...), 0) }

// AppendCall appends one call to an open CallFrame: a line of its id, shard, options and length of the text, then the
// text. The time limit in milliseconds is the first option; options holds the others, "" = none.
func AppendCall(b []byte, id string, shard int, millis int64, options string, text []byte) []byte {
	b = append(b, id...)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(shard), 10)
	b = append(b, " d="...)
	b = strconv.AppendInt(b, millis, 10)
	if options != "" {
		b = append(append(b, ','), options...)
	}
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(len(text)), 10)
	b = append(b, '\n')
	return append(b, text...)
}

// HasFrame reports whether Read would return without reading more: a complete frame is buffered, or an invalid one.
func HasFrame(r *bufio.Reader) bool {
	if r.Buffered() < lengthBytes {
		return false
	}
	head, _ := r.Peek(lengthBytes)
	left := int64(binary.BigEndian.Uint32(head))
	return left < 1 || left > MaxFrameSize || int64(r.Buffered()-lengthBytes) >= left
}

// Read reads one frame into buf and returns its letter and content, and buf as it has grown. It allocates only as bytes
// arrive. At the end of the input between frames the error is io.EOF, within a frame it wraps io.ErrUnexpectedEOF. An
// invalid length is a *FormatError.
func Read(r io.Reader, buf []byte) (letter byte, content, grown []byte, err error) {
	buf = append(buf[:0], 0, 0, 0, 0)
	if n, err := io.ReadFull(r, buf); err != nil {
		if n == 0 {
			return 0, nil, buf, err
		}
		return 0, nil, buf, fmt.Errorf("frame truncated within its length: %w", io.ErrUnexpectedEOF)
	}
	left := int64(binary.BigEndian.Uint32(buf))
	if left < 1 || left > MaxFrameSize {
		return 0, nil, buf, &FormatError{fmt.Sprintf("frame length %d is not from 1 to %d", left, MaxFrameSize)}
	}
	buf = buf[:0]
	for left > 0 {
		n, start := int(min(left, readChunk)), len(buf)
		buf = append(buf, make([]byte, n)...)
		if _, err := io.ReadFull(r, buf[start:]); err != nil {
			return 0, nil, buf, fmt.Errorf("frame truncated, %d bytes missing: %w", left, err)
		}
		left -= int64(n)
	}
	return buf[0], buf[1:], buf, nil
}
