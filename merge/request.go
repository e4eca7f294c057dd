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
	Ranked     = "ranked"     // the first rows of a sorted list after an offset
	Paged      = "paged"      // one page of a sorted list, continued by a cursor
	Aggregated = "aggregated" // aggregates over all rows, or over groups of rows
)

// Policy holds the merges that the operator permits for searches of one query type, and their limits.
type Policy struct {
	Schema           *Schema
	Kinds            []string
	Orders           []string // columns by which lists may be ordered
	Groups           []string // columns by which aggregates may be grouped
	Aggregates       []string // aggregates that may be requested; count is always permitted
	MaxRows          int      // largest limit of a request: rows or groups of the result
	MaxOffset        int      // largest offset of a request
	MaxGroups        int      // groups of one segment's response
	MaxResponseBytes int      // length of one segment's response
	MaxResultBytes   int      // total length of a result's rows or groups; the first one is always included
}

// Request is a client's request for a merge: the merge object in the body of a search.
type Request struct {
	Kind       string   `json:"kind"`
	Order      []string `json:"order"`   // ranked, paged: columns, each prefixed with "-" if descending
	Limit      int      `json:"limit"`   // largest number of rows or groups of the result
	Offset     int      `json:"offset"`  // ranked: number of rows to skip
	Cursor     string   `json:"cursor"`  // paged: from the previous page; "" = first page
	Group      []string `json:"group"`   // aggregated: columns to group by
	Aggregates []string `json:"figures"` // aggregated
	RankBy     string   `json:"by"`      // aggregated: the aggregate by which groups are ranked in descending order
}

// ParseRequest parses a merge object. Unknown fields are rejected, because otherwise they would silently be ignored.
// Clients see the texts of its errors.
func ParseRequest(raw []byte) (Request, error) {
	type Terms Request // the decoder's error texts, which clients see, contain the name of this type
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

// SegmentWeight is a segment of a search and its share of the data, from 0 to 1.
type SegmentWeight struct {
	Segment Segment
	Weight  float64
}

// Query is a request that has been validated against a policy. It is immutable and safe for concurrent use.
type Query struct {
	policy         *Policy
	kind           string
	segments       []SegmentWeight // sorted by segment
	order          []OrderKey
	orderNames     []string // the order as in the request
	limit          int
	offset         int
	groupColumns   []int // indexes of columns
	aggregates     []aggregate
	partials       []partialAggregate
	rankBy         int // index in partials of the partial aggregate by which groups are ranked; -1 = none
	requireAll     bool
	pagination     pagination // paged: state after the previous page
	binding        cursorBinding
	keys           *keyring.Ring
	now            int64 // Unix milliseconds
	cursorLifetime int64 // milliseconds
}

// Paging holds the parameters of a paged list that are not in its request.
type Paging struct {
	Keys      *keyring.Ring
	Lifetime  int64 // of a cursor, in milliseconds
	MaxLength int   // of a cursor, in bytes
	Now       int64 // Unix milliseconds
	// A cursor is valid only for the query type, customer and statement for which it was issued.
	QueryType string
	Customer  string
	Statement []byte
}

// NewQuery validates a request against the policy. Clients see the texts of its errors. requireAll states that the query
// type does not permit missing segments: Merge.Result then returns ErrIncomplete if a segment is missing, whatever its
// weight.
func (p *Policy) NewQuery(request Request, segments []SegmentWeight, requireAll bool, paging Paging) (*Query, error) {
	q := &Query{policy: p, kind: request.Kind, segments: slices.Clone(segments), limit: request.Limit, rankBy: -1,
		requireAll: requireAll, keys: paging.Keys, now: paging.Now, cursorLifetime: paging.Lifetime}
	slices.SortFunc(q.segments, func(x, y SegmentWeight) int { return int(x.Segment - y.Segment) })
	for _, s := range q.segments {
		if s.Weight < minWeight {
			return nil, fmt.Errorf("tablet %d of a merged search has a fraction below %g, so that its absence could not show",
				s.Segment, minWeight)
		}
	}
	if !contains(p.Kinds, request.Kind) {
		return nil, fmt.Errorf("merge kind %.40q is not allowed for this query type", request.Kind)
	}
	if request.Limit < 1 || request.Limit > p.MaxRows {
		return nil, fmt.Errorf("merge limit must be from 1 to %d", p.MaxRows)
	}
	if request.Kind == Aggregated {
		return q, q.parseAggregation(request)
	}
	if len(request.Group) > 0 || len(request.Aggregates) > 0 || request.RankBy != "" {
		return nil, fmt.Errorf("group, figures and by are for merge kind aggregated")
	}
	order, err := p.Schema.parseOrder(request.Order, p.Orders)
	if err != nil {
		return nil, fmt.Errorf("merge %w", err)
	}
	q.order, q.orderNames, q.offset = order, request.Order, request.Offset
	switch {
	case request.Kind == Paged && request.Offset != 0:
		return nil, fmt.Errorf("offset is for merge kind ranked; a paged list goes on by its cursor")
	case request.Offset < 0 || request.Offset > p.MaxOffset:
		return nil, fmt.Errorf("merge offset must be from 0 to %d", p.MaxOffset)
	case request.Kind == Ranked && request.Cursor != "":
		return nil, fmt.Errorf("cursor is for merge kind paged")
	case request.Kind == Ranked:
		return q, nil
	case paging.Keys == nil:
		return nil, fmt.Errorf("paged lists need keys for their cursors, and there are none")
	}
	q.binding = newCursorBinding(paging, q)
	q.pagination.segmentPositions = make([]int, len(q.segments))
	q.pagination.versions = make([]*Version, len(q.segments))
	q.pagination.positions = []position{{}}
	if request.Cursor != "" {
		if err := q.decodeCursor(request.Cursor, paging); err != nil {
			return nil, err
		}
	}
	return q, nil
}

// minWeight is the smallest valid weight of a segment. It exceeds the rounding errors of sums of weights, so that a missing
// segment always reduces Result.IncludedShare.
const minWeight = 1e-3

// parseAggregation validates a request of kind Aggregated and sets the group columns, aggregates and ranking of the query.
func (q *Query) parseAggregation(request Request) error {
	policy := q.policy
	if len(request.Order) > 0 || request.Offset != 0 || request.Cursor != "" {
		return fmt.Errorf("order, offset and cursor are for lists, not for merge kind aggregated")
	}
	if len(request.Group) > maxKeys || len(request.Aggregates) < 1 || len(request.Aggregates) > maxAggregates {
		return fmt.Errorf("merge needs 1 to %d figures and at most %d columns in group", maxAggregates, maxKeys)
	}
	for _, name := range request.Group {
		column := policy.Schema.ColumnIndex(name)
		if column < 0 || !contains(policy.Groups, name) {
			return fmt.Errorf("merge group by %.60q is not allowed", name)
		}
		if slices.Contains(q.groupColumns, column) {
			return fmt.Errorf("merge group names %q twice", name)
		}
		q.groupColumns = append(q.groupColumns, column)
	}
	by := request.RankBy
	for _, text := range request.Aggregates {
		a, err := policy.Schema.parseAggregate(text)
		if err != nil {
			return fmt.Errorf("merge %w", err)
		}
		if text != "count" && !contains(policy.Aggregates, text) {
			return fmt.Errorf("merge figure %.60q is not allowed", text)
		}
		for _, p := range a.requiredPartials() {
			a.partials = append(a.partials, q.partialIndex(p))
		}
		if by == "" && (a.kind == aggregateCount || a.kind == aggregateSum) {
			by = text
		}
		q.aggregates = append(q.aggregates, a)
	}
	if len(q.groupColumns) == 0 {
		if request.RankBy != "" {
			return fmt.Errorf("merge by is for figures in groups")
		}
		return nil
	}
	for _, a := range q.aggregates {
		if a.name == by && (a.kind == aggregateCount || a.kind == aggregateSum) {
			q.rankBy = a.partials[0]
		}
	}
	if q.rankBy < 0 {
		return fmt.Errorf("merge by must be one of the figures, a count or a sum")
	}
	return nil
}

// partialIndex returns the index of a partial aggregate in partials, to which it adds the aggregate if it is new.
func (q *Query) partialIndex(p partialAggregate) int {
	if i := slices.Index(q.partials, p); i >= 0 {
		return i
	}
	q.partials = append(q.partials, p)
	return len(q.partials) - 1
}

// maxAggregates is the largest number of aggregates in a request.
const maxAggregates = 16

// Kind returns the kind of the merge: Ranked, Paged or Aggregated.
func (q *Query) Kind() string { return q.kind }
