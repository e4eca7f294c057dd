package merge

// loserTree is a loser tree over sorted runs: each inner node holds the run that lost there, so that the next row costs
// one comparison a level, where a binary heap takes two. The runs are emptied as rows are taken.
type loserTree struct {
	runs [][]Row // what is left of each; an empty one loses to all
	tree []int   // tree[0] is the winner; tree[i] the loser of node i
}

func newLoserTree(runs [][]Row) *loserTree {
	l := &loserTree{runs: runs, tree: make([]int, max(len(runs), 1))}
	if len(runs) == 0 {
		return l
	}
	// Play all matches from the leaves up. Leaf i hangs under node (i + k) / 2.
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

// less tells whether run a's next row comes before run b's.
func (l *loserTree) less(a, b int) bool {
	switch {
	case len(l.runs[a]) == 0:
		return false
	case len(l.runs[b]) == 0:
		return true
	}
	return l.runs[a][0].key < l.runs[b][0].key
}

// next takes the first row of all; false = there is none left.
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
