package standin

import (
	"fmt"
	"math"
	"slices"
	"sort"
)

// shareTolerance is the rounding error allowed in a stated share.
const shareTolerance = 1e-5

// Oracle checks merged responses against the dataset that they were computed from. It computes the correct result independently
// of the gatherer and in the simplest way: by sorting and aggregating all rows at once.
type Oracle struct {
	Dataset  *Dataset
	Segments []int // of the request
	// RequireComplete means that the query type does not allow responses with missing segments.
	RequireComplete bool
}

// coverage is the verified completeness of a response and the rows to check the response against.
type coverage struct {
	included map[int]uint64 // version of each included segment
	missing  []int
	rows     []Account // of the included segments
	all      []Account // rows and the current rows of the missing segments
}

// complete reports whether no segment is missing.
func (c coverage) complete() bool { return len(c.missing) == 0 }

// checkCompleteness checks the statement of completeness and collects the rows that it covers.
func (o Oracle) checkCompleteness(m MergedResponse) (coverage, error) {
	cover, err := o.collectSegments(m.Result.Complete.Segments, m.Result.Complete.Requested)
	if err != nil {
		return cover, err
	}
	if in := m.Result.Complete.Included; in != len(cover.included) {
		return cover, fmt.Errorf("%d segments are stated as in, want %d", in, len(cover.included))
	}
	want := float64(len(cover.included)) / float64(len(o.Segments))
	if share := m.Result.Complete.Share; math.Abs(share-want) > shareTolerance {
		return cover, fmt.Errorf("the stated share is %v, want %v", share, want)
	}
	switch {
	case cover.complete():
		return cover, nil
	case o.RequireComplete:
		return cover, fmt.Errorf("segments %v are missing, which the query type does not allow", cover.missing)
	case m.Full:
		return cover, fmt.Errorf("segments %v are missing from a response that claims to be full", cover.missing)
	}
	return cover, nil
}

// collectSegments checks the status of each segment and collects the segments' rows.
func (o Oracle) collectSegments(stated []SegmentStatus, requested int) (cover coverage, err error) {
	if requested != len(o.Segments) || len(stated) != len(o.Segments) {
		return cover, fmt.Errorf("%d segments are stated as asked, want %d", requested, len(o.Segments))
	}
	want := slices.Clone(o.Segments)
	sort.Ints(want)
	cover.included = map[int]uint64{}
	for i, segment := range stated {
		if segment.Segment != want[i] {
			return cover, fmt.Errorf("segment %d is stated, want %d", segment.Segment, want[i])
		}
		current, _ := o.Dataset.Rows(segment.Segment)
		switch segment.State {
		case segmentIn:
			rows, ok := o.Dataset.RowsAt(segment.Segment, segment.Version)
			if !ok {
				return cover, fmt.Errorf("segment %d has had no version %d", segment.Segment, segment.Version)
			}
			cover.included[segment.Segment] = segment.Version
			cover.rows = append(cover.rows, rows...)
			cover.all = append(cover.all, rows...)
		case segmentMissing, segmentUnusable:
			cover.missing = append(cover.missing, segment.Segment)
			cover.all = append(cover.all, current...)
		default:
			return cover, fmt.Errorf("segment %d has unknown state %q", segment.Segment, segment.State)
		}
	}
	return cover, nil
}

// CheckRanked checks a ranked response. If untruncated, the segments have returned all requested rows and the response must be
// exact for the included segments.
func (o Oracle) CheckRanked(m MergedResponse, order []string, offset, limit int, untruncated bool) error {
	cover, err := o.checkCompleteness(m)
	if err != nil {
		return err
	}
	result := m.Result
	if result.Kind != kindRanked || !slices.Equal(result.Columns, DatasetColumns) || result.Before != offset {
		return fmt.Errorf("got a %s list of %v after %d rows, want a ranked one after %d", result.Kind, result.Columns, result.Before, offset)
	}
	list := sortedRows(cover.rows, order)
	want := identities(list[min(offset, len(list)):min(offset+limit, len(list))])
	got := m.rowIdentities()
	if result.Certain < 0 {
		return fmt.Errorf("%d rows are stated as certain", result.Certain)
	}
	if err := checkCertain(result.Certain, len(got), cover); err != nil {
		return err
	}
	if untruncated {
		return checkExactList(m, got, want, offset, len(list), cover)
	}
	// Segments may have returned fewer rows than requested. Rows stated as certain must be correct; all others must at least occur
	// in the list, in its order.
	if len(want) < result.Certain || !slices.Equal(got[:result.Certain], want[:result.Certain]) {
		return firstDifference("certain rows", got[:result.Certain], want)
	}
	if m.Full && !slices.Equal(got, want) {
		return firstDifference("rows of a full response", got, want)
	}
	return checkSubsequence(got, list)
}

// checkCertain checks that no more rows or groups are stated as certain than there are, and none if segments are missing.
func checkCertain(certain, count int, cover coverage) error {
	if certain > count || !cover.complete() && certain > 0 {
		return fmt.Errorf("%d of %d are stated as certain, segments %v are missing", certain, count, cover.missing)
	}
	return nil
}

// checkExactList checks a ranked response whose segments have returned all requested rows; total is the length of the list.
func checkExactList(m MergedResponse, got, want []string, offset, total int, cover coverage) error {
	if !slices.Equal(got, want) {
		return firstDifference("rows", got, want)
	}
	if cover.complete() && m.Result.Certain != len(got) {
		return fmt.Errorf("%d of %d rows are stated as certain, want all", m.Result.Certain, len(got))
	}
	if more := !cover.complete() || total > offset+len(got); m.Result.More != more {
		return fmt.Errorf("more is %t, want %t", m.Result.More, more)
	}
	if m.Full != cover.complete() {
		return fmt.Errorf("full is %t, want %t", m.Full, cover.complete())
	}
	return nil
}

// sortedRows returns a sorted copy of rows; see Compare.
func sortedRows(rows []Account, order []string) []Account {
	rows = slices.Clone(rows)
	sort.Slice(rows, func(i, j int) bool { return Compare(order, rows[i], rows[j]) < 0 })
	return rows
}

// checkSubsequence checks that rows occur in a list, in its order and only once.
func checkSubsequence(got []string, list []Account) error {
	next := 0
	for _, row := range got {
		for next < len(list) && list[next].identity() != row {
			next++
		}
		if next == len(list) {
			return fmt.Errorf("row %s is not in the list, out of order, or a duplicate", row)
		}
		next++
	}
	return nil
}

// firstDifference describes the first position at which two lists differ; nil if they are equal.
func firstDifference(what string, got, want []string) error {
	for i := range max(len(got), len(want)) {
		switch {
		case i >= len(got):
			return fmt.Errorf("%s end after %d, the next one is %s", what, i, want[i])
		case i >= len(want):
			return fmt.Errorf("%s continue after %d with %s", what, i, got[i])
		case got[i] != want[i]:
			return fmt.Errorf("%s differ at %d: got %s, want %s", what, i, got[i], want[i])
		}
	}
	return nil
}
