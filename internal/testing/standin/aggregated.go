package standin

import (
	"fmt"
	"math/big"
	"slices"
	"sort"
	"strings"

	"oxbowspan/merge"
)

// CheckAggregated checks an aggregated response. For untruncated see Oracle.CheckRanked.
func (o Oracle) CheckAggregated(m MergedResponse, terms merge.Request, untruncated bool) error {
	cover, err := o.checkCompleteness(m)
	if err != nil {
		return err
	}
	result := m.Result
	if result.Kind != kindAggregated || !slices.Equal(result.Aggregates, terms.Aggregates) || len(result.Group) != len(terms.Group) {
		return fmt.Errorf("got a %s result of %v by %v, want aggregates %v by %v", result.Kind, result.Aggregates, result.Group, terms.Aggregates, terms.Group)
	}
	check := newAggregatedCheck(m, terms, cover, untruncated)
	if err := check.checkGroups(); err != nil {
		return err
	}
	if err := check.checkCounts(); err != nil {
		return err
	}
	return check.checkUnseen()
}

// aggregatedCheck checks one aggregated response.
type aggregatedCheck struct {
	response    MergedResponse
	terms       merge.Request
	cover       coverage
	untruncated bool

	by       string           // the aggregate that groups are selected by
	groups   map[string]Group // of all segments, by formatted key
	included map[string]Group // of the included segments, by formatted key
	order    []Group          // all groups in the expected order of the response
	seen     map[string]bool  // formatted keys of the groups in the response
	precise  bool             // all values are exact or approximate
}

func newAggregatedCheck(m MergedResponse, terms merge.Request, cover coverage, untruncated bool) *aggregatedCheck {
	c := &aggregatedCheck{
		response:    m,
		terms:       terms,
		cover:       cover,
		untruncated: untruncated,
		by:          sortAggregate(terms),
		groups:      groupsByKey(cover.all, terms.Group),
		included:    groupsByKey(cover.rows, terms.Group),
		order:       GroupBy(cover.all, terms.Group),
		seen:        map[string]bool{},
		precise:     true,
	}
	if len(terms.Group) > 0 {
		sort.SliceStable(c.order, func(i, j int) bool { return c.sortValue(c.order[i]).Cmp(c.sortValue(c.order[j])) > 0 })
	}
	return c
}

// sortAggregate returns the aggregate that groups are selected by: the requested one, or the first count or sum.
func sortAggregate(terms merge.Request) string {
	if terms.RankBy != "" {
		return terms.RankBy
	}
	for _, aggregate := range terms.Aggregates {
		if aggregate == "count" || strings.HasPrefix(aggregate, "sum(") {
			return aggregate
		}
	}
	return ""
}

func groupsByKey(rows []Account, columns []string) map[string]Group {
	groups := map[string]Group{}
	for _, group := range GroupBy(rows, columns) {
		groups[formatGroupKey(columns, group.Key)] = group
	}
	return groups
}

// sortValue returns a group's value of the aggregate that groups are selected by.
func (c *aggregatedCheck) sortValue(group Group) *big.Int {
	return group.SortValue(strings.NewReplacer("(", ":", ")", "").Replace(c.by))
}

// checkGroups checks the position and the values of each group in the response.
func (c *aggregatedCheck) checkGroups() error {
	for i, got := range c.response.Result.Groups {
		key := formatKey(got.Key)
		group, known := c.groups[key]
		if !known || c.seen[key] {
			return fmt.Errorf("group %s is unknown or a duplicate", key)
		}
		c.seen[key] = true
		if i < c.response.Result.Certain {
			if want := formatGroupKey(c.terms.Group, c.order[i].Key); key != want {
				return fmt.Errorf("group %s is stated as certain at %d, want %s", key, i, want)
			}
		}
		for n, name := range c.terms.Aggregates {
			value := aggregateCheck{
				aggregate:   parseAggregateName(name),
				got:         got.Values[n],
				all:         group,
				included:    c.included[key],
				complete:    c.cover.complete(),
				untruncated: c.untruncated,
			}
			if err := value.check(); err != nil {
				return fmt.Errorf("group %s: %w", key, err)
			}
			c.precise = c.precise && (value.got.Precision == precisionExact || value.got.Precision == precisionApproximate)
		}
	}
	return nil
}

// checkCounts checks what the response states about the number of groups and whether it is full.
func (c *aggregatedCheck) checkCounts() error {
	result := c.response.Result
	count := len(result.Groups)
	exact := c.untruncated && c.cover.complete()
	if !result.More && count < len(c.groups) {
		return fmt.Errorf("more is false with %d of %d groups", count, len(c.groups))
	}
	if exact && result.More != (count < len(c.groups)) {
		return fmt.Errorf("more is %t with %d of %d groups", result.More, count, len(c.groups))
	}
	if err := checkCertain(result.Certain, count, c.cover); err != nil {
		return err
	}
	full := c.cover.complete() && c.precise && result.Certain == count
	short := !c.untruncated && !c.response.Full && count < c.terms.Limit && result.More
	if c.response.Full != full && !short {
		return fmt.Errorf("full is %t, want %t", c.response.Full, full)
	}
	if want := min(c.terms.Limit, len(c.order)); exact && (count != want || result.Certain != want) {
		return fmt.Errorf("got %d groups of which %d are certain, want %d", count, result.Certain, want)
	}
	return nil
}

// checkUnseen checks the stated bound for groups that no segment returned. If no segment omitted any group, all groups were
// returned, and a response with fewer groups omits returned ones, to which the bound does not apply.
func (c *aggregatedCheck) checkUnseen() error {
	result := c.response.Result
	segmentTruncated := slices.ContainsFunc(result.Complete.Segments, func(s SegmentStatus) bool { return s.More })
	if !segmentTruncated || result.Unseen == "" || !c.cover.complete() || len(result.Groups) >= c.terms.Limit {
		return nil
	}
	column := strings.TrimSuffix(strings.TrimPrefix(c.by, "sum("), ")")
	bound := parseUnits(column, result.Unseen)
	for key, group := range c.groups {
		if value := c.sortValue(group); !c.seen[key] && value.Cmp(bound) > 0 {
			return fmt.Errorf("group %s with %s is not in the response and exceeds the stated bound %s", key, value, result.Unseen)
		}
	}
	return nil
}

// formatGroupKey formats the key of a group of the dataset in the form that formatKey uses for a group of a response.
func formatGroupKey(columns []string, key []any) string {
	var values []any
	for i, value := range key {
		value = wireValue(columns[i], value)
		if n, ok := value.(int64); ok {
			value = fmt.Sprint(n)
		}
		values = append(values, value)
	}
	return formatKey(values)
}

// formatKey formats the key of a group of a response.
func formatKey(key []any) string {
	var parts []string
	for _, value := range key {
		if value == nil {
			parts = append(parts, "-")
		} else {
			parts = append(parts, fmt.Sprintf("%q", fmt.Sprint(value)))
		}
	}
	return strings.Join(parts, " ")
}
