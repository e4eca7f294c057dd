package simbridge

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// headerBytes is the size of a batch's header after its length: the clock and the number of records.
const headerBytes = 12

// lengthBytes is the size of the length of a batch, a record or a string.
const lengthBytes = 4

// readChunk is how many bytes are allocated at a time while a batch is read, so that a length alone allocates nothing.
const readChunk = 1 << 20

// readFrame reads the content of one batch into buf. At the end of the input between batches the error is io.EOF.
func readFrame(r io.Reader, buf []byte) ([]byte, error) {
	var head [lengthBytes]byte
	if n, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.EOF) && n == 0 {
			return buf, io.EOF
		}
		return buf, fmt.Errorf("batch length truncated after %d of %d bytes", n, lengthBytes)
	}
	left := int64(binary.BigEndian.Uint32(head[:]))
	if left < headerBytes {
		return buf, fmt.Errorf("batch length %d is below the %d bytes of its header", left, headerBytes)
	}
	buf = buf[:0]
	for left > 0 {
		n := int(min(left, readChunk))
		start := len(buf)
		buf = append(buf, make([]byte, n)...)
		got, err := io.ReadFull(r, buf[start:])
		if err != nil {
			return buf, fmt.Errorf("batch truncated after %d bytes, %d missing", start+got, left-int64(got))
		}
		left -= int64(n)
	}
	return buf, nil
}

// truncatedError says that a field does not fit in its record.
type truncatedError struct {
	field           string
	offset          int // in the batch
	size, bytesLeft int
}

func (e *truncatedError) Error() string {
	return fmt.Sprintf("field %s at byte %d needs %d bytes, %d are left", e.field, e.offset, e.size, e.bytesLeft)
}

// recordReader reads the fields of a record in order. After the end of the record it returns zeros, with the first such
// field in err.
type recordReader struct {
	data   []byte
	offset int // of data in the batch
	err    error
}

func (r *recordReader) take(n int, field string) []byte {
	if len(r.data) < n {
		if r.err == nil {
			r.err = &truncatedError{field, r.offset, n, len(r.data)}
		}
		r.data = nil
		return nil
	}
	taken := r.data[:n]
	r.data, r.offset = r.data[n:], r.offset+n
	return taken
}

func (r *recordReader) u8(field string) uint8 {
	if b := r.take(1, field); b != nil {
		return b[0]
	}
	return 0
}

func (r *recordReader) u16(field string) uint16 {
	if b := r.take(2, field); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (r *recordReader) u32(field string) uint32 {
	if b := r.take(4, field); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (r *recordReader) u64(field string) uint64 {
	if b := r.take(8, field); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (r *recordReader) f32(field string) float64 { return float64(math.Float32frombits(r.u32(field))) }
func (r *recordReader) f64(field string) float64 { return math.Float64frombits(r.u64(field)) }

// replyWriter writes the records of one reply.
type replyWriter struct {
	data     []byte
	records  uint32
	lengthAt int // offset after the length of the open record
}

// reset begins a new reply, with room for its length and the number of records.
func (w *replyWriter) reset() {
	w.data, w.records = append(w.data[:0], make([]byte, 2*lengthBytes)...), 0
}

// begin opens a record, and end closes it.
func (w *replyWriter) begin(code uint8, instance uint32) {
	w.data = append(w.data, code, 0, 0, 0, 0)
	w.lengthAt = len(w.data)
	w.records++
	w.u32(instance)
}

func (w *replyWriter) end() {
	binary.BigEndian.PutUint32(w.data[w.lengthAt-lengthBytes:], uint32(len(w.data)-w.lengthAt))
}

func (w *replyWriter) u8(v uint8)    { w.data = append(w.data, v) }
func (w *replyWriter) u16(v uint16)  { w.data = binary.BigEndian.AppendUint16(w.data, v) }
func (w *replyWriter) u32(v uint32)  { w.data = binary.BigEndian.AppendUint32(w.data, v) }
func (w *replyWriter) u64(v uint64)  { w.data = binary.BigEndian.AppendUint64(w.data, v) }
func (w *replyWriter) f64(v float64) { w.u64(math.Float64bits(v)) }

func (w *replyWriter) flag(v bool) {
	if v {
		w.u8(1)
	} else {
		w.u8(0)
	}
}

// frame returns the complete reply. It is valid until reset.
func (w *replyWriter) frame() []byte {
	binary.BigEndian.PutUint32(w.data, uint32(len(w.data)-lengthBytes))
	binary.BigEndian.PutUint32(w.data[lengthBytes:], w.records)
	return w.data
}
