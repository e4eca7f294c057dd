package memorybudget

// SizeEstimator estimates the size of a shard's value by query type, so that a search can be rejected before its shard calls are
// dispatched rather than when their values, which can no longer be rejected, are received. It must not be used concurrently.
//
// An estimate follows a larger value at once and smaller ones slowly: too high an estimate rejects a search, which is retried
// later, too low a one may exhaust the process's memory.
type SizeEstimator struct {
	estimates []float64 // by query type; 0 = no value observed yet
	fallback  Bytes
}

// decayFactor is the part of the difference by which one smaller value lowers the estimate.
const decayFactor = 1.0 / 64

// NewSizeEstimator returns an estimator for a number of query types. fallback is the estimate until a value is observed.
func NewSizeEstimator(types int, fallback Bytes) *SizeEstimator {
	return &SizeEstimator{estimates: make([]float64, types), fallback: fallback}
}

// Observe records the size of a value. Unknown query types are ignored.
func (e *SizeEstimator) Observe(queryType int, n Bytes) {
	if queryType < 0 || queryType >= len(e.estimates) {
		return
	}
	estimate := &e.estimates[queryType]
	*estimate = max(float64(n), *estimate-decayFactor*(*estimate-float64(n)), 1)
}

// Estimate returns the memory to reserve for one value of a query type.
func (e *SizeEstimator) Estimate(queryType int) Bytes {
	if queryType < 0 || queryType >= len(e.estimates) || e.estimates[queryType] == 0 {
		return e.fallback
	}
	return Bytes(e.estimates[queryType])
}
