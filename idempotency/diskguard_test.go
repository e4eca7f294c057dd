package idempotency

import "testing"

func TestDiskGuardRejectsWhileWritesAreLate(t *testing.T) {
	d := DiskGuard{SlowAfter: 100}
	for i := range Time(500) {
		d.Begin(i)
		if i%2 == 0 {
			d.End()
		}
	}
	if d.Pending() != 250 || d.Available(500) {
		t.Errorf("%d writes pending, the oldest for 250 ms: available %t", d.Pending(), d.Available(500))
	}
	for range 200 {
		d.End()
	}
	if !d.Available(500) || d.Available(551) {
		t.Error("the oldest pending write began at 450")
	}
	for range 60 {
		d.End()
	}
	if d.Pending() != 0 || !d.Available(10_000) {
		t.Error("not available without pending writes")
	}
}
