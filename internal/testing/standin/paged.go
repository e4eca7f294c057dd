package standin

import (
	"fmt"
	"slices"
)

// PagedCheck checks the pages of one paged list in the order in which a client requests them.
type PagedCheck struct {
	Oracle Oracle
	Order  []string
	Limit  int // maximum number of rows of a page

	// Pages, Late and Rows count the pages, the late rows and all rows so far.
	Pages, Late, Rows int

	seen       map[string]bool // identities of the rows so far
	versions   map[int]uint64  // of each segment, as of the last page that included it
	furthest   *Account        // the last row so far in the list's order
	moved      bool            // some segment's version has changed
	incomplete bool            // a segment was missing from some page
	prefix     []string        // identities of all rows so far, while moved and incomplete are false
}

// CheckPage checks the next page. For untruncated see Oracle.CheckRanked.
func (p *PagedCheck) CheckPage(m MergedResponse, untruncated bool) error {
	cover, err := p.Oracle.checkCompleteness(m)
	if err != nil {
		return err
	}
	if p.seen == nil {
		p.seen, p.versions = map[string]bool{}, map[int]uint64{}
	}
	result := m.Result
	if result.Kind != kindPaged || result.Before != p.Rows {
		return fmt.Errorf("got a %s list after %d rows, want a page after %d", result.Kind, result.Before, p.Rows)
	}
	if err := p.checkMoved(m); err != nil {
		return err
	}
	if err := p.checkRows(m, cover); err != nil {
		return err
	}
	p.Pages++
	p.Late += result.Late
	p.Rows += len(result.Rows)
	if err := checkCertain(result.Certain, len(result.Rows), cover); err != nil {
		return err
	}
	p.incomplete = p.incomplete || !cover.complete()
	if cover.complete() && result.Certain != len(result.Rows) {
		return fmt.Errorf("%d of %d rows are stated as certain, want all", result.Certain, len(result.Rows))
	}
	if !p.incomplete && !p.moved {
		if err := p.checkPrefix(m, cover, untruncated); err != nil {
			return err
		}
	}
	return p.checkEnd(result, cover)
}

// checkMoved checks the page's statements about changes of the data since the first page.
func (p *PagedCheck) checkMoved(m MergedResponse) error {
	for _, segment := range m.Result.Complete.Segments {
		previous, known := p.versions[segment.Segment]
		if segment.State != segmentIn {
			if segment.Moved {
				return fmt.Errorf("segment %d is %s and stated as moved", segment.Segment, segment.State)
			}
			continue
		}
		if moved := known && previous != segment.Version; moved != segment.Moved {
			return fmt.Errorf("segment %d: moved is %t, want %t; its version was %d and is %d", segment.Segment, segment.Moved, moved,
				previous, segment.Version)
		}
		p.moved = p.moved || segment.Moved
		p.versions[segment.Segment] = segment.Version
	}
	if m.Result.Moved != p.moved {
		return fmt.Errorf("moved is %t, want %t", m.Result.Moved, p.moved)
	}
	if m.Full && p.moved {
		return fmt.Errorf("a page of a list whose data has moved claims to be full")
	}
	return nil
}

// checkRows checks that the page's rows exist, are new and are in order, and checks the number of late rows. Late rows sort
// before the last row of earlier pages and come first on a page.
func (p *PagedCheck) checkRows(m MergedResponse, cover coverage) error {
	byIdentity := map[string]*Account{}
	for i := range cover.rows {
		byIdentity[cover.rows[i].identity()] = &cover.rows[i]
	}
	var last *Account
	late := 0
	for i, identity := range m.rowIdentities() {
		row := byIdentity[identity]
		if row == nil {
			return fmt.Errorf("row %s is not in the segments that are in", identity)
		}
		if p.seen[identity] && !p.moved {
			return fmt.Errorf("row %s is a duplicate", identity)
		}
		p.seen[identity] = true
		if last != nil && Compare(p.Order, *last, *row) >= 0 {
			return fmt.Errorf("row %s is out of order", identity)
		}
		last = row
		if p.furthest != nil && Compare(p.Order, *row, *p.furthest) <= 0 {
			if late++; late != i+1 {
				return fmt.Errorf("row %s is late and follows one that is not", identity)
			}
		}
	}
	if late != m.Result.Late {
		return fmt.Errorf("%d rows are stated as late, want %d", m.Result.Late, late)
	}
	if late > 0 && !p.incomplete && !p.moved {
		return fmt.Errorf("%d rows are late although no segment was missing", late)
	}
	if last != nil && (p.furthest == nil || Compare(p.Order, *last, *p.furthest) > 0) {
		p.furthest = last
	}
	return nil
}

// checkPrefix checks that the pages so far are the beginning of the list.
func (p *PagedCheck) checkPrefix(m MergedResponse, cover coverage, untruncated bool) error {
	p.prefix = append(p.prefix, m.rowIdentities()...)
	list := identities(sortedRows(cover.rows, p.Order))
	if n := len(p.prefix); n > len(list) || !slices.Equal(p.prefix, list[:n]) {
		return firstDifference("the pages' rows", p.prefix, list)
	}
	if rows := len(m.Result.Rows); untruncated && rows != p.Limit && len(p.prefix) != len(list) {
		return fmt.Errorf("a page has %d rows of %d before the end of the list", rows, p.Limit)
	}
	return nil
}

// checkEnd checks that a page which is not the last one has a cursor, and that the last page completes the list.
func (p *PagedCheck) checkEnd(result MergedResult, cover coverage) error {
	if !result.Last {
		if result.Next == "" && !result.Stuck {
			return fmt.Errorf("a page that is not the last one has no cursor")
		}
		return nil
	}
	if result.Next != "" || !cover.complete() {
		return fmt.Errorf("the last page has the cursor %q, segments %v are missing", result.Next, cover.missing)
	}
	if p.moved {
		return nil
	}
	for _, row := range cover.rows {
		if !p.seen[row.identity()] {
			return fmt.Errorf("the list has ended without row %s", row.identity())
		}
	}
	return nil
}
