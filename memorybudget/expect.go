package memorybudget

// Expect learns how much a part's value is likely to take, by query type, so that a search can be turned away before its
// parts are sent rather than when their values, which cannot be refused any more, are there. It is one goroutine's at a
// time. Its table is as long as the settings' list of query types.
//
// It goes up to a large value at once and comes down slowly: too much set aside turns a search away with advice to come
// back, too little may cost the process.
type Expect struct {
	types []float64 // 0 = none has been seen
	first Bytes
}

// fade is the part of the way down that one smaller value goes.
const fade = 1.0 / 64

// NewExpect makes one for so many query types; first is expected until a value of a type has been seen.
func NewExpect(types int, first Bytes) *Expect {
	return &Expect{types: make([]float64, types), first: first}
}

// Saw takes in how large a value of a type was.
func (e *Expect) Saw(queryType int, n Bytes) {
	if queryType < 0 || queryType >= len(e.types) {
		return
	}
	t := &e.types[queryType]
	*t = max(float64(n), *t-fade*(*t-float64(n)), 1)
}

// Each tells how much is to be set aside for one value of a type.
func (e *Expect) Each(queryType int) Bytes {
	if queryType < 0 || queryType >= len(e.types) || e.types[queryType] == 0 {
		return e.first
	}
	return Bytes(e.types[queryType])
}
