package merge

import (
	"encoding/base64"
	"encoding/json"
	"slices"
)

// SegmentRequest is the request to one segment. It is sent in the list item "m" of the shard call's options, as JSON in
// unpadded base64 for URLs.
type SegmentRequest struct {
	Kind       string   `json:"kind"` // Ranked or Aggregated
	Schema     string   `json:"schema"`
	Order      []string `json:"order,omitempty"`
	Limit      int      `json:"limit"` // largest number of rows or groups to return
	After      *After   `json:"after,omitempty"`
	Group      []string `json:"group,omitempty"`
	Aggregates []string `json:"figures,omitempty"` // names of partial aggregates
	RankBy     string   `json:"by,omitempty"`      // the partial aggregate by which groups are ranked
}

// After is the position in a list after which a segment returns rows: the sort position of one row.
type After struct {
	Keys    []json.RawMessage `json:"keys"` // values of the order's columns
	Account json.RawMessage   `json:"account"`
	Row     json.RawMessage   `json:"row,omitempty"`
	// Ties states which rows with exactly these keys and account are requested: all of them (TiesAll), none (TiesNone), or
	// those with a row id after Row (TiesAfterRow).
	Ties string `json:"edge"`
}

// Values of After.Ties.
const (
	TiesAll      = "from"
	TiesNone     = "past"
	TiesAfterRow = "row"
)

// SegmentItem returns the list item "m" with the request to a segment.
func (q *Query) SegmentItem(segment Segment) string {
	s := q.policy.Schema
	request := SegmentRequest{Kind: Ranked, Schema: s.Name, Order: q.orderNames, Limit: q.offset + q.limit}
	if q.kind == Aggregated {
		request = SegmentRequest{Kind: Aggregated, Schema: s.Name, Limit: q.policy.MaxGroups}
		for _, c := range q.groupColumns {
			request.Group = append(request.Group, s.Columns[c].Name)
		}
		for _, p := range q.partials {
			request.Aggregates = append(request.Aggregates, p.name(s))
		}
		if q.rankBy >= 0 {
			request.RankBy = q.partials[q.rankBy].name(s)
		}
	}
	if pos := q.segmentPosition(segment); pos.sortKey != "" {
		request.After = &After{Account: json.RawMessage(pos.account.raw), Ties: TiesAll}
		for _, k := range pos.keys {
			request.After.Keys = append(request.After.Keys, json.RawMessage(k.raw))
		}
		switch {
		case segment < pos.segment:
			request.After.Ties = TiesNone
		case segment == pos.segment && s.Row >= 0:
			request.After.Ties, request.After.Row = TiesAfterRow, json.RawMessage(pos.row.raw)
		case segment == pos.segment:
			request.After.Ties = TiesNone
		}
	}
	return "m=" + request.Encode()
}

// Encode returns the encoded request, which is the value of the list item.
func (r SegmentRequest) Encode() string {
	b, _ := json.Marshal(r) // cannot fail: the fields are strings, numbers and valid JSON
	return base64.RawURLEncoding.EncodeToString(b)
}

// ParseSegmentRequest decodes the value of a list item that Encode returned. Test servers use it.
func ParseSegmentRequest(item string) (request SegmentRequest, err error) {
	b, err := base64.RawURLEncoding.DecodeString(item)
	if err != nil {
		return request, err
	}
	err = json.Unmarshal(b, &request)
	return request, err
}

// segmentPosition returns the position after which a segment continues: the start of the list unless the query is paged.
func (q *Query) segmentPosition(segment Segment) position {
	if q.kind != Paged {
		return position{}
	}
	i, ok := q.segmentIndex(segment)
	if !ok {
		return position{}
	}
	return q.pagination.positions[q.pagination.segmentPositions[i]]
}

// segmentIndex returns the index of a segment in Query.segments.
func (q *Query) segmentIndex(segment Segment) (int, bool) {
	return slices.BinarySearchFunc(q.segments, segment, func(w SegmentWeight, s Segment) int { return int(w.Segment - s) })
}
