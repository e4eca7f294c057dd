package merge

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
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

// SegmentRequest is what a segment is asked to give, beside the search's statement. Segments get it as the list item m of their
// part's line: this object as JSON, in unpadded base64 for URLs.
type SegmentRequest struct {
	Kind       string   `json:"kind"` // Ranked or Aggregated
	Schema     string   `json:"schema"`
	Order      []string `json:"order,omitempty"`
	Limit      int      `json:"limit"` // rows or groups, at most
	After      *After   `json:"after,omitempty"`
	Group      []string `json:"group,omitempty"`
	Aggregates []string `json:"figures,omitempty"` // partial figures
	By         string   `json:"by,omitempty"`      // the partial figure whose largest groups are wanted
}

// After is the place in a list behind which a segment goes on.
type After struct {
	Keys    []json.RawMessage `json:"keys"` // values of the order's columns
	Account json.RawMessage   `json:"account"`
	Row     json.RawMessage   `json:"row,omitempty"`
	// Edge says what becomes of rows with the same keys and account: "from" = they are wanted, "past" = they are not,
	// "row" = those whose row's id comes after Row are.
	Edge string `json:"edge"`
}

// The edges.
const (
	EdgeFrom = "from"
	EdgePast = "past"
	EdgeRow  = "row"
)

// SegmentItem makes the list item for one segment.
func (q *Query) SegmentItem(at Segment) string {
	s := q.policy.Schema
	a := SegmentRequest{Kind: Ranked, Schema: s.Name, Order: q.orderNames, Limit: q.offset + q.limit}
	if q.kind == Aggregated {
		a = SegmentRequest{Kind: Aggregated, Schema: s.Name, Limit: q.policy.MaxGroups}
		for _, c := range q.groupColumns {
			a.Group = append(a.Group, s.Columns[c].Name)
		}
		for _, p := range q.partials {
			a.Aggregates = append(a.Aggregates, p.name(s))
		}
		if q.rankBy >= 0 {
			a.By = q.partials[q.rankBy].name(s)
		}
	}
	if m := q.segmentPosition(at); m.sortKey != "" {
		a.After = &After{Account: json.RawMessage(m.account.raw), Edge: EdgeFrom}
		for _, k := range m.keys {
			a.After.Keys = append(a.After.Keys, json.RawMessage(k.raw))
		}
		switch {
		case at < m.segment:
			a.After.Edge = EdgePast
		case at == m.segment && s.Row >= 0:
			a.After.Edge, a.After.Row = EdgeRow, json.RawMessage(m.row.raw)
		case at == m.segment:
			a.After.Edge = EdgePast
		}
	}
	return "m=" + a.Encode()
}

// Encode is the list item's value.
func (a SegmentRequest) Encode() string {
	b, _ := json.Marshal(a) // strings and numbers alone
	return base64.RawURLEncoding.EncodeToString(b)
}

// ParseSegmentRequest reads a list item's value, for whoever plays a segment.
func ParseSegmentRequest(item string) (a SegmentRequest, err error) {
	b, err := base64.RawURLEncoding.DecodeString(item)
	if err != nil {
		return a, err
	}
	err = json.Unmarshal(b, &a)
	return a, err
}

// segmentPosition is where a segment's rows begin.
func (q *Query) segmentPosition(at Segment) position {
	if q.kind != Paged {
		return position{}
	}
	i, ok := q.segmentIndex(at)
	if !ok {
		return position{}
	}
	return q.pagination.positions[q.pagination.segmentPositions[i]]
}

// segmentIndex is a segment's place among those asked.
func (q *Query) segmentIndex(at Segment) (int, bool) {
	return slices.BinarySearchFunc(q.segments, at, func(a SegmentWeight, s Segment) int { return int(a.Segment - s) })
}

// responseHeader is the first line of what a segment gives.
type responseHeader struct {
	Schema  string         `json:"schema"`
	Version *uint64        `json:"as_of"`
	Rows    *int           `json:"rows"`
	More    bool           `json:"more"` // ranked: there are rows after the last one
	Omitted *omittedGroups `json:"cut"`  // aggregated: groups that were left out
}

// omittedGroups is what a segment says of the groups it left out.
type omittedGroups struct {
	Groups int    `json:"groups"`
	Most   string `json:"most"`  // the largest figure among them
	Least  string `json:"least"` // and the smallest
}

// Row is one row of a list, as its segment gave it.
type Row struct {
	key     string // its sort key
	raw     string
	segment Segment
}

// Raw is the row as it came.
func (r Row) Raw() string { return r.raw }

// SegmentResponse is what one segment gave, read and found in its form. It does not change.
type SegmentResponse struct {
	segment Segment
	version Version
	rows    []Row
	more    bool
	groups  []group
	omitted *omittedBounds
	memory  int // what it holds, about
	count   int // rows or groups
}

// Segment tells whose part it is.
func (p *SegmentResponse) Segment() Segment { return p.segment }

// ReadResponse reads what a segment gave. An error says that it cannot be used, in part or whole: that nothing is made up,
// counted twice or out of order rests on refusing here whatever is not in its form.
func (q *Query) ReadResponse(at Segment, value string) (*SegmentResponse, error) {
	if len(value) > q.policy.MaxResponseBytes {
		return nil, fmt.Errorf("%d bytes came, %d are allowed", len(value), q.policy.MaxResponseBytes)
	}
	first, rest, _ := strings.Cut(value, "\n")
	var h responseHeader
	d := json.NewDecoder(strings.NewReader(first))
	d.DisallowUnknownFields()
	if err := d.Decode(&h); err != nil || d.More() {
		return nil, fmt.Errorf("the first line %.60q is not in its form", first)
	}
	switch {
	case h.Schema != q.policy.Schema.Name:
		return nil, fmt.Errorf("schema %.60q came, %q was asked for", h.Schema, q.policy.Schema.Name)
	case h.Version == nil || h.Rows == nil || *h.Rows < 0:
		return nil, errors.New("the first line lacks as_of or rows")
	case h.More && q.kind == Aggregated || h.Omitted != nil && (q.kind != Aggregated || len(q.groupColumns) == 0):
		return nil, errors.New("the first line tells of a cut that does not go with what was asked")
	}
	var lines []string
	if rest != "" {
		lines = strings.Split(strings.TrimSuffix(rest, "\n"), "\n")
	}
	if len(lines) != *h.Rows {
		return nil, fmt.Errorf("%d rows came, %d were stated", len(lines), *h.Rows)
	}
	p := &SegmentResponse{segment: at, version: Version(*h.Version), more: h.More, memory: len(value), count: len(lines)}
	if q.kind == Aggregated {
		return p, q.readGroups(p, lines, h.Omitted)
	}
	return p, q.readRows(p, lines)
}

// rowOverhead is what a row's fields cost in memory beside its bytes and its sort key.
const rowOverhead = 48

// readRows reads a run of a list: whole rows, in order, none twice, all after the place that was asked for.
func (q *Query) readRows(p *SegmentResponse, lines []string) error {
	s := q.policy.Schema
	if p.more && len(lines) == 0 {
		return errors.New("more rows are said to follow none")
	}
	vals := make([]scalar, 0, len(s.Columns))
	want := q.offset + q.limit
	p.rows = make([]Row, 0, min(len(lines), want))
	keys := append([]byte(nil), q.segmentPosition(p.segment).sortKey...) // all sort keys, one behind the other
	last, ends := 0, make([]int, 1, min(len(lines), want)+1)
	ends[0] = len(keys)
	for _, line := range lines {
		row, err := scanRow(line, vals[:0])
		if err != nil {
			return err
		}
		if len(row) != len(s.Columns) {
			return fmt.Errorf("row %.60q has %d values, the schema %d columns", line, len(row), len(s.Columns))
		}
		for i, c := range s.Columns {
			if err := c.check(row[i], s.Digits); err != nil {
				return fmt.Errorf("row %.60q: %w", line, err)
			}
		}
		if row[s.Account].isNull() || s.Row >= 0 && row[s.Row].isNull() {
			return fmt.Errorf("row %.60q lacks its account or its own id", line)
		}
		end := len(keys)
		keys = s.sortKey(keys, q.order, row, p.segment)
		if bytes.Compare(keys[end:], keys[last:end]) <= 0 {
			return fmt.Errorf("row %.60q does not come after the one before, or after the place asked for", line)
		}
		last = end
		if len(p.rows) < want {
			p.rows = append(p.rows, Row{raw: line, segment: p.segment})
			ends = append(ends, len(keys))
		} else {
			// More came than was asked for: the first of a sorted run are a sorted run.
			p.more = true
		}
	}
	all := string(keys[:ends[len(ends)-1]])
	for i := range p.rows {
		p.rows[i].key = all[ends[i]:ends[i+1]]
	}
	p.count, p.memory = len(p.rows), p.memory+len(all)+rowOverhead*len(p.rows)
	return nil
}

// appendStrings writes a JSON array of names, which hold nothing to escape.
func appendStrings(b []byte, names []string) []byte {
	b = append(b, '[')
	for i, n := range names {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendQuote(b, n)
	}
	return append(b, ']')
}
