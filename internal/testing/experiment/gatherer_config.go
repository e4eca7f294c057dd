package experiment

import "fmt"

// gathererConfig is the configuration file of a gatherer. Times are in milliseconds. The fields have the names of the balancer's
// configuration where it has them.
type gathererConfig struct {
	Name      string           `json:"name"`
	Listen    string           `json:"listen"`
	Discovery string           `json:"discovery"`
	Seed      string           `json:"seed"` // hexadecimal
	Limits    gathererLimits   `json:"limits"`
	Settings  gathererSettings `json:"settings"`
}

type gathererLimits struct {
	Cores          int `json:"cores"`
	MemoryMB       int `json:"memory_mb"`
	MaxDescriptors int `json:"sockets"`
}

type gathererSettings struct {
	QueryTypes      []queryTypeConfig `json:"classes"`
	Tenants         []tenantConfig    `json:"tenants"`
	MembershipMode  string            `json:"membershipMode"`
	Instances       int               `json:"instances"`
	ClockResolution int               `json:"tick"`
	Domain          domainConfig      `json:"domain"`
	Limits          callLimits        `json:"limits"`
	Feedback        feedbackConfig    `json:"feedback"`
	Guarantees      guaranteesConfig  `json:"guarantees"`
}

// queryTypeConfig is a query type.
type queryTypeConfig struct {
	Name          string  `json:"name"`
	Effect        string  `json:"effect"`
	LatencyTarget int64   `json:"slo"`
	ClientTimeout int64   `json:"hardLimit"`
	LateValue     float64 `json:"lateWorth"`
}

type tenantConfig struct {
	Name           string `json:"name"`
	QuotaPerSecond int    `json:"quotaPerS"`
}

// domainConfig describes the servers and segments. The lists have one value for each query type.
type domainConfig struct {
	Cells             int       `json:"positions"` // servers
	Segments          int       `json:"slices"`
	ReplicationFactor int       `json:"reach"` // servers of a segment
	CallsPerFrame     int       `json:"perCall"`
	MinCoverage       []float64 `json:"leastShare"`
	CompleteCoverage  []float64 `json:"wholeAt"`
	PartialValue      []float64 `json:"shortWorth"`
}

type callLimits struct {
	MaxAttempts   int  `json:"attemptsCap"`
	Cancel        bool `json:"cancel"`
	AllowHedging  bool `json:"secondCopies"`
	DialTimeout   int  `json:"dialTimeout"`
	IdleTimeout   int  `json:"idleClose"`
	MaxStreams    int  `json:"maxStreams"`
	RetryAfter    bool `json:"retryAfter"`
	MaxRetryAfter int  `json:"maxRetryAfter"`
}

type feedbackConfig struct {
	How   string   `json:"how"`
	Names []string `json:"names"`
}

type guaranteesConfig struct {
	MaxListAge int `json:"askWithin"`
	DrainGrace int `json:"stopSendingWithin"`
}

const (
	// lateValue is the value of a response after its latency target, relative to one in time.
	lateValue = 0.3
	// partialValue is the value of a response without some segments, relative to a complete one.
	partialValue = 0.9
)

// newGathererConfig returns the configuration of a deployment's gatherer.
func newGathererConfig(seed uint64, discoveryAddr string, options DeploymentOptions) gathererConfig {
	settings := gathererSettings{
		Tenants:         []tenantConfig{{Name: customer, QuotaPerSecond: 100_000}},
		MembershipMode:  "on_request",
		Instances:       1,
		ClockResolution: 5,
		Domain:          domainConfig{Cells: options.Servers, Segments: options.Segments, ReplicationFactor: 2, CallsPerFrame: 4},
		Limits: callLimits{
			MaxAttempts:   4,
			Cancel:        true,
			AllowHedging:  true,
			DialTimeout:   250,
			IdleTimeout:   30_000,
			MaxStreams:    64,
			RetryAfter:    true,
			MaxRetryAfter: 1000,
		},
		Feedback:   feedbackConfig{How: "answers", Names: []string{"queue", "inflight"}},
		Guarantees: guaranteesConfig{MaxListAge: 10_000, DrainGrace: 500},
	}
	for _, t := range options.Types {
		settings.QueryTypes = append(settings.QueryTypes, queryTypeConfig{
			Name:          t.Name,
			Effect:        t.Effect,
			LatencyTarget: t.LatencyTarget.Milliseconds(),
			ClientTimeout: t.Timeout.Milliseconds(),
			LateValue:     lateValue,
		})
		settings.Domain.MinCoverage = append(settings.Domain.MinCoverage, t.MinimumShare)
		settings.Domain.CompleteCoverage = append(settings.Domain.CompleteCoverage, t.CompleteAt)
		settings.Domain.PartialValue = append(settings.Domain.PartialValue, partialValue)
	}
	return gathererConfig{
		Name:      options.Name,
		Listen:    "127.0.0.1:0",
		Discovery: discoveryAddr,
		Seed:      fmt.Sprintf("%x", seed),
		Limits: gathererLimits{
			Cores:          4,
			MemoryMB:       max(options.MemoryMB, minimumMemoryMB),
			MaxDescriptors: max(options.MaxDescriptors, minimumDescriptors),
		},
		Settings: settings,
	}
}
