package balancer

// splitStep is the fractional part of the golden ratio. Its multiples are spread over [0, 1) more evenly than those of
// any other number (Weyl sequence): among n consecutive points, the share within an interval is off by about 1/n, where
// random draws are off by 1/sqrt(n).
const splitStep = 0.6180339887498949

// splitSequence distributes the requests of a query type over weighted shards. It starts at a random point, so that
// many instances with few requests each do not prefer the same shard. The zero value is ready to use.
type splitSequence struct {
	started bool
	point   float64
}

// next returns the next point in [0, 1). The first one is random.
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
