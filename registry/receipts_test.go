package registry

import "testing"

// A sender's departures are confirmed in order, and only once the disk holds what had been received with them.
func TestReceiptsAreConfirmedOnceStored(t *testing.T) {
	var r Receipts
	disk := Cursor(0)
	isStored := func(received Cursor) bool { return received <= disk }
	r.Add(10, 100)
	r.Add(20, 120)
	r.Add(30, 140)
	for _, step := range []struct {
		disk     Cursor
		advanced bool
		want     Cursor
	}{{99, false, 0}, {100, true, 10}, {139, true, 20}, {139, false, 20}, {500, true, 30}} {
		disk = step.disk
		if advanced := r.Confirm(isStored); advanced != step.advanced || r.Stored() != step.want {
			t.Errorf("disk at %d: confirmed %d (advanced: %v), want %d", disk, r.Stored(), advanced, step.want)
		}
	}
}

// While the disk stalls, the receipts are bounded, and none is confirmed before its own departures are on the disk.
func TestReceiptsAreBounded(t *testing.T) {
	var r Receipts
	const count = 10 * maxReceipts
	for i := Cursor(1); i <= count; i++ {
		r.Add(i, 1000+i)
	}
	if len(r.waiting) > maxReceipts {
		t.Errorf("%d receipts wait, want at most %d", len(r.waiting), maxReceipts)
	}
	for disk := Cursor(1000); disk <= 1000+count; disk++ {
		r.Confirm(func(received Cursor) bool { return received <= disk })
		if 1000+r.Stored() > disk {
			t.Fatalf("disk at %d: confirmed %d too early", disk, r.Stored())
		}
	}
	if r.Stored() != count {
		t.Errorf("confirmed %d of %d", r.Stored(), count)
	}
}
