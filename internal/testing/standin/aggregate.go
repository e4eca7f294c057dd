package standin

import (
	"encoding/json"
	"fmt"
	"math"
	"math/big"
	"sort"
	"strconv"
	"strings"
)

const (
	// meanTolerance is the rounding error allowed in a mean, in units.
	meanTolerance = 1e-12
	// distinctDeviations is the number of standard errors by which an estimated count may be off.
	distinctDeviations = 6
	// quantileTolerance is the rounding error allowed in a quantile beside the stated relative error.
	quantileTolerance = 1e-9
)

// aggregateName is an aggregate as a request names it: "count" or "KIND(COLUMN)".
type aggregateName struct {
	text   string
	kind   string
	column string
}

func parseAggregateName(text string) aggregateName {
	kind, column, _ := strings.Cut(strings.TrimSuffix(text, ")"), "(")
	return aggregateName{text: text, kind: kind, column: column}
}

// aggregateCheck is the check of one value of an aggregated response.
type aggregateCheck struct {
	aggregate   aggregateName
	got         Aggregate
	all         Group // over all segments
	included    Group // over the segments that are in
	complete    bool  // no segment is missing
	untruncated bool  // segments have returned everything asked for
}

func (c aggregateCheck) check() error {
	if c.got.Precision == precisionExact && !c.complete {
		return fmt.Errorf("%s is stated as exact although segments are missing", c.aggregate.text)
	}
	if c.untruncated && c.complete && c.got.Precision != precisionExact && c.got.Precision != precisionApproximate {
		return fmt.Errorf("%s is stated as %s although nothing is missing", c.aggregate.text, c.got.Precision)
	}
	switch c.aggregate.kind {
	case "count", "sum":
		return c.checkTotal()
	case "min", "max":
		return c.checkExtreme()
	case "mean":
		return c.checkMean()
	case "distinct":
		return c.checkDistinct()
	}
	return c.checkQuantile()
}

// wrong returns the error for a value that should be want.
func (c aggregateCheck) wrong(want any) error {
	return fmt.Errorf("%s is %s %s (%s to %s), want %v", c.aggregate.text, c.got.Precision, c.got.Value, c.got.Low, c.got.High, want)
}

// units parses a value in whole units: cents for amounts.
func (c aggregateCheck) units(text json.RawMessage) *big.Int {
	return parseUnits(c.aggregate.column, string(text))
}

// checkTotal checks a count or sum.
func (c aggregateCheck) checkTotal() error {
	want, included := c.all.SortValue("count"), c.included.SortValue("count")
	if c.aggregate.kind == "sum" {
		want, included = c.all.Sum(c.aggregate.column), c.included.Sum(c.aggregate.column)
	}
	got := c.units(c.got.Value)
	right := false
	switch c.got.Precision {
	case precisionExact:
		right = got.Cmp(want) == 0
	case precisionLowerBound:
		right = got.Cmp(want) <= 0
	case precisionBetween:
		right = c.units(c.got.Low).Cmp(want) <= 0 && c.units(c.got.High).Cmp(want) >= 0
	case precisionPartial:
		right = true
	}
	if !right {
		return c.wrong(want)
	}
	if c.untruncated && got.Cmp(included) != 0 {
		return c.wrong(included)
	}
	return nil
}

// checkExtreme checks a minimum or maximum.
func (c aggregateCheck) checkExtreme() error {
	best := Extreme(c.all.Values(c.aggregate.column), c.aggregate.kind == "max")
	want := formatValue(c.aggregate.column, best)
	got := string(c.got.Value)
	if c.got.Precision == precisionExact {
		if got != want {
			return c.wrong(want)
		}
		return nil
	}
	if got == "null" {
		if c.got.Precision != precisionPartial {
			return c.wrong(want)
		}
		return nil
	}
	value, err := decodeValue(c.aggregate.column, c.got.Value)
	if err != nil {
		return err
	}
	d := compareValues(value, best)
	right := c.got.Precision == precisionUpperBound && d >= 0
	if c.aggregate.kind == "max" {
		right = c.got.Precision == precisionLowerBound && d <= 0
	}
	if !right {
		return c.wrong(want)
	}
	return nil
}

// checkMean checks a mean over all segments.
func (c aggregateCheck) checkMean() error {
	if c.got.Precision == precisionPartial {
		return nil
	}
	values := c.all.Values(c.aggregate.column)
	if len(values) == 0 {
		if string(c.got.Value) != "null" {
			return c.wrong("null")
		}
		return nil
	}
	want := new(big.Rat).SetFrac(c.all.Sum(c.aggregate.column), big.NewInt(int64(len(values))))
	if c.aggregate.column == columnAmount {
		want.Quo(want, big.NewRat(centsPerUnit, 1))
	}
	got, ok := new(big.Rat).SetString(strings.Trim(string(c.got.Value), `"`))
	if !ok {
		return c.wrong(want)
	}
	difference := new(big.Rat).Sub(got, want)
	difference.Abs(difference)
	allowed := new(big.Rat)
	if c.got.Precision == precisionApproximate {
		allowed.SetFloat64(c.got.Error)
	}
	rounding := big.NewRat(1, int64(1/meanTolerance))
	if difference.Cmp(allowed.Add(allowed, rounding)) > 0 {
		return c.wrong(want.FloatString(8))
	}
	return nil
}

// checkDistinct checks an estimated number of distinct values in the segments that are in.
func (c aggregateCheck) checkDistinct() error {
	distinct := map[any]bool{}
	for _, value := range c.included.Values(c.aggregate.column) {
		distinct[value] = true
	}
	want := float64(len(distinct))
	got := float64(parseUnits("", string(c.got.Value)).Int64())
	if c.got.Error == 0 {
		return c.wrong(want)
	}
	if c.untruncated && math.Abs(got-want) > distinctDeviations*c.got.Error*want+1 {
		return c.wrong(want)
	}
	return nil
}

// checkQuantile checks a quantile over the segments that are in, if they have returned everything.
func (c aggregateCheck) checkQuantile() error {
	values := c.included.Values(c.aggregate.column)
	if len(values) == 0 || !c.untruncated {
		return nil
	}
	percent, err := strconv.ParseFloat(strings.TrimPrefix(c.aggregate.kind, "p"), 64)
	if err != nil {
		return fmt.Errorf("unknown aggregate %q", c.aggregate.text)
	}
	got, err := strconv.ParseFloat(string(c.got.Value), 64)
	if err != nil {
		return c.wrong("a number")
	}
	var sorted []float64
	for _, value := range values {
		sorted = append(sorted, toFloat(c.aggregate.column, value))
	}
	sort.Float64s(sorted)
	// A quantile between two values may be either of them.
	rank := percent / 100 * float64(len(sorted)-1)
	lower, upper := sorted[int(rank)], sorted[int(math.Ceil(rank))]
	near := func(want float64) bool {
		return math.Abs(got-want) <= c.got.Error*math.Abs(want)+quantileTolerance
	}
	if !near(lower) && !near(upper) {
		return c.wrong([2]float64{lower, upper})
	}
	return nil
}

// parseUnits parses a number in whole units: cents for amounts. A text that is no number yields the least int64.
func parseUnits(column, text string) *big.Int {
	number, ok := new(big.Rat).SetString(strings.Trim(text, `"`))
	if !ok {
		return big.NewInt(math.MinInt64)
	}
	if column == columnAmount {
		number.Mul(number, big.NewRat(centsPerUnit, 1))
	}
	return new(big.Int).Quo(number.Num(), number.Denom())
}
