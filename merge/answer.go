package merge

import (
	"errors"
	"strconv"
)

// State is how a segment stands in an answer.
type State string

// The states.
const (
	In       State = "in"
	Missing  State = "missing"
	Unusable State = "unusable" // what came could not be used
)

// SegmentState is what an answer says of one segment.
type SegmentState struct {
	Segment Segment
	State   State
	AsOf    Stamp // with In
	Rows    int   // that it gave: rows or groups
	More    bool  // it had more of them
	Moved   bool  // its data is not as of the page before
}

// Answer is a merged answer and the statement of how complete it is.
type Answer struct {
	Kind     string
	Whole    bool
	Segments []SegmentState
	Share    float64 // of the segments asked, by weight, that are in

	// Lists.
	Columns []string
	Rows    []Row
	Certain int    // so many rows, from the first, are certainly at their place
	More    bool   // ranked, figures: there are, or may be, rows or groups after the last one
	Late    int    // paged: so many rows, from the first, belong on pages already given
	Before  int    // ranked: the offset; paged: rows on the pages before
	Moved   bool   // paged: data has moved on since the walk began, on this page or before
	Next    string // paged: the cursor of the next page; "" = there is none
	Last    bool   // paged: every row of every segment has been given
	Stuck   bool   // paged: there is more, but no cursor can hold the walk any longer

	// Figures.
	Group   []string
	Figures []string
	Groups  []GroupFigures
	Unseen  string // the largest figure that a group not shown may have; "" = not known
}

// ErrShort says that an answer short of a part was asked for where the query type forbids missing parts.
var ErrShort = errors.New("the query type forbids missing parts, and one is missing")

// Answer merges what is in. whole is what the decisions say of the parts: that their weight makes a whole answer. The
// answer's own Whole can only be less: every segment asked is in, every row or figure shown is certain, and the data
// did not move between pages. Where the query type forbids missing parts, none is answered short of one.
func (m *Merge) Answer(whole bool) (*Answer, error) {
	q := m.q
	a := &Answer{Kind: q.kind, Whole: whole}
	sum, in := 0.0, 0
	for i, asked := range q.asked {
		s := SegmentState{Segment: asked.Segment, State: Missing}
		switch p := m.parts[i]; {
		case p != nil:
			s.State, s.AsOf, s.Rows, s.More = In, p.stamp, p.count, p.more || p.cut != nil
			if q.kind == Paged {
				was := q.walk.stamps[i]
				s.Moved = was != nil && *was != p.stamp
			}
			sum += asked.Weight
			in++
		case m.unusable[i]:
			s.State = Unusable
		}
		a.Segments = append(a.Segments, s)
	}
	if in < len(q.asked) {
		if q.whole {
			return nil, ErrShort
		}
		a.Whole = false
	}
	if a.Share = min(sum, 1); in == len(q.asked) {
		a.Share = 1
	}
	if q.kind == Aggregated {
		if err := m.figures(a); err != nil {
			return nil, err
		}
		return a, nil
	}
	for _, c := range q.allowed.Schema.Columns {
		a.Columns = append(a.Columns, c.Name)
	}
	var after bool
	a.Rows, a.Certain, after = m.list()
	a.Before, a.More = q.offset, after
	if a.Certain < len(a.Rows) || q.kind == Ranked && after && len(a.Rows) < q.limit {
		a.Whole = false // fewer rows than were asked for, though there are more
	}
	if in < len(q.asked) {
		a.More = true
	}
	if q.kind == Paged {
		m.turn(a, after)
	}
	return a, nil
}

// JSON appends the answer's body. Rows and group keys go as they came.
func (a *Answer) JSON(b []byte) []byte {
	b = append(b, `{"full":`...)
	b = strconv.AppendBool(b, a.Whole)
	b = append(b, `,"merged":{"kind":`...)
	b = strconv.AppendQuote(b, a.Kind)
	if a.Kind == Aggregated {
		b = a.appendGroups(b)
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
		b = appendInt(b, "before", int64(a.Before))
	}
	b = appendInt(b, "certain", int64(a.Certain))
	if a.Kind == Paged {
		b = appendInt(b, "late", int64(a.Late))
		b = appendBool(b, "moved", a.Moved)
		b = appendBool(b, "last", a.Last)
		if a.Stuck {
			b = appendBool(b, "stuck", true)
		}
		if a.Next != "" {
			b = append(b, `,"next":`...)
			b = strconv.AppendQuote(b, a.Next)
		}
	} else {
		b = appendBool(b, "more", a.More)
	}
	in := 0
	for _, s := range a.Segments {
		if s.State == In {
			in++
		}
	}
	b = append(b, `,"complete":{"asked":`...)
	b = strconv.AppendInt(b, int64(len(a.Segments)), 10)
	b = appendInt(b, "in", int64(in))
	b = append(b, `,"share":`...)
	b = strconv.AppendFloat(b, a.Share, 'g', 6, 64)
	b = append(b, `,"segments":[`...)
	for i, s := range a.Segments {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, `{"tablet":`...)
		b = strconv.AppendInt(b, int64(s.Segment), 10)
		b = append(b, `,"state":`...)
		b = strconv.AppendQuote(b, string(s.State))
		if s.State == In {
			b = append(b, `,"as_of":`...)
			b = strconv.AppendUint(b, uint64(s.AsOf), 10)
			b = appendInt(b, "rows", int64(s.Rows))
			if s.More {
				b = appendBool(b, "more", true)
			}
			if s.Moved {
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
