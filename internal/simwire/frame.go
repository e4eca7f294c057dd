// Package simwire speaks the simulator's wire: it turns its frames into the events of package brain and
// the actions back into frames. It converts names and units and decides nothing.
package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// headerRest is what a batch's header holds after its length: the clock and the number of records.
const headerRest = 12

// recordHead is a record's code and length.
const recordHead = 5

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
	if left < headerRest {
		return buf, fmt.Errorf("batch length %d is below the %d bytes of its header", left, headerRest)
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

// fields reads a record's fields in order. Past the record's end it yields zeros and remembers the fault.
type fields struct {
	b     []byte
	at    int // of b's start, in the frame, for messages
	short string
}

func (f *fields) take(n int, name string) []byte {
	if len(f.b) < n {
		if f.short == "" {
			f.short = fmt.Sprintf("field %s at byte %d wants %d bytes, %d are left", name, f.at, n, len(f.b))
		}
		f.b = nil
		return nil
	}
	got := f.b[:n]
	f.b, f.at = f.b[n:], f.at+n
	return got
}

func (f *fields) u8(name string) uint8 {
	if b := f.take(1, name); b != nil {
		return b[0]
	}
	return 0
}

func (f *fields) u16(name string) uint16 {
	if b := f.take(2, name); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (f *fields) u32(name string) uint32 {
	if b := f.take(4, name); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (f *fields) u64(name string) uint64 {
	if b := f.take(8, name); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (f *fields) f32(name string) float64 {
	return float64(math.Float32frombits(f.u32(name)))
}

func (f *fields) f64(name string) float64 { return math.Float64frombits(f.u64(name)) }

// reply gathers the records of one reply.
type reply struct {
	b       []byte
	records uint32
	open    int // where the open record's length stands
}

func (r *reply) reset() { r.b, r.records = append(r.b[:0], make([]byte, 8)...), 0 }

func (r *reply) begin(code uint8, instance uint32) {
	r.b = append(r.b, code, 0, 0, 0, 0)
	r.open = len(r.b)
	r.records++
	r.u32(instance)
}

func (r *reply) end() {
	binary.BigEndian.PutUint32(r.b[r.open-4:], uint32(len(r.b)-r.open))
}

func (r *reply) u8(v uint8)    { r.b = append(r.b, v) }
func (r *reply) u16(v uint16)  { r.b = binary.BigEndian.AppendUint16(r.b, v) }
func (r *reply) u32(v uint32)  { r.b = binary.BigEndian.AppendUint32(r.b, v) }
func (r *reply) u64(v uint64)  { r.b = binary.BigEndian.AppendUint64(r.b, v) }
func (r *reply) f64(v float64) { r.u64(math.Float64bits(v)) }

func (r *reply) frame() []byte {
	binary.BigEndian.PutUint32(r.b, uint32(len(r.b)-4))
	binary.BigEndian.PutUint32(r.b[4:], r.records)
	return r.b
}
