package nectar

import (
	"bytes"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// What Greatest gives is what sorting everything gives, whatever the parts, with equal records and remainders.
func TestGreatestIsThatOfSorting(t *testing.T) {
	var g Greatest
	rapid.Check(t, func(t *rapid.T) {
		var parts [][]byte
		var all []string
		for range rapid.IntRange(0, 6).Draw(t, "parts") {
			p := make([]byte, 0, 100)
			for range rapid.IntRange(0, 60).Draw(t, "records") {
				r := bytes.Repeat([]byte{byte(rapid.IntRange(0, 5).Draw(t, "high"))}, RecordBytes)
				r[15] = byte(rapid.IntRange(0, 255).Draw(t, "low"))
				p = append(p, r...)
				all = append(all, string(r))
			}
			parts = append(parts, append(p, make([]byte, rapid.IntRange(0, 15).Draw(t, "rest"))...))
		}
		top := rapid.IntRange(0, 220).Draw(t, "top")
		slices.SortFunc(all, func(a, b string) int { return bytes.Compare([]byte(b), []byte(a)) })
		want := ""
		for _, r := range all[:min(top, len(all))] {
			want += r
		}
		if got := string(g.Append(nil, top, parts...)); got != want {
			t.Fatalf("got %x, want %x", got, want)
		}
	})
}

// What the answer to a listing costs: twelve parts of 200 records, the greatest 200 of them.
func BenchmarkGreatest(b *testing.B) {
	parts := make([][]byte, 12)
	r := rand.New(rand.NewPCG(1, 2))
	for i := range parts {
		for range 200 {
			parts[i] = binary.BigEndian.AppendUint64(parts[i], r.Uint64())
			parts[i] = binary.BigEndian.AppendUint64(parts[i], r.Uint64())
		}
	}
	var g Greatest
	room := make([]byte, 0, 200*RecordBytes)
	b.ReportAllocs()
	for b.Loop() {
		g.Append(room[:0], 200, parts...)
	}
}
