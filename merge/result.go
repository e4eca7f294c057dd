package merge

import "errors"

// SegmentStatus states whether a segment is included in a result.
type SegmentStatus string

// Statuses of segments.
const (
	StatusIncluded SegmentStatus = "in"
	StatusMissing  SegmentStatus = "missing"
	StatusUnusable SegmentStatus = "unusable" // its response could not be read
)

// SegmentResult describes one segment in a result.
type SegmentResult struct {
	Segment Segment
	Status  SegmentStatus
	Version Version // if included
	Rows    int     // rows or groups it returned
	More    bool    // it has more of them
	Changed bool    // its version differs from that of the page before
}

// Result is a merged result and the statement of its completeness.
type Result struct {
	Kind          string
	Complete      bool
	Segments      []SegmentResult
	IncludedShare float64 // sum of the weights of the included segments

	// Lists.
	Columns       []string
	Rows          []Row
	CertainCount  int    // the first rows or groups that no other one can precede
	More          bool   // ranked, aggregated: there are, or may be, rows or groups after the last one
	LateCount     int    // paged: the first rows that belong on earlier pages
	Preceding     int    // ranked: the offset; paged: rows on the pages before
	Changed       bool   // paged: a segment's version has changed since the first page
	NextCursor    string // paged: the cursor of the next page; "" = there is none
	End           bool   // paged: all rows of all segments have been returned
	CursorTooLong bool   // paged: there is more, but the cursor would exceed its length limit

	// Aggregates.
	GroupColumns []string
	Aggregates   []string
	Groups       []GroupResult
	MaxUnseen    string // largest rank that a group not returned by any segment may have; "" = not known
}

// ErrIncomplete means that a segment is missing and the query type forbids that.
var ErrIncomplete = errors.New("the query type forbids missing parts, and one is missing")

// Result merges the responses added so far. complete states whether the caller considers them, by weight, a complete
// answer. The result is complete only if, in addition, all segments are included, all rows or values are certain, and no
// version changed between pages.
func (m *Merge) Result(complete bool) (*Result, error) {
	q := m.query
	r := &Result{Kind: q.kind, Complete: complete}
	sum, included := 0.0, 0
	for i, requested := range q.segments {
		segment := SegmentResult{Segment: requested.Segment, Status: StatusMissing}
		switch response := m.responses[i]; {
		case response != nil:
			segment.Status, segment.Version, segment.Rows = StatusIncluded, response.version, response.count
			segment.More = response.more || response.omitted != nil
			if q.kind == Paged {
				previous := q.pagination.versions[i]
				segment.Changed = previous != nil && *previous != response.version
			}
			sum += requested.Weight
			included++
		case m.unusable[i]:
			segment.Status = StatusUnusable
		}
		r.Segments = append(r.Segments, segment)
	}
	if included < len(q.segments) {
		if q.requireAll {
			return nil, ErrIncomplete
		}
		r.Complete = false
	}
	if r.IncludedShare = min(sum, 1); included == len(q.segments) {
		r.IncludedShare = 1
	}
	if q.kind == Aggregated {
		if err := m.mergeAggregates(r); err != nil {
			return nil, err
		}
		return r, nil
	}
	for _, c := range q.policy.Schema.Columns {
		r.Columns = append(r.Columns, c.Name)
	}
	var after bool
	r.Rows, r.CertainCount, after = m.mergeRuns()
	r.Preceding, r.More = q.offset, after
	if r.CertainCount < len(r.Rows) || q.kind == Ranked && after && len(r.Rows) < q.limit {
		r.Complete = false // fewer rows than requested, though there are more
	}
	if included < len(q.segments) {
		r.More = true
	}
	if q.kind == Paged {
		m.finishPage(r, after)
	}
	return r, nil
}
