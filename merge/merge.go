package merge

// Merge is one search's merge: the parts that are in, each segment's once. It is one goroutine's at a time.
type Merge struct {
	query     *Query
	budget    *Budget
	responses []*SegmentResponse // by place in Query.asked; nil = not in. Emptied by Close
	unusable  []bool             // something came that could not be used
	open      bool
}

// New opens a merge; it fails with ErrBudgetExceeded where too many are open. Close ends it.
func New(q *Query, b *Budget) (*Merge, error) {
	if !b.openMerge() {
		return nil, ErrBudgetExceeded
	}
	return &Merge{query: q, budget: b, responses: make([]*SegmentResponse, len(q.segments)), unusable: make([]bool, len(q.segments)), open: true}, nil
}

// Query is what is merged.
func (m *Merge) Query() *Query { return m.query }

// Add takes a part that Query.Read found in its form. A segment's second part, a copy's answer, changes nothing: it
// may be of another moment, and rows of two moments do not make one run. ErrBudgetExceeded says that all merges together would
// hold too much; nothing has been added then.
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

// MarkUnusable notes that what a segment gave could not be used. A good part that comes after puts it right.
func (m *Merge) MarkUnusable(at Segment) {
	if i, asked := m.query.segmentIndex(at); asked {
		m.unusable[i] = true
	}
}

// Close gives back what the merge holds. It may be called again.
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

// included lists the parts that are in, by segment.
func (m *Merge) included() []*SegmentResponse {
	var in []*SegmentResponse
	for _, p := range m.responses {
		if p != nil {
			in = append(in, p)
		}
	}
	return in
}

// mergeRuns merges the runs that are in: the rows wanted, and up to which of them the list is certain. A segment that gave
// only its first rows vouches for nothing after its last one; a missing segment vouches for nothing at all.
func (m *Merge) mergeRuns() (rows []Row, certain int, after bool) {
	in := m.included()
	runs := make([][]Row, len(in))
	bound := "" // the least last row of a run that was cut
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
			bound = "\x00" // what stands before the rows wanted is not certain
		}
	}
	for size := 0; len(rows) < m.query.limit; {
		r, ok := tree.next()
		if !ok {
			return rows, m.certainCount(certain, in), bound != ""
		}
		if !sure(r) && m.query.kind == Paged {
			return rows, m.certainCount(certain, in), true // the next page goes on from here
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

func (m *Merge) certainCount(n int, in []*SegmentResponse) int {
	if len(in) < len(m.responses) {
		return 0
	}
	return n
}
