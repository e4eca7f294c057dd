// Package frame encodes and decodes the frames of the shard servers' protocol. A frame consists of a length in four bytes,
// big endian, a letter that denotes the frame type, and a content that depends on the type. The length is that of the letter
// and the content.
package frame

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// Frame types. Calls, cancellations and health checks are sent to a server. The server sends responses to calls, errors, and
// responses to health checks, which have the frame type of the check.
const (
	CallFrame        = 'q' // one or more calls
	CancelFrame      = 'c' // the id of a call to cancel
	HealthCheckFrame = 'p'
	LoadCheckFrame   = 'l' // a health check that requests a load report
	ResponseFrame    = 'a' // the response to a call
	ErrorFrame       = 'e' // an error message: the server could not parse the last frame
)

// MaxFrameSize is the maximum length of a frame from a server in bytes, without the length itself: a value of the size of a
// complete response, and its line.
const MaxFrameSize = 64<<10 + 1<<10

// lengthBytes is the size of the length of a frame in bytes.
const lengthBytes = 4

// readChunk is the number of bytes by which the buffer grows while a frame is read, so that a large length without content does
// not lead to a large allocation.
const readChunk = 4 << 10

// FormatError is the error for data that is not a valid frame.
type FormatError struct{ Reason string }

func (e *FormatError) Error() string { return e.Reason }

// IsFormatError reports whether an error is or wraps a *FormatError, that is, whether it was caused by the format of a frame and
// not by the connection.
func IsFormatError(err error) bool {
	var formatErr *FormatError
	return errors.As(err, &formatErr)
}

// Begin appends the beginning of a frame of the given type to b. The length is set by End.
func Begin(b []byte, frameType byte) []byte { return append(b, 0, 0, 0, 0, frameType) }

// End sets the length of the frame that begins at b[start] and ends at the end of b.
func End(b []byte, start int) []byte {
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-lengthBytes))
	return b
}

// New returns a frame of the given type and content.
func New(frameType byte, content string) []byte {
	return End(append(Begin(nil, frameType), content...), 0)
}

// AppendCall appends a call to a CallFrame that was begun in b: a line with its id, shard, options and the length of the text,
// followed by the text. timeoutMillis, the time limit in milliseconds, is the first option; options holds the others, "" = none.
func AppendCall(b []byte, id string, shard int, timeoutMillis int64, options string, text []byte) []byte {
	b = append(b, id...)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(shard), 10)
	b = append(b, " d="...)
	b = strconv.AppendInt(b, timeoutMillis, 10)
	if options != "" {
		b = append(append(b, ','), options...)
	}
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(len(text)), 10)
	b = append(b, '\n')
	return append(b, text...)
}

// HasFrame reports whether Read would return without reading from the underlying reader, because the buffer holds a complete
// frame or an invalid length.
func HasFrame(r *bufio.Reader) bool {
	if r.Buffered() < lengthBytes {
		return false
	}
	header, _ := r.Peek(lengthBytes)
	length := int64(binary.BigEndian.Uint32(header))
	return length < 1 || length > MaxFrameSize || int64(r.Buffered()-lengthBytes) >= length
}

// Read reads one frame into buf and returns its type and content, and the buffer, which may have grown. Memory is allocated only
// as bytes arrive. If the input ends between frames the error is io.EOF; if it ends within a frame, the error wraps
// io.ErrUnexpectedEOF. An invalid length is reported as a *FormatError.
func Read(r io.Reader, buf []byte) (frameType byte, content, grown []byte, err error) {
	buf = append(buf[:0], 0, 0, 0, 0)
	if n, err := io.ReadFull(r, buf); err != nil {
		if n == 0 {
			return 0, nil, buf, err
		}
		return 0, nil, buf, fmt.Errorf("frame truncated within its length: %w", io.ErrUnexpectedEOF)
	}
	remaining := int64(binary.BigEndian.Uint32(buf))
	if remaining < 1 || remaining > MaxFrameSize {
		return 0, nil, buf, &FormatError{fmt.Sprintf("frame length %d is not from 1 to %d", remaining, MaxFrameSize)}
	}
	buf = buf[:0]
	for remaining > 0 {
		n, start := int(min(remaining, readChunk)), len(buf)
		buf = append(buf, make([]byte, n)...)
		if _, err := io.ReadFull(r, buf[start:]); err != nil {
			return 0, nil, buf, fmt.Errorf("frame truncated, %d bytes missing: %w", remaining, err)
		}
		remaining -= int64(n)
	}
	return buf[0], buf[1:], buf, nil
}
