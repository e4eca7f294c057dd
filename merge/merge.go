package merge

// Merge is one search's merge: the parts that are in, each segment's once. It is one goroutine's at a time.
type Merge struct {
	q        *Query
	budget   *Budget
	parts    []*Part // by place in Query.asked; nil = not in. Emptied by Close
	unusable []bool  // something came that could not be used
	open     bool
}

// New opens a merge; it fails with ErrFull where too many are open. Close ends it.
func New(q *Query, b *Budget) (*Merge, error) {
	if !b.enter() {
		return nil, ErrFull
	}
	return &Merge{q: q, budget: b, parts: make([]*Part, len(q.asked)), unusable: make([]bool, len(q.asked)), open: true}, nil
}

// Query is what is merged.
func (m *Merge) Query() *Query { return m.q }

// Add takes a part that Query.Read found in its form. A segment's second part, a copy's answer, changes nothing: it
// may be of another moment, and rows of two moments do not make one run. ErrFull says that all merges together would
// hold too much; nothing has been added then.
func (m *Merge) Add(p *Part) error {
	i, asked := m.q.index(p.segment)
	if !m.open || !asked || m.parts[i] != nil {
		return nil
	}
	if !m.budget.take(int64(p.bytes), int64(p.count)) {
		return ErrFull
	}
	m.parts[i] = p
	return nil
}

// Spoilt notes that what a segment gave could not be used. A good part that comes after puts it right.
func (m *Merge) Spoilt(at Segment) {
	if i, asked := m.q.index(at); asked {
		m.unusable[i] = true
	}
}

// Close gives back what the merge holds. It may be called again.
func (m *Merge) Close() {
	if m.open {
		m.open = false
		for i, p := range m.parts {
			if p != nil {
				m.budget.give(int64(p.bytes), int64(p.count))
			}
			m.parts[i] = nil
		}
		m.budget.open.Add(-1)
	}
}

// in lists the parts that are in, by segment.
func (m *Merge) in() []*Part {
	var in []*Part
	for _, p := range m.parts {
		if p != nil {
			in = append(in, p)
		}
	}
	return in
}

// list merges the runs that are in: the rows wanted, and up to which of them the list is certain. A segment that gave
// only its first rows vouches for nothing after its last one; a missing segment vouches for nothing at all.
func (m *Merge) list() (rows []Row, certain int, after bool) {
	in := m.in()
	runs := make([][]Row, len(in))
	bound := "" // the least last row of a run that was cut
	for i, p := range in {
		runs[i] = p.rows
		if n := len(p.rows); p.more && (bound == "" || p.rows[n-1].key < bound) {
			bound = p.rows[n-1].key
		}
	}
	tree := newLosers(runs)
	sure := func(r Row) bool { return bound == "" || r.key <= bound }
	for range m.q.offset {
		r, ok := tree.next()
		if !ok {
			return nil, 0, bound != ""
		}
		if !sure(r) {
			bound = "\x00" // what stands before the rows wanted is not certain
		}
	}
	for size := 0; len(rows) < m.q.limit; {
		r, ok := tree.next()
		if !ok {
			return rows, m.certain(certain, in), bound != ""
		}
		if !sure(r) && m.q.kind == Paged {
			return rows, m.certain(certain, in), true // the next page goes on from here
		}
		if size += len(r.raw) + 1; size > m.q.allowed.MostAnswer && len(rows) > 0 {
			return rows, m.certain(certain, in), true
		}
		rows = append(rows, r)
		if sure(r) {
			certain = len(rows)
		}
	}
	_, more := tree.next()
	return rows, m.certain(certain, in), more || bound != ""
}

func (m *Merge) certain(n int, in []*Part) int {
	if len(in) < len(m.parts) {
		return 0
	}
	return n
}
