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
func (m *Merge) Result(whole bool) (*Result, error) {
	q := m.query
	a := &Result{Kind: q.kind, Complete: whole}
	sum, in := 0.0, 0
	for i, asked := range q.segments {
		s := SegmentResult{Segment: asked.Segment, Status: StatusMissing}
		switch p := m.responses[i]; {
		case p != nil:
			s.Status, s.Version, s.Rows, s.More = StatusIncluded, p.version, p.count, p.more || p.omitted != nil
			if q.kind == Paged {
				was := q.pagination.versions[i]
				s.Changed = was != nil && *was != p.version
			}
			sum += asked.Weight
			in++
		case m.unusable[i]:
			s.Status = StatusUnusable
		}
		a.Segments = append(a.Segments, s)
	}
	if in < len(q.segments) {
		if q.requireAll {
			return nil, ErrIncomplete
		}
		a.Complete = false
	}
	if a.IncludedShare = min(sum, 1); in == len(q.segments) {
		a.IncludedShare = 1
	}
	if q.kind == Aggregated {
		if err := m.mergeAggregates(a); err != nil {
			return nil, err
		}
		return a, nil
	}
	for _, c := range q.policy.Schema.Columns {
		a.Columns = append(a.Columns, c.Name)
	}
	var after bool
	a.Rows, a.CertainCount, after = m.mergeRuns()
	a.Preceding, a.More = q.offset, after
	if a.CertainCount < len(a.Rows) || q.kind == Ranked && after && len(a.Rows) < q.limit {
		a.Complete = false // fewer rows than requested, though there are more
	}
	if in < len(q.segments) {
		a.More = true
	}
	if q.kind == Paged {
		m.finishPage(a, after)
	}
	return a, nil
}
