package merge

// loserTree is a tournament tree over sorted runs for a k-way merge. Each inner node holds the run that lost the match at
// that node, so that removing the first row takes one comparison per level instead of the two of a binary heap. Rows are
// removed from the runs as they are returned.
type loserTree struct {
	runs [][]Row // remaining rows of each run; an empty run loses to all others
	tree []int   // index of a run: tree[0] is the overall winner, tree[i] the loser at node i
}

// newLoserTree returns a tree over runs. The tree modifies the slice as rows are returned.
func newLoserTree(runs [][]Row) *loserTree {
	l := &loserTree{runs: runs, tree: make([]int, max(len(runs), 1))}
	if len(runs) == 0 {
		return l
	}
	// Run all matches from the leaves to the root. The parent of leaf i is node (i + k) / 2.
	k := len(runs)
	winners := make([]int, 2*k)
	for i := range k {
		winners[k+i] = i
	}
	for n := k - 1; n > 0; n-- {
		a, b := winners[2*n], winners[2*n+1]
		if l.less(b, a) {
			a, b = b, a
		}
		winners[n], l.tree[n] = a, b
	}
	l.tree[0] = winners[min(1, 2*k-1)]
	return l
}

// less reports whether the next row of run a sorts before the next row of run b.
func (l *loserTree) less(a, b int) bool {
	switch {
	case len(l.runs[a]) == 0:
		return false
	case len(l.runs[b]) == 0:
		return true
	}
	return l.runs[a][0].key < l.runs[b][0].key
}

// next removes and returns the first remaining row of all runs; the second result is false if there is none.
func (l *loserTree) next() (Row, bool) {
	if len(l.runs) == 0 {
		return Row{}, false
	}
	w := l.tree[0]
	if len(l.runs[w]) == 0 {
		return Row{}, false
	}
	row := l.runs[w][0]
	l.runs[w] = l.runs[w][1:]
	for n := (w + len(l.runs)) / 2; n > 0; n /= 2 {
		if l.less(l.tree[n], w) {
			l.tree[n], w = w, l.tree[n]
		}
	}
	l.tree[0] = w
	return row, true
}
