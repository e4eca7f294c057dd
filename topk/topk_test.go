package topk

import (
	"bytes"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// What Greatest gives is what sorting everything gives, whatever the parts, with equal records and remainders.
func TestSelectorMatchesSorting(t *testing.T) {
	var g Selector
	rapid.Check(t, func(t *rapid.T) {
		var lists [][]byte
		var all []string
		for range rapid.IntRange(0, 6).Draw(t, "parts") {
			list := make([]byte, 0, 100)
			for range rapid.IntRange(0, 60).Draw(t, "records") {
				r := bytes.Repeat([]byte{byte(rapid.IntRange(0, 5).Draw(t, "high"))}, RecordBytes)
				r[15] = byte(rapid.IntRange(0, 255).Draw(t, "low"))
				list = append(list, r...)
				all = append(all, string(r))
			}
			lists = append(lists, append(list, make([]byte, rapid.IntRange(0, 15).Draw(t, "rest"))...))
		}
		k := rapid.IntRange(0, 220).Draw(t, "top")
		slices.SortFunc(all, func(a, b string) int { return bytes.Compare([]byte(b), []byte(a)) })
		want := ""
		for _, r := range all[:min(k, len(all))] {
			want += r
		}
		if got := string(g.Append(nil, k, lists...)); got != want {
			t.Fatalf("got %x, want %x", got, want)
		}
	})
}

// What the answer to a listing costs: twelve parts of 200 records, the greatest 200 of them.
func BenchmarkSelector(b *testing.B) {
	lists := make([][]byte, 12)
	r := rand.New(rand.NewPCG(1, 2))
	for i := range lists {
		for range 200 {
			lists[i] = binary.BigEndian.AppendUint64(lists[i], r.Uint64())
			lists[i] = binary.BigEndian.AppendUint64(lists[i], r.Uint64())
		}
	}
	var g Selector
	buffer := make([]byte, 0, 200*RecordBytes)
	b.ReportAllocs()
	for b.Loop() {
		g.Append(buffer[:0], 200, lists...)
	}
}
