package merge

import (
	"encoding/base64"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/DataDog/sketches-go/ddsketch/store"
	"github.com/axiomhq/hyperloglog"
	"github.com/cockroachdb/apd/v3"
)

// aggregateKind is an aggregate function.
type aggregateKind uint8

const (
	aggregateCount aggregateKind = iota // number of rows
	aggregateSum                        // exact sum; null values are ignored
	aggregateMin                        // null values are ignored
	aggregateMax
	aggregateMean     // mean of the non-null values
	aggregateDistinct // estimated number of distinct non-null values
	aggregateQuantile // estimated quantile of the non-null values
)

// aggregate is an aggregate that a client requested.
type aggregate struct {
	name     string
	kind     aggregateKind
	column   int
	quantile float64
	partials []int // indexes in Query.partials of the partial aggregates that it is computed from
}

// partialAggregate is an aggregate over the rows of one segment that can be merged with those of other segments.
type partialAggregate struct {
	kind   partialKind
	column int
}

// partialKind is the function of a partial aggregate.
type partialKind uint8

const (
	partialCount     partialKind = iota // number of rows: an integer
	partialValues                       // number of non-null values: an integer
	partialSum                          // an exact decimal, as a string
	partialMin                          // a value, or null
	partialMax                          // a value, or null
	partialDistinct                     // a HyperLogLog sketch, as a base64 string
	partialQuantiles                    // a DDSketch, as a base64 string
)

// partialNames are the names of partial aggregates in requests to segments, by partialKind.
var partialNames = [...]string{"count", "values", "sum", "min", "max", "distinct", "sketch"}

// name returns the name of the partial aggregate in a SegmentRequest: "count", or NAME:COLUMN.
func (p partialAggregate) name(s *Schema) string {
	if p.kind == partialCount {
		return partialNames[p.kind]
	}
	return partialNames[p.kind] + ":" + s.Columns[p.column].Name
}

// parseAggregate parses the name of an aggregate: count, sum(C), min(C), max(C), mean(C), distinct(C), or p1(C) to p99(C) for
// quantiles, where C is a column. Clients see the texts of its errors.
func (s *Schema) parseAggregate(text string) (aggregate, error) {
	if text == "count" {
		return aggregate{name: text, kind: aggregateCount}, nil
	}
	name, rest, ok := strings.Cut(text, "(")
	column, closed := strings.CutSuffix(rest, ")")
	a := aggregate{name: text, column: s.ColumnIndex(column)}
	if !ok || !closed || a.column < 0 {
		return a, fmt.Errorf("figure %.60q is not count or NAME(COLUMN) with a column of the schema", text)
	}
	number := s.Columns[a.column].Kind == Int || s.Columns[a.column].Kind == Money
	switch name {
	case "sum":
		a.kind = aggregateSum
	case "min":
		return aggregate{name: text, kind: aggregateMin, column: a.column}, nil
	case "max":
		return aggregate{name: text, kind: aggregateMax, column: a.column}, nil
	case "mean":
		a.kind = aggregateMean
	case "distinct":
		return aggregate{name: text, kind: aggregateDistinct, column: a.column}, nil
	default:
		n, err := strconv.Atoi(strings.TrimPrefix(name, "p"))
		if err != nil || !strings.HasPrefix(name, "p") || n < 1 || n > 99 || name != "p"+strconv.Itoa(n) {
			return a, fmt.Errorf("figure %.60q is not known", text)
		}
		a.kind, a.quantile = aggregateQuantile, float64(n)/100
	}
	if !number {
		return a, fmt.Errorf("figure %.60q needs a column of numbers", text)
	}
	return a, nil
}

// CheckAggregate returns an error unless text is a valid aggregate for the schema.
func (s *Schema) CheckAggregate(text string) error {
	_, err := s.parseAggregate(text)
	return err
}

// requiredPartials returns the partial aggregates that the aggregate is computed from.
func (a aggregate) requiredPartials() []partialAggregate {
	c := a.column
	switch a.kind {
	case aggregateSum:
		return []partialAggregate{{partialSum, c}}
	case aggregateMin:
		return []partialAggregate{{partialMin, c}}
	case aggregateMax:
		return []partialAggregate{{partialMax, c}}
	case aggregateMean:
		return []partialAggregate{{partialSum, c}, {partialValues, c}}
	case aggregateDistinct:
		return []partialAggregate{{partialDistinct, c}}
	case aggregateQuantile:
		return []partialAggregate{{partialQuantiles, c}, {partialValues, c}}
	}
	return []partialAggregate{{partialCount, 0}}
}

// Parameters of sketches. Gateways and segments must use the same ones: sketches with other parameters are rejected.
const (
	// DistinctPrecision is the precision of the HyperLogLog sketches: 2^12 registers, at most 4 KiB.
	DistinctPrecision = 12
	// DistinctError is the relative standard error of the HyperLogLog sketches.
	DistinctError = 0.01625 // 1.04 / sqrt(2^12)
	// QuantileError is the relative accuracy of the DDSketches: the largest relative error of a quantile.
	QuantileError = 0.01
	// QuantileBins is the largest number of bins of a DDSketch: enough for amounts from 0.01 to 10^15.
	QuantileBins = 2048
)

// NewDistinct returns an empty HyperLogLog sketch with the parameters that segments must use.
func NewDistinct() *hyperloglog.Sketch {
	s, err := hyperloglog.NewSketch(DistinctPrecision, true)
	if err != nil {
		panic(err) // cannot happen: the library accepts this constant
	}
	return s
}

// NewQuantiles returns an empty DDSketch with the parameters that segments must use.
func NewQuantiles() *ddsketch.DDSketch {
	return ddsketch.NewDDSketch(quantileMapping(), newBinStore(), newBinStore())
}

func quantileMapping() mapping.IndexMapping {
	m, err := mapping.NewLogarithmicMapping(QuantileError)
	if err != nil {
		panic(err) // cannot happen: the library accepts this constant
	}
	return m
}

// newBinStore returns an empty bin store of a DDSketch. It collapses its lowest bins when it exceeds QuantileBins.
func newBinStore() store.Store { return store.NewCollapsingLowestDenseStore(QuantileBins) }

// partialValue is the value of a partial aggregate. Only the fields of its kind are used.
type partialValue struct {
	count        int64
	sum          apd.Decimal
	value        scalar // minimum or maximum; null or the zero value if there is none
	sortKey      string // of value
	distinct     *hyperloglog.Sketch
	quantiles    *ddsketch.DDSketch
	sketchMemory int  // estimated, in bytes
	overflow     bool // the count or sum exceeds its range, or sketches could not be merged; there is no value
}

// exactContext is the decimal context of exact sums: an inexact or rounded result is an error.
var exactContext = apd.Context{Precision: 3 * MaxDigits, MaxExponent: 3 * MaxDigits, MinExponent: -3 * MaxDigits,
	Traps: apd.DefaultTraps | apd.Inexact | apd.Rounded}

// parsePartialValue parses and validates one partial aggregate of a segment's group.
func (s *Schema) parsePartialValue(p partialAggregate, v scalar) (parsed partialValue, err error) {
	col := s.Columns[p.column]
	invalid := func() (partialValue, error) {
		return parsed, fmt.Errorf("%.40s is not a valid %s", v.raw, p.name(s))
	}
	switch p.kind {
	case partialCount, partialValues:
		if parsed.count, err = strconv.ParseInt(v.text, 10, 64); err != nil || v.kind != 'i' || parsed.count < 0 {
			return invalid()
		}
	case partialSum:
		scale := 0
		if col.Kind == Money {
			scale = col.Scale
		}
		negative, _, _, ok := splitDecimal(v.text, s.Digits, scale)
		if v.kind != 's' || !ok || negative && col.Unsigned {
			return invalid()
		}
		if _, _, err := parsed.sum.SetString(v.text); err != nil {
			return invalid()
		}
	case partialMin, partialMax:
		if err := col.check(v, s.Digits); err != nil {
			return parsed, err
		}
		parsed.value = v
		parsed.sortKey = string(s.appendValue(nil, p.column, v, false))
	case partialDistinct:
		b, err := base64.StdEncoding.DecodeString(v.text)
		if err != nil || v.kind != 's' {
			return invalid()
		}
		if parsed.distinct, err = readDistinct(b); err != nil {
			return invalid()
		}
		parsed.sketchMemory = min(2*len(b), 2<<DistinctPrecision) + sketchOverhead
	case partialQuantiles:
		b, err := base64.StdEncoding.DecodeString(v.text)
		if err != nil || v.kind != 's' {
			return invalid()
		}
		if parsed.quantiles, err = readQuantiles(b); err != nil {
			return invalid()
		}
		parsed.sketchMemory = binCount(parsed.quantiles)*8 + sketchOverhead
	}
	return parsed, nil
}

// readDistinct decodes a HyperLogLog sketch of a segment. Panics are recovered because the library may panic on malformed
// input.
func readDistinct(b []byte) (s *hyperloglog.Sketch, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("not a sketch: %v", r)
		}
	}()
	received := &hyperloglog.Sketch{}
	if err := received.UnmarshalBinary(b); err != nil {
		return nil, err
	}
	s = NewDistinct()
	if err := s.Merge(received); err != nil {
		return nil, err
	}
	s.Estimate()
	return s, nil
}

// readQuantiles decodes a DDSketch of a segment into a sketch of bounded size. Panics are recovered because the library may
// panic on malformed input.
func readQuantiles(b []byte) (s *ddsketch.DDSketch, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("not a sketch: %v", r)
		}
	}()
	s = NewQuantiles()
	if err := s.DecodeAndMergeWith(b); err != nil {
		return nil, err
	}
	if n := s.GetCount(); n < 0 || math.IsNaN(n) || math.IsInf(n, 0) {
		return nil, fmt.Errorf("a sketch of %v values", n)
	}
	return s, nil
}

// sketchOverhead is the estimated memory of a sketch in bytes, without its registers or bins.
const sketchOverhead = 600

// binCount returns the number of bins that a sketch holds in memory: all from the lowest to the highest bin in use, for
// negative and positive values separately.
func binCount(s *ddsketch.DDSketch) int {
	type binRange struct{ lowest, highest int }
	var ranges [2]*binRange
	s.ForEach(func(value, _ float64) bool {
		side := 0
		if value < 0 {
			side, value = 1, -value
		}
		if value > 0 {
			bin := s.Index(value)
			if ranges[side] == nil {
				ranges[side] = &binRange{bin, bin}
			}
			ranges[side].lowest, ranges[side].highest = min(ranges[side].lowest, bin), max(ranges[side].highest, bin)
		}
		return false
	})
	n := 0
	for _, x := range ranges {
		if x != nil {
			n += min(x.highest-x.lowest+1, QuantileBins) + 64 // the sketch allocates bins in steps of 64
		}
	}
	return n
}

// add merges the value of another segment into v.
func (v *partialValue) add(p partialAggregate, from *partialValue) {
	switch p.kind {
	case partialCount, partialValues:
		if v.count += from.count; v.count < 0 {
			v.overflow = true
		}
	case partialSum:
		if _, err := exactContext.Add(&v.sum, &v.sum, &from.sum); err != nil {
			v.overflow = true
		}
	case partialMin, partialMax:
		if from.value.isNull() {
			return
		}
		if v.value.raw == "" || v.value.isNull() || (from.sortKey < v.sortKey) == (p.kind == partialMin) {
			v.value, v.sortKey = from.value, from.sortKey
		}
	case partialDistinct:
		if v.distinct == nil {
			v.distinct = NewDistinct()
		}
		if err := v.distinct.Merge(from.distinct); err != nil {
			v.overflow = true
		}
	case partialQuantiles:
		if v.quantiles == nil {
			v.quantiles = NewQuantiles()
		}
		if err := v.quantiles.MergeWith(from.quantiles); err != nil {
			v.overflow = true
		}
	}
}

// exceedsDigits reports whether a sum has more digits than the schema permits. Such a sum is reported as an overflow and never
// rounded.
func exceedsDigits(d *apd.Decimal, digits int) bool { return d.NumDigits() > int64(digits) }
