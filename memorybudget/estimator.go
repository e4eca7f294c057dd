package memorybudget

// SizeEstimator estimates the size of the value that a shard returns, by query type. With an estimate a search can be
// rejected before its shard calls are dispatched; when their values arrive they can no longer be rejected. It is not safe for
// concurrent use.
//
// An estimate rises at once to a larger value and falls slowly with smaller ones: if it is too high, a search is rejected and
// retried later; if it is too low, the process may run out of memory.
type SizeEstimator struct {
	estimates []float64 // in bytes, by query type; 0 = no value observed yet
	fallback  Bytes     // estimate until a value is observed
}

// decayFactor is the fraction of the difference by which a smaller value lowers the estimate.
const decayFactor = 1.0 / 64

// NewSizeEstimator returns an estimator for a number of query types. fallback is the estimate for a type without an observed
// value.
func NewSizeEstimator(types int, fallback Bytes) *SizeEstimator {
	return &SizeEstimator{estimates: make([]float64, types), fallback: fallback}
}

// Observe records the size of a value in bytes. Unknown query types are ignored.
func (e *SizeEstimator) Observe(queryType int, n Bytes) {
	if queryType < 0 || queryType >= len(e.estimates) {
		return
	}
	estimate := &e.estimates[queryType]
	*estimate = max(float64(n), *estimate-decayFactor*(*estimate-float64(n)), 1)
}

// Estimate returns the number of bytes to reserve for one value of a query type.
func (e *SizeEstimator) Estimate(queryType int) Bytes {
	if queryType < 0 || queryType >= len(e.estimates) || e.estimates[queryType] == 0 {
		return e.fallback
	}
	return Bytes(e.estimates[queryType])
}
