package experiment

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"oxbowspan/config"
	"oxbowspan/internal/testing/simcluster"
)

// The soak raises the limit of headers with each configuration. Its clients send headers up to the limit that all gateways must have in force,
// also on connections that were opened under a lower one: a response that a header is too long is a finding.

const (
	soakFirstHeaderBytes = 8 << 10
	soakHeaderBytesStep  = 4 << 10         // by which each configuration raises the limit
	soakLimitInForce     = 8 * time.Second // time from the commit of a limit until every gateway has it in force, also after a fault
	soakRequestLineBytes = 400             // room for a request's other lines
	soakMaxBodyBytes     = 100 << 10
	soakLongHeaderEvery  = 4 // one in this many requests has a long header
	soakBodyEvery        = 8 // one in this many POST requests has a body
	soakZeroBudgetSeeds  = 4 // in one of this many seeds gateways may send retries in proportion to requests only
)

// committedLimit is a limit of headers and the time at which its configuration was acknowledged.
type committedLimit struct {
	headerBytes int
	at          time.Time
}

// soakConfiguration returns the example configuration with a limit of headers. With one seed in soakZeroShareSeeds a gathered response may lack
// any number of parts but one.
func soakConfiguration(seed, version uint64, sharding []string, headerBytes int) []byte {
	var c config.Configuration
	json.Unmarshal(simcluster.ExampleConfiguration(version, sharding), &c)
	c.Limits.HeaderBytes = headerBytes
	for i := range c.Routes {
		if seed%soakZeroShareSeeds == 0 {
			c.Routes[i].MinimumShare = 0
		}
	}
	text, _ := json.Marshal(c) // a struct of plain values always marshals
	return text
}

// nextHeaderBytes returns the limit of the next configuration.
func (s *soak) nextHeaderBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits[len(s.limits)-1].headerBytes + soakHeaderBytesStep
}

// limitCommitted records the limit of an acknowledged configuration.
func (s *soak) limitCommitted(headerBytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = append(s.limits, committedLimit{headerBytes, time.Now()})
}

// headerBytesInForce returns the limit of headers that all gateways have in force at least.
func (s *soak) headerBytesInForce() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	inForce := soakFirstHeaderBytes
	for _, limit := range s.limits {
		if time.Since(limit.at) > soakLimitInForce {
			inForce = limit.headerBytes
		}
	}
	return inForce
}

// longHeader returns a header line of up to limit bytes with the request's other lines, "" for most requests.
func longHeader(random *rand.Rand, limit int) string {
	if random.IntN(soakLongHeaderEvery) > 0 {
		return ""
	}
	return fmt.Sprintf("X-Fill: %s\r\n", strings.Repeat("f", limit-soakRequestLineBytes-random.IntN(limit/4)))
}

// requestBody returns the body of a POST request, "" for most of them.
func requestBody(random *rand.Rand) string {
	if random.IntN(soakBodyEvery) > 0 {
		return ""
	}
	return strings.Repeat("b", random.IntN(soakMaxBodyBytes))
}
