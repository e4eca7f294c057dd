package standin

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"oxbowspan/merge"
)

// maxValueBytes is the size of a shard server's value at most: what gatherers accept, less its header line.
const maxValueBytes = 63 << 10

// Respond returns a segment's value for a shard call whose attribute m is item. At most limit rows are returned; 0 means as
// many as the call asks for.
func (d *Dataset) Respond(segment int, item string, limit int) (string, error) {
	ask, err := merge.ParseSegmentRequest(item)
	if err != nil {
		return "", err
	}
	if ask.Schema != DatasetSchemaName {
		return "", fmt.Errorf("unknown schema %q", ask.Schema)
	}
	if limit > 0 {
		ask.Limit = min(ask.Limit, limit)
	}
	rows, version := d.Rows(segment)
	if ask.Kind == merge.Ranked {
		return respondRanked(rows, version, ask)
	}
	return respondAggregated(rows, version, ask)
}

// respondRanked returns a segment's next rows in the order asked for.
func respondRanked(rows []Account, version uint64, ask merge.SegmentRequest) (string, error) {
	sort.Slice(rows, func(i, j int) bool { return Compare(ask.Order, rows[i], rows[j]) < 0 })
	rows, err := rowsAfter(rows, ask)
	if err != nil {
		return "", err
	}
	var body strings.Builder
	count := 0
	for count < min(len(rows), ask.Limit) {
		text := rows[count].JSON()
		if body.Len()+len(text) > maxValueBytes {
			break
		}
		body.WriteString(text)
		body.WriteByte('\n')
		count++
	}
	header := fmt.Sprintf(`{"schema":%q,"as_of":%d,"rows":%d,"more":%t}`, DatasetSchemaName, version, count, count < len(rows))
	return header + "\n" + body.String(), nil
}

// rowsAfter returns the sorted rows that follow the position asked for.
func rowsAfter(rows []Account, ask merge.SegmentRequest) ([]Account, error) {
	if ask.After == nil {
		return rows, nil
	}
	for start := range rows {
		d, err := compareToCursor(ask, rows[start])
		if err != nil {
			return nil, err
		}
		if d > 0 || d == 0 && ask.After.Edge == merge.EdgeFrom {
			return rows[start:], nil
		}
	}
	return nil, nil
}

// compareToCursor compares a row to the position that a segment is to continue from. Segments are not compared.
func compareToCursor(ask merge.SegmentRequest, row Account) (int, error) {
	if len(ask.After.Keys) != len(ask.Order) {
		return 0, fmt.Errorf("a position of %d keys for an order of %d columns", len(ask.After.Keys), len(ask.Order))
	}
	for i, name := range ask.Order {
		column, _ := strings.CutPrefix(name, descending)
		key, err := decodeValue(column, ask.After.Keys[i])
		if err != nil {
			return 0, err
		}
		if d := compareInOrder(name, row.value(column), key); d != 0 {
			return d, nil
		}
	}
	var account string
	if err := json.Unmarshal(ask.After.Account, &account); err != nil {
		return 0, err
	}
	return strings.Compare(row.Account, account), nil
}

// respondAggregated returns a segment's partial aggregates by group.
func respondAggregated(rows []Account, version uint64, ask merge.SegmentRequest) (string, error) {
	groups := GroupBy(rows, ask.Group)
	if ask.By != "" {
		sort.SliceStable(groups, func(i, j int) bool { return groups[i].SortValue(ask.By).Cmp(groups[j].SortValue(ask.By)) > 0 })
	}
	truncation := ""
	if len(ask.Group) > 0 && len(groups) > ask.Limit {
		truncation = describeTruncation(groups[ask.Limit:], ask.By)
		groups = groups[:ask.Limit]
	}
	var body strings.Builder
	for _, group := range groups {
		line, err := group.partialRow(ask)
		if err != nil {
			return "", err
		}
		body.Write(line)
		body.WriteByte('\n')
	}
	header := fmt.Sprintf(`{"schema":%q,"as_of":%d,"rows":%d%s}`, DatasetSchemaName, version, len(groups), truncation)
	return header + "\n" + body.String(), nil
}

// describeTruncation returns the header's field about groups that were left out, which are sorted from the greatest down.
func describeTruncation(omitted []Group, by string) string {
	column := strings.TrimPrefix(by, sumPrefix)
	greatest := FormatSum(column, omitted[0].SortValue(by))
	least := FormatSum(column, omitted[len(omitted)-1].SortValue(by))
	return fmt.Sprintf(`,"cut":{"groups":%d,"most":%q,"least":%q}`, len(omitted), greatest, least)
}
