package experiment

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"oxbowspan/internal/testing/simcluster"
)

// All servers of a service, or of all services, answer a share of their requests with status 500 for a while. A gathered response then lacks
// parts, or all of them: each one that is a success is checked.

const (
	soakZeroShareSeeds    = 3 // in one of this many seeds the minimum share of gathered responses is 0
	soakMinFailureShare   = 0.3
	soakMaxFailureSeconds = 2.5
)

// failServices makes all servers of a service, or in half of the cases of all services, fail a share of their requests.
func (s *soak) failServices(random *rand.Rand) {
	service := simcluster.ExampleServices[random.IntN(len(simcluster.ExampleServices))]
	all := random.IntN(2) == 0
	share := soakMinFailureShare + (1-soakMinFailureShare)*random.Float64()
	fails := failureSource(random.Uint64(), share)
	s.count("failures of services")
	for _, server := range s.cluster.cluster.Servers {
		if all || server.Service == service {
			server.SetResponseFailures(fails)
			defer server.SetResponseFailures(nil)
		}
	}
	time.Sleep(time.Duration(random.Float64() * soakMaxFailureSeconds * float64(time.Second)))
}

// failureSource returns a function, safe for concurrent use, that reports true with a probability.
func failureSource(seed uint64, probability float64) func() bool {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 0))
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64() < probability
	}
}

// checkGathered checks a successful response to a gathered request.
func (c *soakClient) checkGathered(id string, response *http.Response, body []byte) {
	expectation := simcluster.ExampleGathering(simcluster.ExampleSharding, simcluster.ExampleResharding)
	if c.soak.env.Seed%soakZeroShareSeeds == 0 {
		expectation.MinimumShare = 0
	}
	received := simcluster.Response{Status: response.StatusCode, Header: response.Header, Body: body}
	if violation := expectation.Check(received, id); violation != "" {
		c.soak.setFinding("%s: %s", id, violation)
	}
}
