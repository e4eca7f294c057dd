// Package balancerconfig converts the settings of a deployment to the configuration of the balancer and the limits of the
// network code. The simulator's path=value pairs and the JSON of a configuration file are converted by the same code.
package balancerconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"

	"oxbowspan/balancer"
)

// maxEntries limits the number of query types and of customers, so that a wrong count can't cause a large allocation.
const maxEntries = 4096

// Values of the effect setting, which is the idempotency of a query type.
const (
	effectIdempotent    = "free"
	effectDeduplicated  = "guarded"
	effectNonIdempotent = "single_shot"
)

// Deployment holds the converted settings of a deployment.
type Deployment struct {
	Balancer                 balancer.Config
	LoadReportFields         []string // names of the values in load reports, in order; nil = no load reports
	LoadReportsByHealthCheck bool     // servers report load only in response to a health check
	QueryTypes               []string // names on the wire, by balancer.QueryType
	Customers                []string // names on the wire, by balancer.CustomerIndex
	Zones                    []string // names on the wire, by balancer.ZoneIndex
	ConnectTimeout           balancer.Time
	IdleTimeout              balancer.Time // after which servers close idle connections; 0 = never
	MaxClientTimeout         balancer.Time // the longest of all query types
	MaxStreamsPerConn        int           // attempts in flight on one connection to a server
	MaxCallsPerFrame         int           // calls that one frame to a server may hold
	AllowPeers               bool          // gatherers may communicate with one another
	MaxPending               int           // requests and calls pending at once; 0 = no limit
}

// FromPairs converts settings in lines of the form path=value; other lines are ignored. The seed is that of the balancer's
// random choices. Its errors are of type *SettingError.
func FromPairs(text string, seed uint64) (Deployment, error) {
	return parsePairs(text).deployment(seed)
}

// FromJSON converts settings in a nested JSON object. Its errors wrap those of package json or are of type *SettingError.
func FromJSON(raw []byte, seed uint64) (Deployment, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var object map[string]any
	if err := d.Decode(&object); err != nil {
		return Deployment{}, fmt.Errorf("settings are not a JSON object: %w", err)
	}
	s := &settings{values: map[string]string{}}
	s.flatten("", object)
	return s.deployment(seed)
}

// deployment converts all settings. It returns the first error recorded while they are read.
func (s *settings) deployment(seed uint64) (Deployment, error) {
	config := s.balancerConfig(seed)
	d := Deployment{
		Balancer:                 config,
		LoadReportsByHealthCheck: s.values["feedback.how"] == "probe",
		ConnectTimeout:           s.duration("limits.dialTimeout"),
		IdleTimeout:              s.duration("limits.idleClose"),
		MaxStreamsPerConn:        s.count("limits.maxStreams", math.MaxUint16),
		MaxCallsPerFrame:         s.count("domain.perCall", math.MaxUint16),
		MaxPending:               s.count("limits.mostHeld", math.MaxInt32),
		AllowPeers:               s.flag("limits.peers"),
		Zones:                    s.list("zones"),
	}
	for i, q := range config.QueryTypes {
		d.QueryTypes = append(d.QueryTypes, s.values[fmt.Sprintf("classes.%d.name", i)])
		d.MaxClientTimeout = max(d.MaxClientTimeout, q.ClientTimeout)
	}
	for i := range config.Customers {
		d.Customers = append(d.Customers, s.values[fmt.Sprintf("tenants.%d.name", i)])
	}
	if s.values["feedback.how"] != "none" {
		d.LoadReportFields = s.list("feedback.names")
	}
	return d, s.err
}

// balancerConfig converts the settings of the balancer.
func (s *settings) balancerConfig(seed uint64) balancer.Config {
	c := balancer.Config{
		Seed:              seed,
		Instances:         max(1, s.count("instances", math.MaxInt32)),
		ClockResolution:   s.duration("tick"),
		Cells:             s.count("domain.positions", math.MaxUint16+1),
		ReplicationFactor: max(1, s.count("domain.reach", math.MaxUint16)),
		Shards:            s.count("domain.slices", math.MaxInt32),
		CallCost:          max(0, s.number("domain.callCost", 0)),
		MaxAttempts:       max(1, s.count("limits.attemptsCap", math.MaxUint16)),
		AllowCancel:       s.flag("limits.cancel"),
		AllowHealthChecks: s.flag("limits.probes"),
		AllowHedging:      s.flag("limits.secondCopies"),
		RetriesMarked:     s.flag("clients.marksRetry"),
		ListOnRequest:     s.values["membershipMode"] == "on_request",
		MaxListAge:        s.duration("guarantees.askWithin"),
		DrainGrace:        s.duration("guarantees.stopSendingWithin"),
		SlowStartShare:    s.number("guarantees.startCapacity", 0),
		SlowStartDuration: s.duration("guarantees.cold"),
		OverloadMultiple:  s.number("guarantees.fallMultiple", 0),
		OverloadWindow:    s.duration("guarantees.tipAfter"),
		RetryBudgetSet:    s.values["guarantees.resendRatio"] != "",
		RetryBudgetBase:   s.number("guarantees.budgetFree", 0),
		RetryBudgetRatio:  s.number("guarantees.resendRatio", 0),
		RetryBudgetWindow: s.duration("guarantees.budgetSpan"),
		OverQuotaValue:    s.number("overShareWorth", 1),
	}
	s.required("domain.positions")
	s.required("domain.slices")
	if c.Cells < 1 || c.Shards < 1 {
		s.fail("domain.positions", "or domain.slices is below 1")
	}
	if s.flag("limits.retryAfter") {
		c.MaxRetryAfter = s.duration("limits.maxRetryAfter")
	}
	s.required("classes.count")
	for i := range s.count("classes.count", maxEntries) {
		c.QueryTypes = append(c.QueryTypes, s.queryType(i))
	}
	for i := range s.count("tenants.count", maxEntries) {
		quota := s.number(fmt.Sprintf("tenants.%d.quotaPerS", i), 0)
		c.Customers = append(c.Customers, balancer.CustomerConfig{QuotaPerSecond: quota})
	}
	return c
}

// queryType converts the settings of the query type with index i.
func (s *settings) queryType(i int) balancer.QueryTypeConfig {
	path := fmt.Sprintf("classes.%d.", i)
	q := balancer.QueryTypeConfig{
		LatencyTarget:    TimeFromMillis(s.required(path + "slo")),
		ClientTimeout:    TimeFromMillis(s.required(path + "hardLimit")),
		DedupWindow:      s.duration(path + "memorySpan"),
		LateValue:        s.number(path+"lateWorth", 0),
		PartialValue:     s.listItem("domain.shortWorth", i, 1),
		MinCoverage:      s.listItem("domain.leastShare", i, 1),
		CompleteCoverage: s.listItem("domain.wholeAt", i, 1),
		SecondPhaseCalls: int(s.listItem("domain.secondStep", i, 0)),
	}
	switch effect := s.values[path+"effect"]; effect {
	case effectIdempotent:
		q.Idempotency = balancer.Idempotent
	case effectDeduplicated:
		q.Idempotency = balancer.Deduplicated
	case effectNonIdempotent:
		q.Idempotency = balancer.NonIdempotent
	default:
		s.fail(path+"effect", "is unknown: %.40q", effect)
	}
	return q
}

// TimeFromMillis converts milliseconds to a balancer.Time. It rounds down, so that no time limit becomes longer; the small
// term compensates for the error of binary fractions at whole tenths of a millisecond. NaN is converted to 0, and values
// beyond 1e14 ms in either direction are limited to that.
func TimeFromMillis(ms float64) balancer.Time {
	if math.IsNaN(ms) {
		return 0
	}
	return balancer.Time(math.Floor(max(-1e14, min(1e14, ms))*float64(balancer.Millisecond) + 1e-6))
}

// Millis converts a balancer.Time to milliseconds.
func Millis(t balancer.Time) float64 { return float64(t) / float64(balancer.Millisecond) }
