package merge

import (
	"errors"
	"strconv"
)

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

// AppendJSON appends the answer's body. Rows and group keys go as they came.
func (a *Result) AppendJSON(b []byte) []byte {
	b = append(b, `{"full":`...)
	b = strconv.AppendBool(b, a.Complete)
	b = append(b, `,"merged":{"kind":`...)
	b = strconv.AppendQuote(b, a.Kind)
	if a.Kind == Aggregated {
		b = a.appendAggregates(b)
	} else {
		b = append(b, `,"columns":`...)
		b = appendStrings(b, a.Columns)
		b = append(b, `,"rows":[`...)
		for i, r := range a.Rows {
			if i > 0 {
				b = append(b, ',')
			}
			b = append(b, r.raw...)
		}
		b = append(b, `],"from":[`...)
		for i, r := range a.Rows {
			if i > 0 {
				b = append(b, ',')
			}
			b = strconv.AppendInt(b, int64(r.segment), 10)
		}
		b = append(b, ']')
		b = appendInt(b, "before", int64(a.Preceding))
	}
	b = appendInt(b, "certain", int64(a.CertainCount))
	if a.Kind == Paged {
		b = appendInt(b, "late", int64(a.LateCount))
		b = appendBool(b, "moved", a.Changed)
		b = appendBool(b, "last", a.End)
		if a.CursorTooLong {
			b = appendBool(b, "stuck", true)
		}
		if a.NextCursor != "" {
			b = append(b, `,"next":`...)
			b = strconv.AppendQuote(b, a.NextCursor)
		}
	} else {
		b = appendBool(b, "more", a.More)
	}
	in := 0
	for _, s := range a.Segments {
		if s.Status == StatusIncluded {
			in++
		}
	}
	b = append(b, `,"complete":{"asked":`...)
	b = strconv.AppendInt(b, int64(len(a.Segments)), 10)
	b = appendInt(b, "in", int64(in))
	b = append(b, `,"share":`...)
	b = strconv.AppendFloat(b, a.IncludedShare, 'g', 6, 64)
	b = append(b, `,"segments":[`...)
	for i, s := range a.Segments {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, `{"tablet":`...)
		b = strconv.AppendInt(b, int64(s.Segment), 10)
		b = append(b, `,"state":`...)
		b = strconv.AppendQuote(b, string(s.Status))
		if s.Status == StatusIncluded {
			b = append(b, `,"as_of":`...)
			b = strconv.AppendUint(b, uint64(s.Version), 10)
			b = appendInt(b, "rows", int64(s.Rows))
			if s.More {
				b = appendBool(b, "more", true)
			}
			if s.Changed {
				b = appendBool(b, "moved", true)
			}
		}
		b = append(b, '}')
	}
	return append(b, `]}}}`...)
}

func appendInt(b []byte, name string, v int64) []byte {
	b = append(append(append(b, `,"`...), name...), `":`...)
	return strconv.AppendInt(b, v, 10)
}

func appendBool(b []byte, name string, v bool) []byte {
	b = append(append(append(b, `,"`...), name...), `":`...)
	return strconv.AppendBool(b, v)
}
