package registry

// maxReceipts bounds the receipts that wait for the disk. Further ones are combined with the last, whose confirmation they delay.
const maxReceipts = 64

// receipt states that updates of a sender's table up to one cursor are in the receiver's table at another.
type receipt struct{ sent, received Cursor }

// Receipts tracks up to which cursor of a sender's table the departures received from it are on the receiver's disk. The zero value is
// ready for use.
type Receipts struct {
	stored  Cursor    // of the sender
	waiting []receipt // for the disk, the oldest first
}

// Add records that the updates of the sender's table up to the cursor sent are in the receiver's table, whose cursor is received.
func (r *Receipts) Add(sent, received Cursor) {
	if n := len(r.waiting); n == maxReceipts {
		r.waiting[n-1] = receipt{sent, received}
		return
	}
	r.waiting = append(r.waiting, receipt{sent, received})
}

// Confirm removes the receipts whose departures are on the disk, which isStored reports for a cursor of the receiver's table. It
// reports whether Stored has advanced.
func (r *Receipts) Confirm(isStored func(received Cursor) bool) (advanced bool) {
	confirmed := 0
	for _, w := range r.waiting {
		if !isStored(w.received) {
			break
		}
		confirmed++
		if w.sent > r.stored {
			r.stored, advanced = w.sent, true
		}
	}
	r.waiting = append(r.waiting[:0], r.waiting[confirmed:]...)
	return advanced
}

// Stored returns the cursor of the sender's table up to which all its departures are on the receiver's disk.
func (r *Receipts) Stored() Cursor { return r.stored }
