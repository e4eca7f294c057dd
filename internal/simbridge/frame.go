// Package simbridge speaks the simulator's wire: it turns its frames into the events of package brain and
// the actions back into frames. It converts names and units and decides nothing.
package simbridge

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// headerBytes is what a batch's header holds after its length: the clock and the number of records.
const headerBytes = 12

// recordHeaderBytes is a record's code and length.
const recordHeaderBytes = 5

// readFrame reads one length-prefixed frame's content into buf, growing it only as bytes really come.
// It returns io.EOF at a clean end of input.
func readFrame(r io.Reader, buf []byte) ([]byte, error) {
	var head [4]byte
	if n, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.EOF) && n == 0 {
			return buf, io.EOF
		}
		return buf, fmt.Errorf("batch length cut off after %d of 4 bytes", n)
	}
	left := int64(binary.BigEndian.Uint32(head[:]))
	if left < headerBytes {
		return buf, fmt.Errorf("batch length %d is below the %d bytes of its header", left, headerBytes)
	}
	buf = buf[:0]
	const step = 1 << 20
	for left > 0 {
		n := int(min(left, step))
		start := len(buf)
		buf = append(buf, make([]byte, n)...)
		got, err := io.ReadFull(r, buf[start:])
		if err != nil {
			return buf, fmt.Errorf("batch cut off after %d bytes, %d more were stated", start+got, left-int64(got))
		}
		left -= int64(n)
	}
	return buf, nil
}

// recordReader reads a record's fields in order. Past the record's end it yields zeros and remembers the fault.
type recordReader struct {
	data      []byte
	offset    int // of b's start, in the frame, for messages
	truncated string
}

func (f *recordReader) take(n int, name string) []byte {
	if len(f.data) < n {
		if f.truncated == "" {
			f.truncated = fmt.Sprintf("field %s at byte %d wants %d bytes, %d are left", name, f.offset, n, len(f.data))
		}
		f.data = nil
		return nil
	}
	got := f.data[:n]
	f.data, f.offset = f.data[n:], f.offset+n
	return got
}

func (f *recordReader) u8(name string) uint8 {
	if b := f.take(1, name); b != nil {
		return b[0]
	}
	return 0
}

func (f *recordReader) u16(name string) uint16 {
	if b := f.take(2, name); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (f *recordReader) u32(name string) uint32 {
	if b := f.take(4, name); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (f *recordReader) u64(name string) uint64 {
	if b := f.take(8, name); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (f *recordReader) f32(name string) float64 {
	return float64(math.Float32frombits(f.u32(name)))
}

func (f *recordReader) f64(name string) float64 { return math.Float64frombits(f.u64(name)) }

// replyWriter gathers the records of one reply.
type replyWriter struct {
	data     []byte
	records  uint32
	lengthAt int // where the open record's length stands
}

func (r *replyWriter) reset() { r.data, r.records = append(r.data[:0], make([]byte, 8)...), 0 }

func (r *replyWriter) begin(code uint8, instance uint32) {
	r.data = append(r.data, code, 0, 0, 0, 0)
	r.lengthAt = len(r.data)
	r.records++
	r.u32(instance)
}

func (r *replyWriter) end() {
	binary.BigEndian.PutUint32(r.data[r.lengthAt-4:], uint32(len(r.data)-r.lengthAt))
}

func (r *replyWriter) u8(v uint8)    { r.data = append(r.data, v) }
func (r *replyWriter) u16(v uint16)  { r.data = binary.BigEndian.AppendUint16(r.data, v) }
func (r *replyWriter) u32(v uint32)  { r.data = binary.BigEndian.AppendUint32(r.data, v) }
func (r *replyWriter) u64(v uint64)  { r.data = binary.BigEndian.AppendUint64(r.data, v) }
func (r *replyWriter) f64(v float64) { r.u64(math.Float64bits(v)) }

func (r *replyWriter) frame() []byte {
	binary.BigEndian.PutUint32(r.data, uint32(len(r.data)-4))
	binary.BigEndian.PutUint32(r.data[4:], r.records)
	return r.data
}
