package standin

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"oxbowspan/merge"
)

// maxValueBytes is the maximum size of a shard server's value without its header line, within the limit of gatherers.
const maxValueBytes = 63 << 10

// Respond returns a segment's value for a shard call whose attribute m is item, with at most limit rows; 0 means as
// many as requested.
func (d *Dataset) Respond(segment int, item string, limit int) (string, error) {
	request, err := merge.ParseSegmentRequest(item)
	if err != nil {
		return "", err
	}
	if request.Schema != DatasetSchemaName {
		return "", fmt.Errorf("unknown schema %q", request.Schema)
	}
	if limit > 0 {
		request.Limit = min(request.Limit, limit)
	}
	rows, version := d.Rows(segment)
	if request.Kind == merge.Ranked {
		return respondRanked(rows, version, request)
	}
	return respondAggregated(rows, version, request)
}

// respondRanked returns a segment's next rows in the requested order.
func respondRanked(rows []Account, version uint64, request merge.SegmentRequest) (string, error) {
	sort.Slice(rows, func(i, j int) bool { return Compare(request.Order, rows[i], rows[j]) < 0 })
	rows, err := rowsAfter(rows, request)
	if err != nil {
		return "", err
	}
	var body strings.Builder
	count := 0
	for count < min(len(rows), request.Limit) {
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

// rowsAfter returns the sorted rows after the requested position.
func rowsAfter(rows []Account, request merge.SegmentRequest) ([]Account, error) {
	if request.After == nil {
		return rows, nil
	}
	for start := range rows {
		d, err := compareToCursor(request, rows[start])
		if err != nil {
			return nil, err
		}
		if d > 0 || d == 0 && request.After.Ties == merge.TiesAll {
			return rows[start:], nil
		}
	}
	return nil, nil
}

// compareToCursor compares a row to the position at which a segment continues. Segment numbers are not compared.
func compareToCursor(request merge.SegmentRequest, row Account) (int, error) {
	if len(request.After.Keys) != len(request.Order) {
		return 0, fmt.Errorf("a position of %d keys for an order of %d columns", len(request.After.Keys), len(request.Order))
	}
	for i, name := range request.Order {
		column, _ := strings.CutPrefix(name, descending)
		key, err := decodeValue(column, request.After.Keys[i])
		if err != nil {
			return 0, err
		}
		if d := compareInOrder(name, row.value(column), key); d != 0 {
			return d, nil
		}
	}
	var account string
	if err := json.Unmarshal(request.After.Account, &account); err != nil {
		return 0, err
	}
	return strings.Compare(row.Account, account), nil
}

// respondAggregated returns a segment's partial aggregates by group.
func respondAggregated(rows []Account, version uint64, request merge.SegmentRequest) (string, error) {
	groups := GroupBy(rows, request.Group)
	if request.RankBy != "" {
		sort.SliceStable(groups, func(i, j int) bool {
			return groups[i].SortValue(request.RankBy).Cmp(groups[j].SortValue(request.RankBy)) > 0
		})
	}
	truncation := ""
	if len(request.Group) > 0 && len(groups) > request.Limit {
		truncation = describeTruncation(groups[request.Limit:], request.RankBy)
		groups = groups[:request.Limit]
	}
	var body strings.Builder
	for _, group := range groups {
		line, err := group.partialRow(request)
		if err != nil {
			return "", err
		}
		body.Write(line)
		body.WriteByte('\n')
	}
	header := fmt.Sprintf(`{"schema":%q,"as_of":%d,"rows":%d%s}`, DatasetSchemaName, version, len(groups), truncation)
	return header + "\n" + body.String(), nil
}

// describeTruncation returns the header field that describes the omitted groups, which are sorted in descending order.
func describeTruncation(omitted []Group, by string) string {
	column := strings.TrimPrefix(by, sumPrefix)
	greatest := FormatSum(column, omitted[0].SortValue(by))
	least := FormatSum(column, omitted[len(omitted)-1].SortValue(by))
	return fmt.Sprintf(`,"cut":{"groups":%d,"most":%q,"least":%q}`, len(omitted), greatest, least)
}
