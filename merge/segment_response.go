package merge

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// responseHeader is the first line of a segment's response, as JSON.
type responseHeader struct {
	Schema  string         `json:"schema"`
	Version *uint64        `json:"as_of"`
	Rows    *int           `json:"rows"`
	More    bool           `json:"more"` // ranked: the segment has rows after the last one
	Omitted *omittedGroups `json:"cut"`  // aggregated: the groups that the segment omitted
}

// omittedGroups describes the groups that a segment omitted because they rank after the groups it returned.
type omittedGroups struct {
	Groups  int    `json:"groups"`
	MaxRank string `json:"most"`  // largest rank among them
	MinRank string `json:"least"` // smallest rank among them
}

// Row is one row of a list, with its sort key.
type Row struct {
	key     string // sort key
	raw     string
	segment Segment
}

// Raw returns the JSON of the row as received.
func (r Row) Raw() string { return r.raw }

// SegmentResponse is the parsed and validated response of one segment. It is immutable.
type SegmentResponse struct {
	segment Segment
	version Version
	rows    []Row
	more    bool
	groups  []group
	omitted *omittedBounds
	memory  int // estimated memory in bytes
	count   int // number of rows or groups
}

// Segment returns the segment that sent the response.
func (p *SegmentResponse) Segment() Segment { return p.segment }

// ReadResponse parses and validates a segment's response. The guarantees of a Result, that no row is invented, duplicated
// or out of order, depend on rejecting malformed responses here. After an error no part of the response may be used.
func (q *Query) ReadResponse(segment Segment, value string) (*SegmentResponse, error) {
	if len(value) > q.policy.MaxResponseBytes {
		return nil, fmt.Errorf("the response has %d bytes, the limit is %d", len(value), q.policy.MaxResponseBytes)
	}
	first, rest, _ := strings.Cut(value, "\n")
	var header responseHeader
	d := json.NewDecoder(strings.NewReader(first))
	d.DisallowUnknownFields()
	if err := d.Decode(&header); err != nil || d.More() {
		return nil, fmt.Errorf("the header %.60q is malformed", first)
	}
	switch {
	case header.Schema != q.policy.Schema.Name:
		return nil, fmt.Errorf("the response is of schema %.60q, %q was requested", header.Schema, q.policy.Schema.Name)
	case header.Version == nil || header.Rows == nil || *header.Rows < 0:
		return nil, errors.New("the header lacks as_of or rows")
	case header.More && q.kind == Aggregated || header.Omitted != nil && (q.kind != Aggregated || len(q.groupColumns) == 0):
		return nil, errors.New("the header states more rows or omitted groups that do not match the request")
	}
	var lines []string
	if rest != "" {
		lines = strings.Split(strings.TrimSuffix(rest, "\n"), "\n")
	}
	if len(lines) != *header.Rows {
		return nil, fmt.Errorf("the response has %d rows, its header states %d", len(lines), *header.Rows)
	}
	response := &SegmentResponse{segment: segment, version: Version(*header.Version), more: header.More, memory: len(value), count: len(lines)}
	if q.kind == Aggregated {
		return response, q.readGroups(response, lines, header.Omitted)
	}
	return response, q.readRows(response, lines)
}

// rowOverhead is the estimated memory of a row in bytes, without its JSON and its sort key.
const rowOverhead = 48

// readRows parses the rows of a segment's response, which must be valid for the schema and sorted without duplicates, and
// all sort after the requested position.
func (q *Query) readRows(response *SegmentResponse, lines []string) error {
	s := q.policy.Schema
	if response.more && len(lines) == 0 {
		return errors.New("the header states more rows after none")
	}
	values := make([]scalar, 0, len(s.Columns))
	requested := q.offset + q.limit
	response.rows = make([]Row, 0, min(len(lines), requested))
	keys := append([]byte(nil), q.segmentPosition(response.segment).sortKey...) // requested position and sort keys of all rows, concatenated
	previousStart, keyEnds := 0, make([]int, 1, min(len(lines), requested)+1)
	keyEnds[0] = len(keys)
	for _, line := range lines {
		row, err := scanRow(line, values[:0])
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
		keys = s.appendSortKey(keys, q.order, row, response.segment)
		if bytes.Compare(keys[end:], keys[previousStart:end]) <= 0 {
			return fmt.Errorf("row %.60q is not after the one before, or not after the position requested", line)
		}
		previousStart = end
		if len(response.rows) < requested {
			response.rows = append(response.rows, Row{raw: line, segment: response.segment})
			keyEnds = append(keyEnds, len(keys))
		} else {
			// The segment returned more rows than requested. The excess rows are validated and dropped: the remaining ones
			// are still a sorted run.
			response.more = true
		}
	}
	allKeys := string(keys[:keyEnds[len(keyEnds)-1]])
	for i := range response.rows {
		response.rows[i].key = allKeys[keyEnds[i]:keyEnds[i+1]]
	}
	response.count, response.memory = len(response.rows), response.memory+len(allKeys)+rowOverhead*len(response.rows)
	return nil
}
