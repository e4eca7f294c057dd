package merge

// Merge merges the responses to one search, at most one for each segment. It is not safe for concurrent use.
type Merge struct {
	query     *Query
	budget    *Budget
	responses []*SegmentResponse // by index in Query.segments; nil = not received, or the merge is closed
	unusable  []bool             // by index in Query.segments: a response was malformed
	open      bool
}

// New opens a merge. It returns ErrBudgetExceeded if the budget's limit of open merges is reached. The caller must call Close.
func New(q *Query, b *Budget) (*Merge, error) {
	if !b.openMerge() {
		return nil, ErrBudgetExceeded
	}
	n := len(q.segments)
	return &Merge{query: q, budget: b, responses: make([]*SegmentResponse, n), unusable: make([]bool, n), open: true}, nil
}

// Query returns the query whose responses are merged.
func (m *Merge) Query() *Query { return m.query }

// Add adds a response that Query.ReadResponse returned. A second response of the same segment, for example from another
// replica, is ignored: it may be of another version, and rows of two versions do not form one sorted run. If the response
// would exceed the budget of all merges together, Add returns ErrBudgetExceeded and adds nothing.
func (m *Merge) Add(response *SegmentResponse) error {
	i, requested := m.query.segmentIndex(response.segment)
	if !m.open || !requested || m.responses[i] != nil {
		return nil
	}
	if !m.budget.reserve(int64(response.memory), int64(response.count)) {
		return ErrBudgetExceeded
	}
	m.responses[i] = response
	return nil
}

// MarkUnusable records that a segment's response was malformed. A valid response that is added later takes precedence.
func (m *Merge) MarkUnusable(segment Segment) {
	if i, requested := m.query.segmentIndex(segment); requested {
		m.unusable[i] = true
	}
}

// Close releases the merge's share of the budget. Further calls have no effect.
func (m *Merge) Close() {
	if m.open {
		m.open = false
		for i, p := range m.responses {
			if p != nil {
				m.budget.release(int64(p.memory), int64(p.count))
			}
			m.responses[i] = nil
		}
		m.budget.open.Add(-1)
	}
}

// included returns the responses added so far, in the order of their segments.
func (m *Merge) included() []*SegmentResponse {
	var included []*SegmentResponse
	for _, p := range m.responses {
		if p != nil {
			included = append(included, p)
		}
	}
	return included
}

// mergeRuns merges the sorted runs of the included segments. It returns the rows of the result, the number of leading rows
// that are certain, and whether there are or may be rows after them. A row is certain if no row outside the result can
// precede it. Rows after the last received row of a segment that has more rows are not certain, and no row is if a segment
// is missing.
func (m *Merge) mergeRuns() (rows []Row, certain int, hasMore bool) {
	included := m.included()
	runs := make([][]Row, len(included))
	bound := "" // smallest last key of the runs of segments that have more rows; "" = no segment has more
	for i, p := range included {
		runs[i] = p.rows
		if n := len(p.rows); p.more && (bound == "" || p.rows[n-1].key < bound) {
			bound = p.rows[n-1].key
		}
	}
	tree := newLoserTree(runs)
	isCertain := func(r Row) bool { return bound == "" || r.key <= bound }
	for range m.query.offset {
		r, ok := tree.next()
		if !ok {
			return nil, 0, bound != ""
		}
		if !isCertain(r) {
			bound = "\x00" // a skipped row is uncertain, and so are all rows after it
		}
	}
	for size := 0; len(rows) < m.query.limit; {
		r, ok := tree.next()
		if !ok {
			return rows, m.certainCount(certain, included), bound != ""
		}
		if !isCertain(r) && m.query.kind == Paged {
			return rows, m.certainCount(certain, included), true // the next page continues at this row
		}
		if size += len(r.raw) + 1; size > m.query.policy.MaxResultBytes && len(rows) > 0 {
			return rows, m.certainCount(certain, included), true
		}
		rows = append(rows, r)
		if isCertain(r) {
			certain = len(rows)
		}
	}
	_, more := tree.next()
	return rows, m.certainCount(certain, included), more || bound != ""
}

// certainCount returns n, or 0 if a segment is missing, because its rows could precede all others.
func (m *Merge) certainCount(n int, included []*SegmentResponse) int {
	if len(included) < len(m.responses) {
		return 0
	}
	return n
}
