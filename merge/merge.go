package merge

// Merge merges the responses to one search, one for each segment. It must not be used concurrently.
type Merge struct {
	query     *Query
	budget    *Budget
	responses []*SegmentResponse // by index in Query.segments; nil = not received, or closed
	unusable  []bool             // by index in Query.segments: a response could not be read
	open      bool
}

// New opens a merge. It returns ErrBudgetExceeded if too many are open. The caller must call Close.
func New(q *Query, b *Budget) (*Merge, error) {
	if !b.openMerge() {
		return nil, ErrBudgetExceeded
	}
	return &Merge{query: q, budget: b, responses: make([]*SegmentResponse, len(q.segments)), unusable: make([]bool, len(q.segments)), open: true}, nil
}

// Query returns the query that is merged.
func (m *Merge) Query() *Query { return m.query }

// Add adds a response that Query.ReadResponse returned. A second response of a segment, as from a replica, is ignored: it
// may be of another version, and rows of two versions are not one sorted run. Add returns ErrBudgetExceeded, and adds
// nothing, if all merges together would hold too much.
func (m *Merge) Add(p *SegmentResponse) error {
	i, asked := m.query.segmentIndex(p.segment)
	if !m.open || !asked || m.responses[i] != nil {
		return nil
	}
	if !m.budget.reserve(int64(p.memory), int64(p.count)) {
		return ErrBudgetExceeded
	}
	m.responses[i] = p
	return nil
}

// MarkUnusable records that a segment's response could not be read. A usable response that is added later takes
// precedence.
func (m *Merge) MarkUnusable(at Segment) {
	if i, asked := m.query.segmentIndex(at); asked {
		m.unusable[i] = true
	}
}

// Close releases the memory of the merge. Closing it again has no effect.
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

// included returns the responses that have been added, by segment.
func (m *Merge) included() []*SegmentResponse {
	var in []*SegmentResponse
	for _, p := range m.responses {
		if p != nil {
			in = append(in, p)
		}
	}
	return in
}

// mergeRuns merges the sorted runs of the included segments. It returns the rows of the result, how many of them are
// certain, and whether there are or may be rows after them. A row is certain if no row that is not included can precede
// it: rows after the last one of a segment that has more are not, and none is if a segment is missing.
func (m *Merge) mergeRuns() (rows []Row, certain int, after bool) {
	in := m.included()
	runs := make([][]Row, len(in))
	bound := "" // the smallest last row of a run that has more; "" = there is none
	for i, p := range in {
		runs[i] = p.rows
		if n := len(p.rows); p.more && (bound == "" || p.rows[n-1].key < bound) {
			bound = p.rows[n-1].key
		}
	}
	tree := newLoserTree(runs)
	sure := func(r Row) bool { return bound == "" || r.key <= bound }
	for range m.query.offset {
		r, ok := tree.next()
		if !ok {
			return nil, 0, bound != ""
		}
		if !sure(r) {
			bound = "\x00" // the rows skipped are not certain, so none after them is
		}
	}
	for size := 0; len(rows) < m.query.limit; {
		r, ok := tree.next()
		if !ok {
			return rows, m.certainCount(certain, in), bound != ""
		}
		if !sure(r) && m.query.kind == Paged {
			return rows, m.certainCount(certain, in), true // the next page continues from here
		}
		if size += len(r.raw) + 1; size > m.query.policy.MaxResultBytes && len(rows) > 0 {
			return rows, m.certainCount(certain, in), true
		}
		rows = append(rows, r)
		if sure(r) {
			certain = len(rows)
		}
	}
	_, more := tree.next()
	return rows, m.certainCount(certain, in), more || bound != ""
}

// certainCount returns n, or 0 if a segment is missing.
func (m *Merge) certainCount(n int, in []*SegmentResponse) int {
	if len(in) < len(m.responses) {
		return 0
	}
	return n
}
