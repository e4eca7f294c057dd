package balancer

import (
	"math"
	"math/rand/v2"
	"testing"
)

// 300 requests over 90 instances are split close to their weights, for any weights, and so are many requests of a single
// instance. A changed weight takes effect at once.
func TestSplitFollowsWeights(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 5))
		weight := 0.05 + 0.9*random.Float64()
		instances := make([]splitSequence, 90)
		hits := 0
		for range 300 {
			if instances[random.IntN(len(instances))].next(random.IntN) < weight {
				hits++
			}
		}
		if share := float64(hits) / 300; math.Abs(share-weight) > 0.1 {
			t.Errorf("seed %d: a share of %.3f over many instances, its weight is %.3f", seed, share, weight)
		}
		one := splitSequence{}
		for _, weight := range []float64{weight, 1 - weight} {
			hits = 0
			for range 100 {
				if one.next(random.IntN) < weight {
					hits++
				}
			}
			if share := float64(hits) / 100; math.Abs(share-weight) > 0.03 {
				t.Errorf("seed %d: a share of %.3f at one instance, its weight is %.3f", seed, share, weight)
			}
		}
	}
}
