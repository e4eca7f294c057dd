package merge

import "errors"

// SegmentStatus is how a segment stands in an answer.
type SegmentStatus string

// The states.
const (
	StatusIncluded SegmentStatus = "in"
	StatusMissing  SegmentStatus = "missing"
	StatusUnusable SegmentStatus = "unusable" // what came could not be used
)

// SegmentResult is what an answer says of one segment.
type SegmentResult struct {
	Segment Segment
	Status  SegmentStatus
	Version Version // with In
	Rows    int     // that it gave: rows or groups
	More    bool    // it had more of them
	Changed bool    // its data is not as of the page before
}

// Result is a merged answer and the statement of how complete it is.
type Result struct {
	Kind          string
	Complete      bool
	Segments      []SegmentResult
	IncludedShare float64 // of the segments asked, by weight, that are in

	// Lists.
	Columns       []string
	Rows          []Row
	CertainCount  int    // so many rows, from the first, are certainly at their place
	More          bool   // ranked, figures: there are, or may be, rows or groups after the last one
	LateCount     int    // paged: so many rows, from the first, belong on pages already given
	Preceding     int    // ranked: the offset; paged: rows on the pages before
	Changed       bool   // paged: data has moved on since the walk began, on this page or before
	NextCursor    string // paged: the cursor of the next page; "" = there is none
	End           bool   // paged: every row of every segment has been given
	CursorTooLong bool   // paged: there is more, but no cursor can hold the walk any longer

	// Figures.
	GroupColumns []string
	Aggregates   []string
	Groups       []GroupResult
	MaxUnseen    string // the largest figure that a group not shown may have; "" = not known
}

// ErrIncomplete says that an answer short of a part was asked for where the query type forbids missing parts.
var ErrIncomplete = errors.New("the query type forbids missing parts, and one is missing")

// Result merges what is in. whole is what the decisions say of the parts: that their weight makes a whole answer. The
// answer's own Whole can only be less: every segment asked is in, every row or figure shown is certain, and the data
// did not move between pages. Where the query type forbids missing parts, none is answered short of one.
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
		a.Complete = false // fewer rows than were asked for, though there are more
	}
	if in < len(q.segments) {
		a.More = true
	}
	if q.kind == Paged {
		m.finishPage(a, after)
	}
	return a, nil
}
