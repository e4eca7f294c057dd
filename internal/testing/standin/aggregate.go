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
	// distinctDeviations is the number of standard errors by which an estimated count may deviate from the exact one.
	distinctDeviations = 6
	// quantileTolerance is the rounding error allowed in a quantile in addition to the stated relative error.
	quantileTolerance = 1e-9
)

// aggregateName is the parsed name of an aggregate in a request: "count" or "KIND(COLUMN)".
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
	included    Group // over the included segments
	complete    bool  // no segment is missing
	untruncated bool  // the segments have returned everything that was requested
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

// mismatchError returns the error for a value that differs from the expected one.
func (c aggregateCheck) mismatchError(want any) error {
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
	correct := false
	switch c.got.Precision {
	case precisionExact:
		correct = got.Cmp(want) == 0
	case precisionLowerBound:
		correct = got.Cmp(want) <= 0
	case precisionBetween:
		correct = c.units(c.got.Low).Cmp(want) <= 0 && c.units(c.got.High).Cmp(want) >= 0
	case precisionPartial:
		correct = true
	}
	if !correct {
		return c.mismatchError(want)
	}
	if c.untruncated && got.Cmp(included) != 0 {
		return c.mismatchError(included)
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
			return c.mismatchError(want)
		}
		return nil
	}
	if got == "null" {
		if c.got.Precision != precisionPartial {
			return c.mismatchError(want)
		}
		return nil
	}
	value, err := decodeValue(c.aggregate.column, c.got.Value)
	if err != nil {
		return err
	}
	d := compareValues(value, best)
	correct := c.got.Precision == precisionUpperBound && d >= 0
	if c.aggregate.kind == "max" {
		correct = c.got.Precision == precisionLowerBound && d <= 0
	}
	if !correct {
		return c.mismatchError(want)
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
			return c.mismatchError("null")
		}
		return nil
	}
	want := new(big.Rat).SetFrac(c.all.Sum(c.aggregate.column), big.NewInt(int64(len(values))))
	if c.aggregate.column == columnAmount {
		want.Quo(want, big.NewRat(centsPerUnit, 1))
	}
	got, ok := new(big.Rat).SetString(strings.Trim(string(c.got.Value), `"`))
	if !ok {
		return c.mismatchError(want)
	}
	difference := new(big.Rat).Sub(got, want)
	difference.Abs(difference)
	allowed := new(big.Rat)
	if c.got.Precision == precisionApproximate {
		allowed.SetFloat64(c.got.Error)
	}
	rounding := big.NewRat(1, int64(1/meanTolerance))
	if difference.Cmp(allowed.Add(allowed, rounding)) > 0 {
		return c.mismatchError(want.FloatString(8))
	}
	return nil
}

// checkDistinct checks an estimated number of distinct values in the included segments.
func (c aggregateCheck) checkDistinct() error {
	distinct := map[any]bool{}
	for _, value := range c.included.Values(c.aggregate.column) {
		distinct[value] = true
	}
	want := float64(len(distinct))
	got := float64(parseUnits("", string(c.got.Value)).Int64())
	if c.got.Error == 0 {
		return c.mismatchError(want)
	}
	if c.untruncated && math.Abs(got-want) > distinctDeviations*c.got.Error*want+1 {
		return c.mismatchError(want)
	}
	return nil
}

// checkQuantile checks a quantile over the included segments, if they have returned everything.
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
		return c.mismatchError("a number")
	}
	var sorted []float64
	for _, value := range values {
		sorted = append(sorted, toFloat(c.aggregate.column, value))
	}
	sort.Float64s(sorted)
	// If the rank is between two values, either of them is accepted.
	rank := percent / 100 * float64(len(sorted)-1)
	lower, upper := sorted[int(rank)], sorted[int(math.Ceil(rank))]
	withinTolerance := func(want float64) bool {
		return math.Abs(got-want) <= c.got.Error*math.Abs(want)+quantileTolerance
	}
	if !withinTolerance(lower) && !withinTolerance(upper) {
		return c.mismatchError([2]float64{lower, upper})
	}
	return nil
}

// parseUnits parses a number in whole units: cents for amounts. It returns the minimum int64 for a text that is not a number.
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
