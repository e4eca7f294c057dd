package topk

import (
	"bytes"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// The selected records are those that sorting all records gives, also for lists with equal records and with remainders.
func TestSelectorMatchesSorting(t *testing.T) {
	var selector Selector
	rapid.Check(t, func(t *rapid.T) {
		var lists [][]byte
		var records []string
		for range rapid.IntRange(0, 6).Draw(t, "lists") {
			list := make([]byte, 0, 100)
			for range rapid.IntRange(0, 60).Draw(t, "records") {
				record := bytes.Repeat([]byte{byte(rapid.IntRange(0, 5).Draw(t, "high"))}, RecordBytes)
				record[RecordBytes-1] = byte(rapid.IntRange(0, 255).Draw(t, "low"))
				list = append(list, record...)
				records = append(records, string(record))
			}
			remainder := make([]byte, rapid.IntRange(0, RecordBytes-1).Draw(t, "remainder"))
			lists = append(lists, append(list, remainder...))
		}
		k := rapid.IntRange(0, 220).Draw(t, "k")
		slices.SortFunc(records, func(a, b string) int { return bytes.Compare([]byte(b), []byte(a)) })
		want := ""
		for _, record := range records[:min(k, len(records))] {
			want += record
		}
		if got := string(selector.Append(nil, k, lists...)); got != want {
			t.Fatalf("got %x, want %x", got, want)
		}
	})
}

// BenchmarkSelector measures the merge of a listing: twelve shards with 200 records each, of which the greatest 200 are
// returned.
func BenchmarkSelector(b *testing.B) {
	const shards, records = 12, 200
	lists := make([][]byte, shards)
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range lists {
		for range records {
			lists[i] = binary.BigEndian.AppendUint64(lists[i], rng.Uint64())
			lists[i] = binary.BigEndian.AppendUint64(lists[i], rng.Uint64())
		}
	}
	var selector Selector
	buffer := make([]byte, 0, records*RecordBytes)
	b.ReportAllocs()
	for b.Loop() {
		selector.Append(buffer[:0], records, lists...)
	}
}
