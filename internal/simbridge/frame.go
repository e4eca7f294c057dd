package simbridge

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// headerBytes is the size of a batch's header, which follows the length: the clock and the number of records.
const headerBytes = 12

// lengthBytes is the size of the length field of a batch, a record or a string.
const lengthBytes = 4

// readChunk is the number of bytes by which the buffer grows while a batch is read, so that a large length alone, without
// the content, does not allocate a buffer of that length.
const readChunk = 1 << 20

// readBatch reads the content of one batch into buf, which it extends as needed, and returns it. If the input ends between
// two batches, the error is io.EOF.
func readBatch(r io.Reader, buf []byte) ([]byte, error) {
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

// truncatedError reports a field that extends beyond the end of its record.
type truncatedError struct {
	field           string
	offset          int // offset of the field in the batch
	size, bytesLeft int
}

func (e *truncatedError) Error() string {
	return fmt.Sprintf("field %s at byte %d needs %d bytes, %d are left", e.field, e.offset, e.size, e.bytesLeft)
}

// recordReader reads the fields of a record in order. A field that extends beyond the end of the record reads as zero, and
// err reports the first one.
type recordReader struct {
	data   []byte
	offset int   // offset of data in the batch
	err    error // a *truncatedError, or nil
}

// next returns the next n bytes of the record, or nil if fewer are left. The name of the field is for the error.
func (r *recordReader) next(n int, field string) []byte {
	if len(r.data) < n {
		if r.err == nil {
			r.err = &truncatedError{field, r.offset, n, len(r.data)}
		}
		r.data = nil
		return nil
	}
	content := r.data[:n]
	r.data, r.offset = r.data[n:], r.offset+n
	return content
}

func (r *recordReader) u8(field string) uint8 {
	if b := r.next(1, field); b != nil {
		return b[0]
	}
	return 0
}

func (r *recordReader) u16(field string) uint16 {
	if b := r.next(2, field); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (r *recordReader) u32(field string) uint32 {
	if b := r.next(4, field); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (r *recordReader) u64(field string) uint64 {
	if b := r.next(8, field); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (r *recordReader) f32(field string) float64 { return float64(math.Float32frombits(r.u32(field))) }
func (r *recordReader) f64(field string) float64 { return math.Float64frombits(r.u64(field)) }

// replyWriter writes the records of one reply.
type replyWriter struct {
	data         []byte
	records      uint32
	contentStart int // offset of the open record's content, after its length
}

// reset starts a new reply and reserves space for its length and the number of records.
func (w *replyWriter) reset() {
	w.data, w.records = append(w.data[:0], make([]byte, 2*lengthBytes)...), 0
}

// begin starts a record of an instance, whose length is not known yet.
func (w *replyWriter) begin(code uint8, instance uint32) {
	w.data = append(w.data, code, 0, 0, 0, 0)
	w.contentStart = len(w.data)
	w.records++
	w.u32(instance)
}

// end completes the open record: it sets its length.
func (w *replyWriter) end() {
	binary.BigEndian.PutUint32(w.data[w.contentStart-lengthBytes:], uint32(len(w.data)-w.contentStart))
}

func (w *replyWriter) u8(v uint8)    { w.data = append(w.data, v) }
func (w *replyWriter) u16(v uint16)  { w.data = binary.BigEndian.AppendUint16(w.data, v) }
func (w *replyWriter) u32(v uint32)  { w.data = binary.BigEndian.AppendUint32(w.data, v) }
func (w *replyWriter) u64(v uint64)  { w.data = binary.BigEndian.AppendUint64(w.data, v) }
func (w *replyWriter) f64(v float64) { w.u64(math.Float64bits(v)) }

// flag writes a boolean as one byte: 1 for true, 0 for false.
func (w *replyWriter) flag(v bool) {
	if v {
		w.u8(1)
	} else {
		w.u8(0)
	}
}

// frame sets the length and the number of records and returns the complete reply. It is valid until the next reset.
func (w *replyWriter) frame() []byte {
	binary.BigEndian.PutUint32(w.data, uint32(len(w.data)-lengthBytes))
	binary.BigEndian.PutUint32(w.data[lengthBytes:], w.records)
	return w.data
}
