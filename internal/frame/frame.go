// Package frame is the codec of the shard servers' protocol: a length of four bytes, a letter, the rest.
package frame

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strconv"
	"unicode/utf8"
)

// The letters.
const (
	CallFrame        = 'q' // parts asked for
	CancelFrame      = 'c' // a part's id: it is given up
	HealthCheckFrame = 'p'
	LoadCheckFrame   = 'l' // a probe for load
	AnswerFrame      = 'a'
	ErrorFrame       = 'e' // the frame before could not be used
)

// MaxFrameSize is the most that a frame from a server may state: a value as long as a whole answer, and its line.
const MaxFrameSize = 64<<10 + 1<<10

// readChunk is how much is set aside at a time while a frame comes in, so that a stated length alone costs nothing.
const readChunk = 4 << 10

// Begin opens a frame in b; End closes it.
func Begin(b []byte, letter byte) []byte { return append(b, 0, 0, 0, 0, letter) }

// End writes the length of the frame that starts at byte start of b.
func End(b []byte, start int) []byte {
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-4))
	return b
}

// AppendCall adds one part to an open call: its line and the search's text. What more the line's list holds, beside the time
// limit, is in list; "" = nothing.
func AppendCall(b []byte, id string, shard int, millis int64, list string, text []byte) []byte {
	b = append(b, id...)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(shard), 10)
	b = append(b, " d="...)
	b = strconv.AppendInt(b, millis, 10)
	if list != "" {
		b = append(append(b, ','), list...)
	}
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(len(text)), 10)
	b = append(b, '\n')
	return append(b, text...)
}

// New is a frame made in one go.
func New(letter byte, rest string) []byte { return End(append(Begin(nil, letter), rest...), 0) }

// HasFrame tells whether Read would return without waiting for more: a whole frame has come, or what came cannot
// be one.
func HasFrame(r *bufio.Reader) bool {
	if r.Buffered() < 4 {
		return false
	}
	head, _ := r.Peek(4)
	left := int64(binary.BigEndian.Uint32(head))
	return left < 1 || left > MaxFrameSize || int64(r.Buffered()-4) >= left
}

// Read reads one frame into buf, growing it only as bytes really come. At a clean end it returns io.EOF.
func Read(r io.Reader, buf []byte) (letter byte, rest, grown []byte, err error) {
	buf = append(buf[:0], 0, 0, 0, 0)
	if n, err := io.ReadFull(r, buf); err != nil {
		if n == 0 {
			return 0, nil, buf, err
		}
		return 0, nil, buf, fmt.Errorf("frame cut off within its length: %w", io.ErrUnexpectedEOF)
	}
	left := int64(binary.BigEndian.Uint32(buf))
	if left < 1 || left > MaxFrameSize {
		return 0, nil, buf, &FormatError{fmt.Sprintf("a frame of %d bytes was stated, 1 to %d are allowed", left, MaxFrameSize)}
	}
	buf = buf[:0]
	for left > 0 {
		n, start := int(min(left, readChunk)), len(buf)
		buf = append(buf, make([]byte, n)...)
		if _, err := io.ReadFull(r, buf[start:]); err != nil {
			return 0, nil, buf, fmt.Errorf("frame cut off, %d bytes were still stated: %w", left, err)
		}
		left -= int64(n)
	}
	return buf[0], buf[1:], buf, nil
}

// FormatError says that bytes are not the protocol's form.
type FormatError struct{ Reason string }

func (e *FormatError) Error() string { return e.Reason }

// End of a part, as the server says it.
type Status uint8

const (
	Served   Status = iota // it ran
	Failed                 // it may have run
	Rejected               // it never ran
)

// An Answered is the content of an answer frame. Its slices are those of the frame.
type AnswerBody struct {
	ID, Report, Value []byte
	Status            Status
}

// ParseAnswer reads the rest of an answer frame. With an error it still gives the id, where the line has one: the
// part that it names has run.
func ParseAnswer(rest []byte) (a AnswerBody, err error) {
	line, value, ok := bytes.Cut(rest, []byte{'\n'})
	words := bytes.SplitN(line, []byte{' '}, 4)
	a.ID = words[0]
	if !ok || len(words) != 4 || len(words[0]) == 0 {
		return a, &FormatError{fmt.Sprintf("answer line %.60q is not 'ID END SCORE REPORT'", line)}
	}
	if _, err := strconv.ParseFloat(string(words[2]), 64); err != nil && string(words[2]) != "-" {
		return a, &FormatError{fmt.Sprintf("the score %.40q is no number", words[2])}
	}
	if !utf8.Valid(value) {
		return a, &FormatError{"the value is not text, and could not be passed on as it came"}
	}
	a.Report, a.Value = words[3], value
	switch string(words[1]) {
	case "served":
		a.Status = Served
	case "broke":
		a.Status = Failed
	case "skipped":
		a.Status = Rejected
	default:
		return a, &FormatError{fmt.Sprintf("answer ends in unknown %.20q", words[1])}
	}
	return a, nil
}

// ReportValue finds one figure of a report such as inflight=7,util=0.61.
func ReportValue(report []byte, name string) (float64, bool) {
	for pair := range bytes.SplitSeq(report, []byte{','}) {
		if key, value, ok := bytes.Cut(pair, []byte{'='}); ok && string(key) == name {
			v, err := strconv.ParseFloat(string(value), 64)
			return v, err == nil && v-v == 0 // neither infinite nor no number
		}
	}
	return 0, false
}

// IsFormatError tells whether an error says that the form was broken, not the connection.
func IsFormatError(err error) bool {
	var form *FormatError
	return errors.As(err, &form)
}
