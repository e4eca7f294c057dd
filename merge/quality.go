package merge

import (
	"strconv"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/cockroachdb/apd/v3"
)

// Quality states how a reported value relates to the true value.
type Quality string

// Qualities of values.
const (
	Exact       Quality = "exact"
	LowerBound  Quality = "lower_bound" // the true value is not smaller
	UpperBound  Quality = "upper_bound" // the true value is not larger
	Between     Quality = "between"     // the true value is from Low to High
	Approximate Quality = "approximate" // estimated or rounded; Error bounds or estimates the deviation
	Partial     Quality = "partial"     // covers the included segments only and bounds the true value in neither direction
	Overflow    Quality = "overflow"    // exceeds the schema's digits or the range of integers; there is no value
)

// AggregateValue is the value of one aggregate for one group, with its quality.
type AggregateValue struct {
	Value     string // JSON; "null" if there is no value
	Quality   Quality
	Low, High string // set for Between; JSON
	Error     string // set for Approximate, and for Partial if the value is estimated; a relative error, or an absolute one for means
}

// GroupResult is one group of a result.
type GroupResult struct {
	Key    string // values of the group's columns as received, separated by commas
	Values []AggregateValue
}

// jsonSize returns the approximate length in bytes of the group in a response body.
func (g GroupResult) jsonSize() int {
	n := len(g.Key) + len(`{"key":[],"values":[]},`)
	for _, v := range g.Values {
		n += len(v.Value) + len(v.Quality) + len(v.Low) + len(v.High) + len(v.Error) + len(`{"value":,"is":"","low":,"high":,"error":},`)
	}
	return n
}

// aggregateValue returns the value of one aggregate for a merged group. missing states whether a segment is missing.
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

// boundedValue returns the value of a count or a sum. If segments omitted groups, the value has bounds only if groups are
// ranked by this aggregate. unsigned states that the column's values are never negative.
func (q *Query) boundedValue(v *apd.Decimal, a aggregate, unsigned, missing bool, u *uncertainty) AggregateValue {
	value := AggregateValue{Value: v.Text('f'), Quality: Exact}
	switch {
	case !missing && !u.incomplete:
	case !missing && a.partials[0] == q.rankBy:
		var low, high apd.Decimal
		_, lowErr := exactContext.Add(&low, v, &u.below)
		_, highErr := exactContext.Add(&high, v, &u.above)
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

// extremeValue returns the value of a minimum or maximum.
func extremeValue(kind aggregateKind, extreme scalar, incomplete bool) AggregateValue {
	value := AggregateValue{Value: "null", Quality: Exact}
	if extreme.raw != "" {
		value.Value = extreme.raw
	}
	switch {
	case !incomplete:
	case extreme.raw == "" || extreme.isNull():
		value.Quality = Partial // a missing value is no bound
	case kind == aggregateMin:
		value.Quality = UpperBound
	default:
		value.Quality = LowerBound
	}
	return value
}

// quantileValue returns the value of a quantile, which is null if the sketch is empty.
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

// estimatedValue returns an estimated value with its relative error.
func estimatedValue(text string, relativeError float64, incomplete bool) AggregateValue {
	value := AggregateValue{Value: text, Quality: Approximate, Error: strconv.FormatFloat(relativeError, 'g', -1, 64)}
	if incomplete {
		value.Quality = Partial
	}
	return value
}

// meanDigits is the number of additional digits after the decimal point that a mean has compared with its column.
const meanDigits = 4

// mean returns the quotient of a sum and a count. If it is rounded, its error is half a unit of the last digit.
func (q *Query) mean(sum *apd.Decimal, n int64, col Column, incomplete bool) AggregateValue {
	v := AggregateValue{Value: "null", Quality: Exact}
	if n > 0 {
		scale := int32(meanDigits)
		if col.Kind == Money {
			scale += int32(col.Scale)
		}
		highPrecision := apd.Context{Precision: 3 * MaxDigits, MaxExponent: 3 * MaxDigits, MinExponent: -3 * MaxDigits,
			Traps: apd.DefaultTraps, Rounding: apd.RoundHalfEven}
		// The sum has at most MaxDigits digits, so the rounding error of the quotient is far smaller than its last digit
		// that is kept.
		quotient, rounded := new(apd.Decimal), new(apd.Decimal)
		quotientCondition, err1 := highPrecision.Quo(quotient, sum, apd.New(n, 0))
		roundingCondition, err2 := highPrecision.Quantize(rounded, quotient, -scale)
		if err1 != nil || err2 != nil {
			return AggregateValue{Value: "null", Quality: Overflow}
		}
		if v.Value = rounded.Text('f'); (quotientCondition | roundingCondition).Inexact() {
			v.Quality, v.Error = Approximate, apd.New(5, -scale-1).Text('f')
		}
		v.quote()
	}
	if incomplete {
		v.Quality = Partial
	}
	return v
}

// quote encloses the value and its bounds in quotation marks, which makes them JSON strings.
func (v *AggregateValue) quote() {
	for _, s := range []*string{&v.Value, &v.Low, &v.High} {
		if *s != "" {
			*s = `"` + *s + `"`
		}
	}
}
