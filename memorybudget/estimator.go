package memorybudget

// SizeEstimator learns how much a part's value is likely to take, by query type, so that a search can be turned away before its
// parts are sent rather than when their values, which cannot be refused any more, are there. It is one goroutine's at a
// time. Its table is as long as the settings' list of query types.
//
// It goes up to a large value at once and comes down slowly: too much set aside turns a search away with advice to come
// back, too little may cost the process.
type SizeEstimator struct {
	estimates []float64 // 0 = none has been seen
	fallback  Bytes
}

// decayFactor is the part of the way down that one smaller value goes.
const decayFactor = 1.0 / 64

// NewSizeEstimator makes one for so many query types; first is expected until a value of a type has been seen.
func NewSizeEstimator(types int, first Bytes) *SizeEstimator {
	return &SizeEstimator{estimates: make([]float64, types), fallback: first}
}

// Observe takes in how large a value of a type was.
func (e *SizeEstimator) Observe(queryType int, n Bytes) {
	if queryType < 0 || queryType >= len(e.estimates) {
		return
	}
	t := &e.estimates[queryType]
	*t = max(float64(n), *t-decayFactor*(*t-float64(n)), 1)
}

// Estimate tells how much is to be set aside for one value of a type.
func (e *SizeEstimator) Estimate(queryType int) Bytes {
	if queryType < 0 || queryType >= len(e.estimates) || e.estimates[queryType] == 0 {
		return e.fallback
	}
	return Bytes(e.estimates[queryType])
}
