package merge

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// responseHeader is the first line of a segment's response.
type responseHeader struct {
	Schema  string         `json:"schema"`
	Version *uint64        `json:"as_of"`
	Rows    *int           `json:"rows"`
	More    bool           `json:"more"` // ranked: there are rows after the last one
	Omitted *omittedGroups `json:"cut"`  // aggregated: groups that are omitted
}

// omittedGroups describes the groups that a segment omitted because they rank after those returned.
type omittedGroups struct {
	Groups int    `json:"groups"`
	Most   string `json:"most"`  // largest rank among them
	Least  string `json:"least"` // smallest rank among them
}

// Row is one row of a list.
type Row struct {
	key     string // sort key
	raw     string
	segment Segment
}

// Raw returns the row as received.
func (r Row) Raw() string { return r.raw }

// SegmentResponse is one segment's response after it has been checked. It is immutable.
type SegmentResponse struct {
	segment Segment
	version Version
	rows    []Row
	more    bool
	groups  []group
	omitted *omittedBounds
	memory  int // estimated, in bytes
	count   int // rows or groups
}

// Segment returns the segment of the response.
func (p *SegmentResponse) Segment() Segment { return p.segment }

// ReadResponse parses and checks a segment's response. All guarantees of a result, that no row is invented, duplicated or
// out of order, depend on rejecting malformed responses here. After an error nothing of the response may be used.
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

// rowOverhead is the memory of a row beside its bytes and its sort key.
const rowOverhead = 48

// readRows reads a sorted run of rows: each complete, in order, none twice, all after the position requested.
func (q *Query) readRows(p *SegmentResponse, lines []string) error {
	s := q.policy.Schema
	if p.more && len(lines) == 0 {
		return errors.New("more rows are said to follow none")
	}
	vals := make([]scalar, 0, len(s.Columns))
	want := q.offset + q.limit
	p.rows = make([]Row, 0, min(len(lines), want))
	keys := append([]byte(nil), q.segmentPosition(p.segment).sortKey...) // all sort keys, concatenated
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
			// There are more rows than requested: the first ones of a sorted run are a sorted run.
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
