package merge

import (
	"encoding/base64"
	"encoding/json"
	"slices"
)

// SegmentRequest is what a segment is requested to return for a search. Segments receive it as the list item m of their
// shard call's options: this object as JSON, in unpadded base64 for URLs.
type SegmentRequest struct {
	Kind       string   `json:"kind"` // Ranked or Aggregated
	Schema     string   `json:"schema"`
	Order      []string `json:"order,omitempty"`
	Limit      int      `json:"limit"` // rows or groups, at most
	After      *After   `json:"after,omitempty"`
	Group      []string `json:"group,omitempty"`
	Aggregates []string `json:"figures,omitempty"` // partial aggregates
	By         string   `json:"by,omitempty"`      // the partial aggregate that groups are ranked by
}

// After is the position in a list after which a segment continues.
type After struct {
	Keys    []json.RawMessage `json:"keys"` // values of the order's columns
	Account json.RawMessage   `json:"account"`
	Row     json.RawMessage   `json:"row,omitempty"`
	// Edge states which rows with the same keys and account are requested: "from" all of them, "past" none, "row" those whose
	// row id is after Row.
	Edge string `json:"edge"`
}

// Values of After.Edge.
const (
	EdgeFrom = "from"
	EdgePast = "past"
	EdgeRow  = "row"
)

// SegmentItem returns the list item for a segment.
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

// Encode returns the value of the list item.
func (a SegmentRequest) Encode() string {
	b, _ := json.Marshal(a) // cannot fail: there are only strings and numbers
	return base64.RawURLEncoding.EncodeToString(b)
}

// ParseSegmentRequest is the inverse of Encode, for stand-ins of segments.
func ParseSegmentRequest(item string) (a SegmentRequest, err error) {
	b, err := base64.RawURLEncoding.DecodeString(item)
	if err != nil {
		return a, err
	}
	err = json.Unmarshal(b, &a)
	return a, err
}

// segmentPosition returns the position after which a segment continues.
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

// segmentIndex returns the index of a segment in Query.segments.
func (q *Query) segmentIndex(at Segment) (int, bool) {
	return slices.BinarySearchFunc(q.segments, at, func(a SegmentWeight, s Segment) int { return int(a.Segment - s) })
}
