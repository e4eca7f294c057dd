package experiment

import "fmt"

// gathererConfig is a gatherer's configuration file. Times are in milliseconds.
type gathererConfig struct {
	Name      string           `json:"name"`
	Listen    string           `json:"listen"`
	Discovery string           `json:"discovery"`
	Seed      string           `json:"seed"` // hexadecimal
	Limits    gathererLimits   `json:"limits"`
	Settings  gathererSettings `json:"settings"`
}

type gathererLimits struct {
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

type gathererSettings struct {
	Classes        []classConfig    `json:"classes"`
	Tenants        []tenantConfig   `json:"tenants"`
	MembershipMode string           `json:"membershipMode"`
	Instances      int              `json:"instances"`
	Tick           int              `json:"tick"`
	Domain         domainConfig     `json:"domain"`
	Limits         callLimits       `json:"limits"`
	Feedback       feedbackConfig   `json:"feedback"`
	Guarantees     guaranteesConfig `json:"guarantees"`
}

// classConfig is a query type.
type classConfig struct {
	Name      string  `json:"name"`
	Effect    string  `json:"effect"`
	SLO       int64   `json:"slo"`
	HardLimit int64   `json:"hardLimit"`
	LateWorth float64 `json:"lateWorth"`
}

type tenantConfig struct {
	Name      string `json:"name"`
	QuotaPerS int    `json:"quotaPerS"`
}

// domainConfig describes the servers and segments. The last three lists have one value for each query type.
type domainConfig struct {
	Positions  int       `json:"positions"` // servers
	Slices     int       `json:"slices"`    // segments
	Reach      int       `json:"reach"`     // servers of a segment
	PerCall    int       `json:"perCall"`
	LeastShare []float64 `json:"leastShare"`
	WholeAt    []float64 `json:"wholeAt"`
	ShortWorth []float64 `json:"shortWorth"`
}

type callLimits struct {
	AttemptsCap   int  `json:"attemptsCap"`
	Cancel        bool `json:"cancel"`
	SecondCopies  bool `json:"secondCopies"`
	DialTimeout   int  `json:"dialTimeout"`
	IdleClose     int  `json:"idleClose"`
	MaxStreams    int  `json:"maxStreams"`
	RetryAfter    bool `json:"retryAfter"`
	MaxRetryAfter int  `json:"maxRetryAfter"`
}

type feedbackConfig struct {
	How   string   `json:"how"`
	Names []string `json:"names"`
}

type guaranteesConfig struct {
	AskWithin         int `json:"askWithin"`
	StopSendingWithin int `json:"stopSendingWithin"`
}

const (
	// lateWorth is the value of a response after its latency target, relative to one in time.
	lateWorth = 0.3
	// shortWorth is the value of a response without some segments, relative to a complete one.
	shortWorth = 0.9
)

// newGathererConfig returns the configuration of a deployment's gatherer.
func newGathererConfig(seed uint64, discoveryAddr string, options DeploymentOptions) gathererConfig {
	settings := gathererSettings{
		Tenants:        []tenantConfig{{Name: customer, QuotaPerS: 100_000}},
		MembershipMode: "on_request",
		Instances:      1,
		Tick:           5,
		Domain:         domainConfig{Positions: options.Servers, Slices: options.Segments, Reach: 2, PerCall: 4},
		Limits: callLimits{
			AttemptsCap:   4,
			Cancel:        true,
			SecondCopies:  true,
			DialTimeout:   250,
			IdleClose:     30_000,
			MaxStreams:    64,
			RetryAfter:    true,
			MaxRetryAfter: 1000,
		},
		Feedback:   feedbackConfig{How: "answers", Names: []string{"queue", "inflight"}},
		Guarantees: guaranteesConfig{AskWithin: 10_000, StopSendingWithin: 500},
	}
	for _, t := range options.Types {
		settings.Classes = append(settings.Classes, classConfig{
			Name:      t.Name,
			Effect:    t.Effect,
			SLO:       t.LatencyTarget.Milliseconds(),
			HardLimit: t.Timeout.Milliseconds(),
			LateWorth: lateWorth,
		})
		settings.Domain.LeastShare = append(settings.Domain.LeastShare, t.MinimumShare)
		settings.Domain.WholeAt = append(settings.Domain.WholeAt, t.CompleteAt)
		settings.Domain.ShortWorth = append(settings.Domain.ShortWorth, shortWorth)
	}
	return gathererConfig{
		Name:      options.Name,
		Listen:    "127.0.0.1:0",
		Discovery: discoveryAddr,
		Seed:      fmt.Sprintf("%x", seed),
		Limits: gathererLimits{
			Cores:    4,
			MemoryMB: max(options.MemoryMB, minimumMemoryMB),
			Sockets:  max(options.MaxDescriptors, minimumDescriptors),
		},
		Settings: settings,
	}
}
