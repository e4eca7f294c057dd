package merge

import "errors"

// SegmentStatus states whether the response of a segment is included in a result.
type SegmentStatus string

// Statuses of segments.
const (
	StatusIncluded SegmentStatus = "in"
	StatusMissing  SegmentStatus = "missing"  // no response was received
	StatusUnusable SegmentStatus = "unusable" // its response was malformed
)

// SegmentResult describes one segment in a result.
type SegmentResult struct {
	Segment Segment
	Status  SegmentStatus
	Version Version // of the segment's data; only if included
	Rows    int     // number of rows or groups it returned
	More    bool    // the segment has more rows or groups than it returned
	Changed bool    // paged: its version differs from that of the last page that included it
}

// Result is a merged result with a statement of its completeness.
type Result struct {
	Kind          string
	Complete      bool // see Merge.Result
	Segments      []SegmentResult
	IncludedShare float64 // sum of the weights of the included segments

	// Lists.
	Columns       []string
	Rows          []Row
	CertainCount  int    // number of leading rows or groups that no other row or group can precede
	More          bool   // there are, or may be, rows or groups after the last one
	LateCount     int    // paged: number of leading rows that belong on earlier pages
	Preceding     int    // ranked: the offset; paged: number of rows on previous pages
	Changed       bool   // paged: a segment's version has changed since the first page
	NextCursor    string // paged: the cursor of the next page; "" = there is none
	End           bool   // paged: all rows of all segments have been returned
	CursorTooLong bool   // paged: the list continues, but the cursor would exceed its length limit

	// Aggregates.
	GroupColumns []string
	Aggregates   []string
	Groups       []GroupResult
	MaxUnseen    string // largest possible rank of a group that no segment returned; "" = not known
}

// ErrIncomplete means that a segment is missing although the query type does not permit that.
var ErrIncomplete = errors.New("the query type forbids missing parts, and one is missing")

// Result merges the responses added so far. complete states whether the caller considers them, by their weights, sufficient
// for a complete result. The result is complete only if in addition all segments are included, all rows or groups are
// certain and all values exact or approximate, and no segment's version has changed between pages.
func (m *Merge) Result(complete bool) (*Result, error) {
	q := m.query
	r := &Result{Kind: q.kind, Complete: complete}
	sum, included := 0.0, 0
	for i, requested := range q.segments {
		segment := SegmentResult{Segment: requested.Segment, Status: StatusMissing}
		switch response := m.responses[i]; {
		case response != nil:
			segment.Status, segment.Version, segment.Rows = StatusIncluded, response.version, response.count
			segment.More = response.more || response.omitted != nil
			if q.kind == Paged {
				previous := q.pagination.versions[i]
				segment.Changed = previous != nil && *previous != response.version
			}
			sum += requested.Weight
			included++
		case m.unusable[i]:
			segment.Status = StatusUnusable
		}
		r.Segments = append(r.Segments, segment)
	}
	if included < len(q.segments) {
		if q.requireAll {
			return nil, ErrIncomplete
		}
		r.Complete = false
	}
	if r.IncludedShare = min(sum, 1); included == len(q.segments) {
		r.IncludedShare = 1
	}
	if q.kind == Aggregated {
		if err := m.mergeAggregates(r); err != nil {
			return nil, err
		}
		return r, nil
	}
	for _, c := range q.policy.Schema.Columns {
		r.Columns = append(r.Columns, c.Name)
	}
	var hasMore bool
	r.Rows, r.CertainCount, hasMore = m.mergeRuns()
	r.Preceding, r.More = q.offset, hasMore
	if r.CertainCount < len(r.Rows) || q.kind == Ranked && hasMore && len(r.Rows) < q.limit {
		r.Complete = false // uncertain rows, or fewer rows than requested although there are more
	}
	if included < len(q.segments) {
		r.More = true
	}
	if q.kind == Paged {
		m.finishPage(r, hasMore)
	}
	return r, nil
}
