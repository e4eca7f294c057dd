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

// aggregateKind is a function over the values of a column.
type aggregateKind uint8

const (
	aggregateCount aggregateKind = iota // of rows
	aggregateSum                        // exact; null values are ignored
	aggregateMin                        // null values are ignored
	aggregateMax
	aggregateMean     // over the values that are not null
	aggregateDistinct // number of different values that are not null, estimated
	aggregateQuantile // estimated
)

// aggregate is one that a client requests.
type aggregate struct {
	name     string
	kind     aggregateKind
	column   int
	quantile float64
	partials []int // indexes in Query.partials of what it is computed from
}

// partialAggregate is an aggregate of one segment's rows, of which those of several segments can be merged.
type partialAggregate struct {
	kind   partialKind
	column int
}

type partialKind uint8

const (
	partialCount     partialKind = iota // rows: an integer
	partialValues                       // values that are not null: an integer
	partialSum                          // an exact decimal in a string
	partialMin                          // a value, or null
	partialMax                          // a value, or null
	partialDistinct                     // a HyperLogLog in a base64 string
	partialQuantiles                    // a DDSketch in a base64 string
)

var partialNames = [...]string{"count", "values", "sum", "min", "max", "distinct", "sketch"}

// name returns the name in a SegmentRequest: count, or NAME:COLUMN.
func (p partialAggregate) name(s *Schema) string {
	if p.kind == partialCount {
		return partialNames[p.kind]
	}
	return partialNames[p.kind] + ":" + s.Columns[p.column].Name
}

// parseAggregate parses count, sum(C), min(C), max(C), mean(C), distinct(C), or p1(C) to p99(C).
func (s *Schema) parseAggregate(text string) (aggregate, error) {
	if text == "count" {
		return aggregate{name: text, kind: aggregateCount}, nil
	}
	name, rest, ok := strings.Cut(text, "(")
	column, closed := strings.CutSuffix(rest, ")")
	f := aggregate{name: text, column: s.ColumnIndex(column)}
	if !ok || !closed || f.column < 0 {
		return f, fmt.Errorf("figure %.60q is not count or NAME(COLUMN) with a column of the schema", text)
	}
	number := s.Columns[f.column].Kind == Int || s.Columns[f.column].Kind == Money
	switch name {
	case "sum":
		f.kind = aggregateSum
	case "min":
		return aggregate{name: text, kind: aggregateMin, column: f.column}, nil
	case "max":
		return aggregate{name: text, kind: aggregateMax, column: f.column}, nil
	case "mean":
		f.kind = aggregateMean
	case "distinct":
		return aggregate{name: text, kind: aggregateDistinct, column: f.column}, nil
	default:
		n, err := strconv.Atoi(strings.TrimPrefix(name, "p"))
		if err != nil || !strings.HasPrefix(name, "p") || n < 1 || n > 99 || name != "p"+strconv.Itoa(n) {
			return f, fmt.Errorf("figure %.60q is not known", text)
		}
		f.kind, f.quantile = aggregateQuantile, float64(n)/100
	}
	if !number {
		return f, fmt.Errorf("figure %.60q needs a column of numbers", text)
	}
	return f, nil
}

// CheckAggregate checks whether an aggregate can be permitted for the schema.
func (s *Schema) CheckAggregate(text string) error {
	_, err := s.parseAggregate(text)
	return err
}

// requiredPartials returns the partial aggregates that the aggregate is computed from.
func (f aggregate) requiredPartials() []partialAggregate {
	c := f.column
	switch f.kind {
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

// Parameters of sketches, at gateways and segments: sketches with others are rejected.
const (
	// DistinctPrecision is the HyperLogLog's: 2^12 registers, at most 4 KiB.
	DistinctPrecision = 12
	// DistinctError is its standard error, as a share of the estimate.
	DistinctError = 0.01625 // 1.04 / sqrt(2^12)
	// QuantileError is the DDSketch's: a quantile is off by at most this share of itself.
	QuantileError = 0.01
	// QuantileBins bounds a DDSketch: enough for amounts from a cent to 10^15.
	QuantileBins = 2048
)

// NewDistinct returns an empty sketch of distinct values with the parameters required of segments.
func NewDistinct() *hyperloglog.Sketch {
	s, err := hyperloglog.NewSketch(DistinctPrecision, true)
	if err != nil {
		panic(err) // cannot happen: the library accepts this constant
	}
	return s
}

// NewQuantiles returns an empty sketch of quantiles with the parameters required of segments.
func NewQuantiles() *ddsketch.DDSketch {
	return ddsketch.NewDDSketch(quantileMapping(), collapsing(), collapsing())
}

func quantileMapping() mapping.IndexMapping {
	m, err := mapping.NewLogarithmicMapping(QuantileError)
	if err != nil {
		panic(err) // cannot happen: the library accepts this constant
	}
	return m
}

func collapsing() store.Store { return store.NewCollapsingLowestDenseStore(QuantileBins) }

// partialValue is the value of a partial aggregate. Only the fields of its kind are used.
type partialValue struct {
	count        int64
	sum          apd.Decimal
	value        scalar // min, max; null or zero if there is none
	sortKey      string // of value
	distinct     *hyperloglog.Sketch
	quantiles    *ddsketch.DDSketch
	sketchMemory int  // estimated, in bytes
	overflow     bool // a sum or count does not fit and has no value
}

// exact computes without rounding: an inexact result is an error.
var exact = apd.Context{Precision: 3 * MaxDigits, MaxExponent: 3 * MaxDigits, MinExponent: -3 * MaxDigits,
	Traps: apd.DefaultTraps | apd.Inexact | apd.Rounded}

// parsePartialValue parses and checks one partial aggregate of a segment's group.
func (s *Schema) parsePartialValue(p partialAggregate, v scalar) (c partialValue, err error) {
	col := s.Columns[p.column]
	bad := func() (partialValue, error) {
		return c, fmt.Errorf("%.40s is no %s", v.raw, p.name(s))
	}
	switch p.kind {
	case partialCount, partialValues:
		if c.count, err = strconv.ParseInt(v.text, 10, 64); err != nil || v.kind != 'i' || c.count < 0 {
			return bad()
		}
	case partialSum:
		scale := 0
		if col.Kind == Money {
			scale = col.Scale
		}
		negative, _, _, ok := splitDecimal(v.text, s.Digits, scale)
		if v.kind != 's' || !ok || negative && col.Unsigned {
			return bad()
		}
		if _, _, err := c.sum.SetString(v.text); err != nil {
			return bad()
		}
	case partialMin, partialMax:
		if err := col.check(v, s.Digits); err != nil {
			return c, err
		}
		c.value = v
		c.sortKey = string(s.appendValue(nil, p.column, v, false))
	case partialDistinct:
		b, err := base64.StdEncoding.DecodeString(v.text)
		if err != nil || v.kind != 's' {
			return bad()
		}
		if c.distinct, err = readDistinct(b); err != nil {
			return bad()
		}
		c.sketchMemory = min(2*len(b), 2<<DistinctPrecision) + sketchOverhead
	case partialQuantiles:
		b, err := base64.StdEncoding.DecodeString(v.text)
		if err != nil || v.kind != 's' {
			return bad()
		}
		if c.quantiles, err = readQuantiles(b); err != nil {
			return bad()
		}
		c.sketchMemory = binCount(c.quantiles)*8 + sketchOverhead
	}
	return c, nil
}

// readDistinct decodes a sketch of a segment. The library may panic on malformed bytes.
func readDistinct(b []byte) (s *hyperloglog.Sketch, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("not a sketch: %v", r)
		}
	}()
	came := &hyperloglog.Sketch{}
	if err := came.UnmarshalBinary(b); err != nil {
		return nil, err
	}
	s = NewDistinct()
	if err := s.Merge(came); err != nil {
		return nil, err
	}
	s.Estimate()
	return s, nil
}

// readQuantiles decodes a sketch of a segment into one of bounded size. The library may panic on malformed bytes.
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

// sketchOverhead is the memory of a sketch beside its registers or bins.
const sketchOverhead = 600

// binCount returns the number of bins that a sketch holds in memory: from its smallest to its largest, on either side of
// 0.
func binCount(s *ddsketch.DDSketch) int {
	type span struct{ least, most int }
	var sides [2]*span
	s.ForEach(func(value, _ float64) bool {
		side := 0
		if value < 0 {
			side, value = 1, -value
		}
		if value > 0 {
			at := s.Index(value)
			if sides[side] == nil {
				sides[side] = &span{at, at}
			}
			sides[side].least, sides[side].most = min(sides[side].least, at), max(sides[side].most, at)
		}
		return false
	})
	n := 0
	for _, x := range sides {
		if x != nil {
			n += min(x.most-x.least+1, QuantileBins) + 64 // the sketch allocates in steps of 64
		}
	}
	return n
}

// add merges the value of another segment into this one.
func (c *partialValue) add(p partialAggregate, from *partialValue) {
	switch p.kind {
	case partialCount, partialValues:
		if c.count += from.count; c.count < 0 {
			c.overflow = true
		}
	case partialSum:
		if _, err := exact.Add(&c.sum, &c.sum, &from.sum); err != nil {
			c.overflow = true
		}
	case partialMin, partialMax:
		if from.value.isNull() {
			return
		}
		if c.value.raw == "" || c.value.isNull() || (from.sortKey < c.sortKey) == (p.kind == partialMin) {
			c.value, c.sortKey = from.value, from.sortKey
		}
	case partialDistinct:
		if c.distinct == nil {
			c.distinct = NewDistinct()
		}
		if err := c.distinct.Merge(from.distinct); err != nil {
			c.overflow = true
		}
	case partialQuantiles:
		if c.quantiles == nil {
			c.quantiles = NewQuantiles()
		}
		if err := c.quantiles.MergeWith(from.quantiles); err != nil {
			c.overflow = true
		}
	}
}

// exceedsDigits reports whether a sum has more digits than the schema permits. It is then reported as an overflow and
// never rounded.
func exceedsDigits(d *apd.Decimal, digits int) bool { return d.NumDigits() > int64(digits) }
