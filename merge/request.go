package merge

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"oxbowspan/internal/keyring"
)

// The kinds of merge.
const (
	Ranked     = "ranked"     // the first rows of a list, or those after an offset
	Paged      = "paged"      // a list page by page, with a cursor
	Aggregated = "aggregated" // figures over all rows, or over groups of them
)

// Policy is what the operator lets the searches of one query type merge.
type Policy struct {
	Schema           *Schema
	Kinds            []string
	Orders           []string // columns that lists may be ordered by
	Groups           []string // columns that figures may be grouped by
	Aggregates       []string // figures that may be asked for; Count always may
	MaxRows          int      // of an answer
	MaxOffset        int
	MaxGroups        int // that one segment sends
	MaxResponseBytes int // bytes of one segment's rows
	MaxResultBytes   int // bytes of an answer's rows or groups; the first is given whatever its length
}

// Request is what a client asks to be merged: the merge object of a search's body.
type Request struct {
	Kind       string   `json:"kind"`
	Order      []string `json:"order"`  // ranked, paged: columns, "-" before one for downwards
	Limit      int      `json:"limit"`  // rows or groups of the answer
	Offset     int      `json:"offset"` // ranked
	Cursor     string   `json:"cursor"` // paged: from the page before
	Group      []string `json:"group"`  // aggregated
	Aggregates []string `json:"figures"`
	By         string   `json:"by"` // aggregated: the figure whose largest come first
}

// ParseRequest parses a merge object. Unknown fields are rejected: they would be wishes that are silently not met.
func ParseRequest(raw []byte) (Request, error) {
	type Terms Request // clients see the name of this type in the decoder's error texts
	var request Terms
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&request); err != nil {
		return Request(request), fmt.Errorf("merge is not in its form: %.100s", strings.TrimPrefix(err.Error(), "json: "))
	}
	if _, err := d.Token(); err != io.EOF {
		return Request(request), errors.New("merge is not in its form: something follows it")
	}
	return Request(request), nil
}

// SegmentWeight is one segment of a search, with its share of the whole.
type SegmentWeight struct {
	Segment Segment
	Weight  float64
}

// Query is a client's terms, checked against the operator's. It does not change once made, and may be read from
// several goroutines.
type Query struct {
	policy         *Policy
	kind           string
	segments       []SegmentWeight // by segment
	order          []OrderKey
	orderNames     []string // the order as written
	limit          int
	offset         int
	groupColumns   []int
	aggregates     []aggregate
	partials       []partialAggregate
	rankBy         int // the partial that groups are chosen by; -1 = none
	requireAll     bool
	pagination     pagination // paged: where the walk stands
	binding        cursorBinding
	keys           *keyring.Ring
	now            int64
	cursorLifetime int64
}

// Paging is what a paged list needs besides its terms: the keys that sign cursors, what they are bound to, and when.
type Paging struct {
	Keys      *keyring.Ring
	Lifetime  int64  // milliseconds that a cursor is good for
	MaxLength int    // bytes of one
	Now       int64  // Unix milliseconds
	QueryType string // query type
	Customer  string
	Statement []byte
}

// NewQuery checks terms. Its errors are one plain sentence for the client. Where whole is set, the query type forbids
// missing parts: an answer short of one is then refused, whatever it weighs.
func (a *Policy) NewQuery(t Request, asked []SegmentWeight, whole bool, p Paging) (*Query, error) {
	q := &Query{policy: a, kind: t.Kind, segments: slices.Clone(asked), limit: t.Limit, rankBy: -1, requireAll: whole, keys: p.Keys,
		now: p.Now, cursorLifetime: p.Lifetime}
	slices.SortFunc(q.segments, func(x, y SegmentWeight) int { return int(x.Segment - y.Segment) })
	for _, s := range q.segments {
		if s.Weight < minWeight {
			return nil, fmt.Errorf("tablet %d of a merged search has a fraction below %g, so that its absence could not show", s.Segment, minWeight)
		}
	}
	if !contains(a.Kinds, t.Kind) {
		return nil, fmt.Errorf("merge kind %.40q is not allowed for this query type", t.Kind)
	}
	if t.Limit < 1 || t.Limit > a.MaxRows {
		return nil, fmt.Errorf("merge limit must be from 1 to %d", a.MaxRows)
	}
	if t.Kind == Aggregated {
		return q, q.parseAggregation(t)
	}
	if len(t.Group) > 0 || len(t.Aggregates) > 0 || t.By != "" {
		return nil, fmt.Errorf("group, figures and by are for merge kind aggregated")
	}
	order, err := a.Schema.parseOrder(t.Order, a.Orders)
	if err != nil {
		return nil, fmt.Errorf("merge %w", err)
	}
	q.order, q.orderNames, q.offset = order, t.Order, t.Offset
	switch {
	case t.Kind == Paged && t.Offset != 0:
		return nil, fmt.Errorf("offset is for merge kind ranked; a paged list goes on by its cursor")
	case t.Offset < 0 || t.Offset > a.MaxOffset:
		return nil, fmt.Errorf("merge offset must be from 0 to %d", a.MaxOffset)
	case t.Kind == Ranked && t.Cursor != "":
		return nil, fmt.Errorf("cursor is for merge kind paged")
	case t.Kind == Ranked:
		return q, nil
	case p.Keys == nil:
		return nil, fmt.Errorf("paged lists need keys for their cursors, and there are none")
	}
	q.binding = newCursorBinding(p, q)
	q.pagination.segmentPositions = make([]int, len(q.segments))
	q.pagination.versions = make([]*Version, len(q.segments))
	q.pagination.positions = []position{{}}
	if t.Cursor != "" {
		if err := q.decodeCursor(t.Cursor, p); err != nil {
			return nil, err
		}
	}
	return q, nil
}

// minWeight is above what sums of weights may fall short by, so that no answer is taken for whole that lacks a
// segment.
const minWeight = 1e-3

// parseAggregation checks the terms of figures.
func (q *Query) parseAggregation(t Request) error {
	a := q.policy
	if len(t.Order) > 0 || t.Offset != 0 || t.Cursor != "" {
		return fmt.Errorf("order, offset and cursor are for lists, not for merge kind aggregated")
	}
	if len(t.Group) > maxKeys || len(t.Aggregates) < 1 || len(t.Aggregates) > maxAggregates {
		return fmt.Errorf("merge needs 1 to %d figures and at most %d columns in group", maxAggregates, maxKeys)
	}
	for _, name := range t.Group {
		at := a.Schema.ColumnIndex(name)
		if at < 0 || !contains(a.Groups, name) {
			return fmt.Errorf("merge group by %.60q is not allowed", name)
		}
		if slices.Contains(q.groupColumns, at) {
			return fmt.Errorf("merge group names %q twice", name)
		}
		q.groupColumns = append(q.groupColumns, at)
	}
	by := t.By
	for _, text := range t.Aggregates {
		f, err := a.Schema.parseAggregate(text)
		if err != nil {
			return fmt.Errorf("merge %w", err)
		}
		if text != "count" && !contains(a.Aggregates, text) {
			return fmt.Errorf("merge figure %.60q is not allowed", text)
		}
		for _, p := range f.requiredPartials() {
			f.partials = append(f.partials, q.partialIndex(p))
		}
		if by == "" && (f.kind == aggregateCount || f.kind == aggregateSum) {
			by = text
		}
		q.aggregates = append(q.aggregates, f)
	}
	if len(q.groupColumns) == 0 {
		if t.By != "" {
			return fmt.Errorf("merge by is for figures in groups")
		}
		return nil
	}
	for _, f := range q.aggregates {
		if f.name == by && (f.kind == aggregateCount || f.kind == aggregateSum) {
			q.rankBy = f.partials[0]
		}
	}
	if q.rankBy < 0 {
		return fmt.Errorf("merge by must be one of the figures, a count or a sum")
	}
	return nil
}

// partialIndex gives the place of a partial figure, adding it where it is new.
func (q *Query) partialIndex(p partialAggregate) int {
	if at := slices.Index(q.partials, p); at >= 0 {
		return at
	}
	q.partials = append(q.partials, p)
	return len(q.partials) - 1
}

const maxAggregates = 16

// Kind tells how the query merges.
func (q *Query) Kind() string { return q.kind }
