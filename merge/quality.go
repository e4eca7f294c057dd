package merge

import (
	"strconv"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/cockroachdb/apd/v3"
)

// Quality states how far a value can be relied on.
type Quality string

// Qualities of values.
const (
	Exact       Quality = "exact"
	LowerBound  Quality = "lower_bound" // the true value is this or more
	UpperBound  Quality = "upper_bound" // the true value is this or less
	Between     Quality = "between"     // from Low to High
	Approximate Quality = "approximate" // with Error
	Partial     Quality = "partial"     // of the included segments only; no bound of the true value
	Overflow    Quality = "overflow"    // it does not fit the schema's digits, and has no value
)

// AggregateValue is the value of an aggregate for one group.
type AggregateValue struct {
	Value     string // JSON; null where there is none
	Quality   Quality
	Low, High string // Between
	Error     string // Approximate, and Partial if it is estimated; relative, or absolute for means
}

// GroupResult is one group of a result.
type GroupResult struct {
	Key    string // its columns' values as received, separated by commas
	Values []AggregateValue
}

// jsonSize returns the approximate length of the group in a body.
func (g GroupResult) jsonSize() int {
	n := len(g.Key) + len(`{"key":[],"values":[]},`)
	for _, v := range g.Values {
		n += len(v.Value) + len(v.Quality) + len(v.Low) + len(v.High) + len(v.Error) + len(`{"value":,"is":"","low":,"high":,"error":},`)
	}
	return n
}

// aggregateValue returns one aggregate of a merged group. missing means that a segment is missing.
func (q *Query) aggregateValue(a aggregate, g *group, missing bool, u *uncertainty) AggregateValue {
	v := &g.values[a.partials[0]]
	for _, i := range a.partials {
		if g.values[i].overflow {
			return AggregateValue{Value: "null", Quality: Overflow}
		}
	}
	incomplete := missing || u.incomplete
	column := q.policy.Schema.Columns[a.column]
	switch a.kind {
	case aggregateCount:
		return q.boundedValue(apd.New(v.count, 0), a, true, missing, u)
	case aggregateSum:
		if exceedsDigits(&v.sum, q.policy.Schema.Digits) {
			return AggregateValue{Value: "null", Quality: Overflow}
		}
		sum := q.boundedValue(&v.sum, a, column.Unsigned, missing, u)
		sum.quote()
		return sum
	case aggregateMin, aggregateMax:
		return extremeValue(a.kind, v.value, incomplete)
	case aggregateMean:
		return q.mean(&v.sum, g.values[a.partials[1]].count, column, incomplete)
	case aggregateDistinct:
		n := uint64(0)
		if v.distinct != nil {
			n = v.distinct.Estimate()
		}
		return estimatedValue(strconv.FormatUint(n, 10), DistinctError, incomplete)
	}
	return quantileValue(v.quantiles, a.quantile, incomplete)
}

// boundedValue returns a count or a sum. What segments omitted is bounded if groups are ranked by this aggregate. unsigned means
// that the values are never below 0.
func (q *Query) boundedValue(v *apd.Decimal, a aggregate, unsigned, missing bool, u *uncertainty) AggregateValue {
	value := AggregateValue{Value: v.Text('f'), Quality: Exact}
	switch {
	case !missing && !u.incomplete:
	case !missing && a.partials[0] == q.rankBy:
		var low, high apd.Decimal
		_, lowErr := exact.Add(&low, v, &u.below)
		_, highErr := exact.Add(&high, v, &u.above)
		if lowErr != nil || highErr != nil {
			value.Quality = Partial
			break
		}
		value.Quality, value.Low, value.High = Between, low.Text('f'), high.Text('f')
	case unsigned:
		value.Quality = LowerBound
	default:
		value.Quality = Partial
	}
	return value
}

// extremeValue returns a minimum or maximum.
func extremeValue(kind aggregateKind, extreme scalar, incomplete bool) AggregateValue {
	value := AggregateValue{Value: "null", Quality: Exact}
	if extreme.raw != "" {
		value.Value = extreme.raw
	}
	switch {
	case !incomplete:
	case extreme.raw == "" || extreme.isNull():
		value.Quality = Partial // there is no value that could be a bound
	case kind == aggregateMin:
		value.Quality = UpperBound
	default:
		value.Quality = LowerBound
	}
	return value
}

func quantileValue(sketch *ddsketch.DDSketch, quantile float64, incomplete bool) AggregateValue {
	if sketch == nil || sketch.GetCount() == 0 {
		value := AggregateValue{Value: "null", Quality: Exact}
		if incomplete {
			value.Quality = Partial
		}
		return value
	}
	x, err := sketch.GetValueAtQuantile(quantile)
	if err != nil {
		return AggregateValue{Value: "null", Quality: Partial}
	}
	return estimatedValue(strconv.FormatFloat(x, 'g', 8, 64), QuantileError, incomplete)
}

// estimatedValue returns an estimate with its relative error.
func estimatedValue(text string, relativeError float64, incomplete bool) AggregateValue {
	value := AggregateValue{Value: text, Quality: Approximate, Error: strconv.FormatFloat(relativeError, 'g', -1, 64)}
	if incomplete {
		value.Quality = Partial
	}
	return value
}

// meanDigits is the number of digits after the point that a mean has more than its column.
const meanDigits = 4

// mean divides a sum by a count. If the quotient is rounded the error is stated.
func (q *Query) mean(sum *apd.Decimal, n int64, col Column, lacks bool) AggregateValue {
	v := AggregateValue{Value: "null", Quality: Exact}
	if n > 0 {
		scale := int32(meanDigits)
		if col.Kind == Money {
			scale += int32(col.Scale)
		}
		wide := apd.Context{Precision: 3 * MaxDigits, MaxExponent: 3 * MaxDigits, MinExponent: -3 * MaxDigits,
			Traps: apd.DefaultTraps, Rounding: apd.RoundHalfEven}
		// The sum has at most MaxDigits digits, so that the rounding of the quotient is far below the digits kept.
		quotient, rounded := new(apd.Decimal), new(apd.Decimal)
		c1, err1 := wide.Quo(quotient, sum, apd.New(n, 0))
		c2, err2 := wide.Quantize(rounded, quotient, -scale)
		if err1 != nil || err2 != nil {
			return AggregateValue{Value: "null", Quality: Overflow}
		}
		if v.Value = rounded.Text('f'); (c1 | c2).Inexact() {
			v.Quality, v.Error = Approximate, apd.New(5, -scale-1).Text('f')
		}
		v.quote()
	}
	if lacks {
		v.Quality = Partial
	}
	return v
}

// quote makes the value and its bounds JSON strings.
func (v *AggregateValue) quote() {
	for _, s := range []*string{&v.Value, &v.Low, &v.High} {
		if *s != "" {
			*s = `"` + *s + `"`
		}
	}
}
