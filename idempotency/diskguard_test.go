package idempotency

import "testing"

func TestDiskGuardRejectsWhileWritesAreLate(t *testing.T) {
	guard := DiskGuard{WriteTimeout: 100}
	for i := range Time(500) {
		guard.Begin(i)
		if i%2 == 0 {
			guard.End()
		}
	}
	if guard.Pending() != 250 || guard.Available(500) {
		t.Errorf("%d writes pending, available %t, want 250, the oldest of them late", guard.Pending(), guard.Available(500))
	}
	for range 200 {
		guard.End()
	}
	if !guard.Available(500) || guard.Available(551) {
		t.Error("available until 550 ms expected, as the oldest pending write began at 450 ms")
	}
	for range 60 {
		guard.End()
	}
	if guard.Pending() != 0 || !guard.Available(10_000) {
		t.Error("writes are pending after all have ended, or none may begin")
	}
}
