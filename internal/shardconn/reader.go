package shardconn

import (
	"bufio"
	"strconv"

	"oxbowspan/internal/frame"
)

// maxRetainedBuffer is the maximum capacity, in bytes, of a frame buffer that a connection retains between frames.
const maxRetainedBuffer = 8 << 10

// readBufferSize is the size of the buffered reader of a connection, in bytes.
const readBufferSize = 4 << 10

// maxServerFaultBytes is the maximum length of a server's error message in the log, in bytes; longer ones are truncated.
const maxServerFaultBytes = 100

// inboundFrame is a parsed frame from the server.
type inboundFrame struct {
	letter            byte
	id, report, value string
	status            frame.Status
}

// serverFaultError is the error of an error frame, with which the server reports that it could not parse a frame.
type serverFaultError struct{ message string }

func (e *serverFaultError) Error() string { return e.message }

// frameReader reads the frames of a connection and accounts for the memory of its buffer.
type frameReader struct {
	conn      *conn
	r         *bufio.Reader
	buf       []byte
	accounted int // capacity of buf that is accounted for, in bytes
}

// account updates the memory account after a change of the buffer's capacity.
func (f *frameReader) account() {
	memory := f.conn.client.config.Memory
	if grown := cap(f.buf) - f.accounted; grown > 0 {
		memory.ForceAcquire(int64(grown))
	} else if grown < 0 {
		memory.Release(int64(-grown))
	}
	f.accounted = cap(f.buf)
}

// release frees the buffer and its accounted memory.
func (f *frameReader) release() {
	f.buf = nil
	f.account()
}

// awaitFrame waits for the first byte of a frame. Before that it frees a large buffer, so that a connection that once
// received a long value does not retain its memory until the connection ends.
func (f *frameReader) awaitFrame() error {
	if cap(f.buf) > maxRetainedBuffer {
		f.release()
	}
	_, err := f.r.Peek(1)
	return err
}

// next reads one frame. With a format error it returns a frame with the letter and, if the frame contains one, the id.
func (f *frameReader) next() (inboundFrame, error) {
	letter, rest, grown, err := frame.Read(f.r, f.buf)
	f.buf = grown
	f.account()
	if err != nil {
		return inboundFrame{letter: letter}, err
	}
	return parseFrame(letter, rest)
}

// readLoop reads frames until the connection ends. It passes all frames read at once to the client in one event, so that
// the client sends nothing new on a connection whose last answer is followed by invalid bytes.
func (c *conn) readLoop() {
	reader := &frameReader{conn: c, r: bufio.NewReaderSize(c.netConn, readBufferSize)}
	defer reader.release()
	batch := received{conn: c}
	send := func() {
		batch.at = c.client.now()
		c.client.events <- batch
		batch = received{conn: c}
	}
	for {
		if !frame.HasFrame(reader.r) {
			batch.partial = reader.r.Buffered() > 0
			if batch.partial || len(batch.frames) > 0 {
				send()
			}
			if reader.r.Buffered() == 0 {
				if err := reader.awaitFrame(); err != nil {
					c.stop(closeReason(err), err.Error())
					return
				}
				continue
			}
		}
		f, err := reader.next()
		switch {
		case frame.IsFormatError(err): // the client's goroutine closes the connection and ends the attempt with an error
			batch.formatErr = err
			batch.frames = append(batch.frames, f)
			send()
			return
		case err != nil:
			if len(batch.frames) > 0 {
				send()
			}
			reason := closeReason(err)
			if f.letter == frame.ErrorFrame {
				reason = endServerFault
			}
			c.stop(reason, err.Error())
			return
		}
		batch.frames = append(batch.frames, f)
	}
}

// parseFrame parses the content of a frame. With an error it returns a frame with the id, if the content has one.
func parseFrame(letter byte, rest []byte) (f inboundFrame, err error) {
	f.letter = letter
	switch letter {
	case frame.ResponseFrame:
		var a frame.ResponseBody
		a, err = frame.ParseResponse(rest)
		f.id, f.report, f.value, f.status = string(a.ID), string(a.Report), string(a.Value), a.Status
	case frame.HealthCheckFrame, frame.LoadCheckFrame:
		f.report = string(rest)
		if f.report == frame.StatusFailed {
			f.status = frame.Failed
		}
		if letter == frame.HealthCheckFrame {
			f.report = ""
		}
	case frame.ErrorFrame:
		err = &serverFaultError{string(rest[:min(len(rest), maxServerFaultBytes)])}
	default:
		err = &frame.FormatError{Reason: "unknown letter " + strconv.QuoteRune(rune(letter))}
	}
	return f, err
}
