package standin

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/big"
	"sort"
	"strings"

	"github.com/DataDog/sketches-go/ddsketch"

	"oxbowspan/merge"
)

// sumPrefix begins the name of a partial sum, before the column.
const sumPrefix = "sum:"

// Group is a set of accounts with equal values in the grouping columns.
type Group struct {
	Key  []any
	Rows []Account
}

// GroupBy returns the groups of accounts in ascending order of their keys, missing values last. Without columns there is one
// group, even of no accounts.
func GroupBy(rows []Account, columns []string) []Group {
	byKey := map[string]*Group{}
	var groups []*Group
	for _, row := range rows {
		var key []any
		for _, column := range columns {
			key = append(key, row.value(column))
		}
		id := mapKey(key)
		group := byKey[id]
		if group == nil {
			group = &Group{Key: key}
			byKey[id] = group
			groups = append(groups, group)
		}
		group.Rows = append(group.Rows, row)
	}
	if len(columns) == 0 && len(groups) == 0 {
		groups = append(groups, &Group{})
	}
	sort.Slice(groups, func(i, j int) bool {
		for k := range columns {
			if d := compareValues(groups[i].Key[k], groups[j].Key[k]); d != 0 {
				return d < 0
			}
		}
		return false
	})
	sorted := make([]Group, len(groups))
	for i, group := range groups {
		sorted[i] = *group
	}
	return sorted
}

// mapKey returns a text that is equal for equal keys only.
func mapKey(key []any) string {
	id := fmt.Sprintf("%#v", key)
	for _, value := range key {
		id += fmt.Sprintf("|%v", value)
	}
	return id
}

// Sum adds up a column: cents for amounts.
func (g Group) Sum(column string) *big.Int {
	sum := new(big.Int)
	for _, row := range g.Rows {
		if n, ok := row.value(column).(int64); ok {
			sum.Add(sum, big.NewInt(n))
		}
	}
	return sum
}

// Values returns a column's values without the missing ones.
func (g Group) Values(column string) []any {
	var values []any
	for _, row := range g.Rows {
		if value := row.value(column); value != nil {
			values = append(values, value)
		}
	}
	return values
}

// SortValue returns the aggregate by which groups are selected: "count" or "sum:COLUMN".
func (g Group) SortValue(by string) *big.Int {
	if column, ok := strings.CutPrefix(by, sumPrefix); ok {
		return g.Sum(column)
	}
	return big.NewInt(int64(len(g.Rows)))
}

// FormatSum formats a column's sum: a decimal amount for cents.
func FormatSum(column string, sum *big.Int) string {
	if column != columnAmount {
		return sum.String()
	}
	return new(big.Rat).SetFrac(sum, big.NewInt(centsPerUnit)).FloatString(2)
}

// Extreme returns the least or the greatest value; nil if there are none.
func Extreme(values []any, greatest bool) any {
	var best any
	for _, value := range values {
		d := compareValues(value, best)
		if best == nil || d != 0 && (d > 0) == greatest {
			best = value
		}
	}
	return best
}

// partialRow returns the group's line in a shard server's value: its key and partial aggregates.
func (g Group) partialRow(request merge.SegmentRequest) ([]byte, error) {
	var values []any
	for i, value := range g.Key {
		values = append(values, wireValue(request.Group[i], value))
	}
	for _, name := range request.Aggregates {
		value, err := g.partialAggregate(name)
		if err != nil {
			return nil, err
		}
		values = append(values, value)
	}
	return json.Marshal(values)
}

// partialAggregate computes one partial aggregate, named "count" or "KIND:COLUMN".
func (g Group) partialAggregate(aggregate string) (any, error) {
	kind, column, _ := strings.Cut(aggregate, ":")
	values := g.Values(column)
	switch kind {
	case "count":
		return len(g.Rows), nil
	case "values":
		return len(values), nil
	case "sum":
		return FormatSum(column, g.Sum(column)), nil
	case "min", "max":
		return wireValue(column, Extreme(values, kind == "max")), nil
	case "distinct":
		return distinctSketch(values)
	case "sketch":
		return quantileSketch(column, values)
	}
	return nil, fmt.Errorf("unknown partial aggregate %q", aggregate)
}

// distinctSketch returns a sketch that estimates the number of distinct values, in base64.
func distinctSketch(values []any) (string, error) {
	sketch := merge.NewDistinct()
	for _, value := range values {
		sketch.Insert([]byte(fmt.Sprint(value)))
	}
	raw, err := sketch.MarshalBinary()
	return base64.StdEncoding.EncodeToString(raw), err
}

// quantileSketch returns a sketch that estimates the quantiles of the values, in base64.
func quantileSketch(column string, values []any) (any, error) {
	sketch := merge.NewQuantiles()
	for _, value := range values {
		if err := sketch.Add(toFloat(column, value)); err != nil {
			return nil, err
		}
	}
	return encodeSketch(sketch), nil
}

func encodeSketch(sketch *ddsketch.DDSketch) string {
	var raw []byte
	sketch.Encode(&raw, false)
	return base64.StdEncoding.EncodeToString(raw)
}
