package balancer

import "math"

// mwc is a multiply-with-carry generator: the low 32 bits are the last number, the high 32 bits the carry.
type mwc uint64

const mwcFactor = 4294957665

func newMWC(seed uint64) mwc { return mwc((seed>>32)%(mwcFactor-1)<<32 | seed&math.MaxUint32 | 1) }

// intN returns a random number from 0 to n - 1.
func (m *mwc) intN(n int) int {
	*m = (*m&math.MaxUint32)*mwcFactor + *m>>32
	return int(uint64(uint32(*m)) * uint64(n) >> 32)
}
