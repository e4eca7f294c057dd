package standin

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Kinds of merged results.
const (
	kindRanked     = "ranked"
	kindPaged      = "paged"
	kindAggregated = "aggregated"
)

// States of a segment in a merged result.
const (
	segmentIn       = "in"
	segmentMissing  = "missing"
	segmentUnusable = "unusable"
)

// Precisions of an aggregate's value.
const (
	precisionExact       = "exact"
	precisionApproximate = "approximate"
	precisionLowerBound  = "lower_bound"
	precisionUpperBound  = "upper_bound"
	precisionBetween     = "between"
	precisionPartial     = "partial"
)

// MergedResponse is the body of a merged response.
type MergedResponse struct {
	Full   bool         `json:"full"`
	Result MergedResult `json:"merged"`
}

// MergedResult is a ranked or paged list of rows, or aggregates by group.
type MergedResult struct {
	Kind    string `json:"kind"`
	Certain int    `json:"certain"` // leading rows or groups that missing data cannot change
	More    bool   `json:"more"`

	// Ranked and paged results.
	Columns []string          `json:"columns"`
	Rows    []json.RawMessage `json:"rows"`
	From    []int             `json:"from"`   // each row's segment
	Before  int               `json:"before"` // rows before the first one
	Late    int               `json:"late"`   // leading rows that sort into earlier pages
	Moved   bool              `json:"moved"`  // data has changed since the first page
	Last    bool              `json:"last"`
	Stuck   bool              `json:"stuck"`
	Next    string            `json:"next"` // cursor

	// Aggregated results.
	Group      []string         `json:"group"`
	Aggregates []string         `json:"figures"`
	Groups     []AggregateGroup `json:"groups"`
	Unseen     string           `json:"unseen_at_most"` // bound for groups that no segment returned

	Complete Completeness `json:"complete"`
}

// AggregateGroup is the aggregates of one group, in the order of MergedResult.Aggregates.
type AggregateGroup struct {
	Key    []any       `json:"key"`
	Values []Aggregate `json:"values"`
}

// Aggregate is an aggregate with its precision.
type Aggregate struct {
	Value     json.RawMessage `json:"value"`
	Precision string          `json:"is"`
	Low       json.RawMessage `json:"low"`
	High      json.RawMessage `json:"high"`
	Error     float64         `json:"error"`
}

// Completeness states which segments a result covers.
type Completeness struct {
	Requested int             `json:"asked"`
	Included  int             `json:"in"`
	Share     float64         `json:"share"`
	Segments  []SegmentStatus `json:"segments"`
}

// SegmentStatus is the status of one segment in a response.
type SegmentStatus struct {
	Segment int    `json:"tablet"`
	State   string `json:"state"`
	Version uint64 `json:"as_of"` // version of its data
	Rows    int    `json:"rows"`
	More    bool   `json:"more"`
	Moved   bool   `json:"moved"`
}

// ParseMergedResponse parses a body strictly: unknown fields are errors.
func ParseMergedResponse(body []byte) (response MergedResponse, err error) {
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&response); err != nil {
		return response, fmt.Errorf("parse merged response: %w", err)
	}
	if len(response.Result.From) != len(response.Result.Rows) {
		return response, fmt.Errorf("%d rows come with %d segments", len(response.Result.Rows), len(response.Result.From))
	}
	return response, nil
}

// rowIdentities returns the identities of a response's rows; see Account.identity.
func (m MergedResponse) rowIdentities() []string {
	texts := make([]string, len(m.Result.Rows))
	for i, row := range m.Result.Rows {
		texts[i] = fmt.Sprintf("%d:%s", m.Result.From[i], row)
	}
	return texts
}
