package balancer

// splitStep is the fractional part of the golden ratio. Multiples of it are spread over [0, 1) more evenly than those of any other
// number (Weyl sequence): of n in a row, the share that falls into an interval is off by about 1/n, where draws are off by 1/sqrt(n).
const splitStep = 0.6180339887498949

// splitSequence spreads the requests of one query type over weighted shards. It begins at a random point, so that many instances
// with few requests each do not favour the same shard. The zero value is ready to use.
type splitSequence struct {
	started bool
	point   float64
}

// next returns the next point, in [0, 1). It draws the first one.
func (s *splitSequence) next(draw func(n int) int) float64 {
	const resolution = 1 << 20
	if !s.started {
		s.started, s.point = true, float64(draw(resolution))/resolution
	}
	point := s.point
	if s.point += splitStep; s.point >= 1 {
		s.point--
	}
	return point
}
