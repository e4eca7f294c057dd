package merge

import (
	"strconv"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/cockroachdb/apd/v3"
)

// Quality says how far a figure may be trusted.
type Quality string

// The qualities.
const (
	Exact       Quality = "exact"
	LowerBound  Quality = "lower_bound" // the true figure is this or more
	UpperBound  Quality = "upper_bound" // the true figure is this or less
	Between     Quality = "between"     // from Low to High
	Approximate Quality = "approximate" // with Error
	Partial     Quality = "partial"     // of what is in alone; it says nothing of the rest
	Overflow    Quality = "overflow"    // it does not fit the operator's digits, and has no value
)

// AggregateValue is one figure and what it is worth.
type AggregateValue struct {
	Value     string // JSON; null where there is none
	Quality   Quality
	Low, High string // Between
	Error     string // Approximate, and Partial where it is estimated; a share of the value, or an amount for means
}

// GroupResult is one group of an answer.
type GroupResult struct {
	Key    string // its columns' values, as they came, without brackets
	Values []AggregateValue
}

// jsonSize is about how many bytes a group takes in a body.
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

// meanDigits is how many digits a mean has more than its column after the point.
const meanDigits = 4

// mean divides exactly where it can, and else says by how much it was rounded.
func (q *Query) mean(sum *apd.Decimal, n int64, col Column, lacks bool) AggregateValue {
	v := AggregateValue{Value: "null", Quality: Exact}
	if n > 0 {
		scale := int32(meanDigits)
		if col.Kind == Money {
			scale += int32(col.Scale)
		}
		wide := apd.Context{Precision: 3 * MaxDigits, MaxExponent: 3 * MaxDigits, MinExponent: -3 * MaxDigits,
			Traps: apd.DefaultTraps, Rounding: apd.RoundHalfEven}
		// The sum has at most MaxDigits digits, so that the quotient's rounding lies far behind the digits kept.
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

func (v *AggregateValue) quote() {
	for _, s := range []*string{&v.Value, &v.Low, &v.High} {
		if *s != "" {
			*s = `"` + *s + `"`
		}
	}
}
