package rpc

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
)

const (
	// Preface is sent by the dialing side at the start of a connection. It names the protocol and its version.
	Preface = "hive/1\r\n"
	// MaxFrameBytes is the maximum length of an encoded frame that a reader accepts.
	MaxFrameBytes = 16 << 20

	frameHeaderBytes = 4
	// maxRetainedBuffer is the maximum capacity, in bytes, of a buffer that a connection retains for the next frame.
	// Larger frames are rare, and their memory is released at once.
	maxRetainedBuffer = 64 << 10
)

// FrameTooLargeError reports a received frame whose length exceeds [MaxFrameBytes].
type FrameTooLargeError struct {
	Bytes int // the length in the frame's header
}

func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("frame of %d bytes exceeds the limit of %d", e.Bytes, MaxFrameBytes)
}

// readFrame reads one frame. It reads into buf, which it grows as needed, and returns the buffer to pass to the next
// call. Its errors are those of the reader, those of decoding, and [FrameTooLargeError].
func readFrame(r *bufio.Reader, buf []byte) (*Frame, []byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, buf, err
	}
	length := int(binary.BigEndian.Uint32(header[:]))
	if length > MaxFrameBytes {
		return nil, buf, &FrameTooLargeError{Bytes: length}
	}
	if cap(buf) < length {
		buf = make([]byte, length)
	}
	buf = buf[:length]
	if _, err := io.ReadFull(r, buf); err != nil {
		return nil, buf, err
	}
	f := &Frame{}
	if err := proto.Unmarshal(buf, f); err != nil {
		return nil, buf, err
	}
	if cap(buf) > maxRetainedBuffer {
		buf = nil
	}
	return f, buf, nil
}

// appendFrame encodes a frame with its header into buf, whose previous contents are overwritten.
func appendFrame(buf []byte, f *Frame) ([]byte, error) {
	var header [frameHeaderBytes]byte
	buf, err := proto.MarshalOptions{}.MarshalAppend(append(buf[:0], header[:]...), f)
	if err != nil {
		return nil, err
	}
	binary.BigEndian.PutUint32(buf, uint32(len(buf)-frameHeaderBytes))
	return buf, nil
}
