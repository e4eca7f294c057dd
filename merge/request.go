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

// Kinds of merges.
const (
	Ranked     = "ranked"     // the first rows of a list, or those after an offset
	Paged      = "paged"      // a list page by page, with a cursor
	Aggregated = "aggregated" // aggregates over all rows, or over groups of them
)

// Policy is what the operator permits the searches of one query type to merge.
type Policy struct {
	Schema           *Schema
	Kinds            []string
	Orders           []string // columns that lists may be ordered by
	Groups           []string // columns that aggregates may be grouped by
	Aggregates       []string // aggregates that may be requested; count always may
	MaxRows          int      // rows or groups of a result
	MaxOffset        int
	MaxGroups        int // of one segment's response
	MaxResponseBytes int // length of one segment's response
	MaxResultBytes   int // length of a result's rows or groups; the first is always included
}

// Request is a client's request for a merge: the merge object of a search's body.
type Request struct {
	Kind       string   `json:"kind"`
	Order      []string `json:"order"`  // ranked, paged: columns, "-" before one for downwards
	Limit      int      `json:"limit"`  // rows or groups of the result
	Offset     int      `json:"offset"` // ranked
	Cursor     string   `json:"cursor"` // paged: of the page before
	Group      []string `json:"group"`  // aggregated
	Aggregates []string `json:"figures"`
	By         string   `json:"by"` // aggregated: the aggregate that groups are ranked by, largest first
}

// ParseRequest parses a merge object. Unknown fields are rejected: what they ask for would silently be ignored.
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

// SegmentWeight is a segment of a search with its share of the data, from 0 to 1.
type SegmentWeight struct {
	Segment Segment
	Weight  float64
}

// Query is a request that has been checked against a policy. It is immutable and may be used concurrently.
type Query struct {
	policy         *Policy
	kind           string
	segments       []SegmentWeight // sorted by segment
	order          []OrderKey
	orderNames     []string // as in the request
	limit          int
	offset         int
	groupColumns   []int
	aggregates     []aggregate
	partials       []partialAggregate
	rankBy         int // index in partials of the one that groups are ranked by; -1 = none
	requireAll     bool
	pagination     pagination // paged: state after the page before
	binding        cursorBinding
	keys           *keyring.Ring
	now            int64
	cursorLifetime int64
}

// Paging is what a paged list needs besides its request.
type Paging struct {
	Keys      *keyring.Ring
	Lifetime  int64 // of a cursor, in milliseconds
	MaxLength int   // of a cursor, in bytes
	Now       int64 // Unix milliseconds
	QueryType string
	Customer  string
	Statement []byte
}

// NewQuery checks a request against the policy. Clients see the texts of its errors. requireAll means that the query type
// forbids missing segments: Merge.Result then returns ErrIncomplete if one is missing, whatever its weight.
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

// minWeight is the smallest weight of a segment. It exceeds the rounding errors of sums of weights, so that a missing
// segment always shows in the included share.
const minWeight = 1e-3

// parseAggregation checks the parts of a request that are for aggregates.
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

// partialIndex returns the index of a partial aggregate, which is added if it is new.
func (q *Query) partialIndex(p partialAggregate) int {
	if at := slices.Index(q.partials, p); at >= 0 {
		return at
	}
	q.partials = append(q.partials, p)
	return len(q.partials) - 1
}

// maxAggregates is the largest number of aggregates of a request.
const maxAggregates = 16

// Kind returns the kind of the merge.
func (q *Query) Kind() string { return q.kind }
