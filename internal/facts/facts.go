// Package facts turns a deployment's settings into the module's Facts and the figures of the network code.
// The simulator's pairs and the configuration's JSON meet in one form and are read by one path.
package facts

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"

	"oxbowspan/balancer"
)

// pairs are the path=value lines of a hello. The first fault met in reading them is kept.
type pairs struct {
	m   map[string]string
	err error
}

func parsePairs(text string) *pairs {
	p := &pairs{m: map[string]string{}}
	for _, line := range strings.Split(text, "\n") {
		if path, value, ok := strings.Cut(strings.TrimRight(line, "\r"), "="); ok {
			p.m[path] = value
		}
	}
	return p
}

func (p *pairs) fault(path, what string) {
	if p.err == nil {
		p.err = fmt.Errorf("setting %s %s", path, what)
	}
}

// number reads a setting that may be absent.
func (p *pairs) number(path string, absent float64) float64 {
	text, ok := p.m[path]
	if !ok || text == "" {
		return absent
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		p.fault(path, fmt.Sprintf("is not a number: %.40q", text))
		return absent
	}
	return v
}

// need reads a setting that a decision cannot do without.
func (p *pairs) need(path string) float64 {
	if p.m[path] == "" {
		p.fault(path, "is missing")
	}
	return p.number(path, 0)
}

func (p *pairs) count(path string, most int) int {
	v := p.number(path, 0)
	if v < 0 || v > float64(most) {
		p.fault(path, fmt.Sprintf("is out of range: %v", v))
		return 0
	}
	return int(v)
}

func (p *pairs) span(path string) balancer.Time { return ToTime(p.number(path, 0)) }

func (p *pairs) flag(path string) bool {
	v := p.m[path]
	return v == "true" || v == "1"
}

// nth reads the n-th value of a comma-joined list.
func (p *pairs) nth(path string, n int, absent float64) float64 {
	list := strings.Split(p.m[path], ",")
	if n >= len(list) || list[n] == "" {
		return absent
	}
	v, err := strconv.ParseFloat(list[n], 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		p.fault(path, fmt.Sprintf("holds no number at place %d: %.40q", n, list[n]))
		return absent
	}
	return v
}

// The most entries that a list of the settings may claim, so that a bad count costs nothing.
const mostEntries = 4096

// Deployment is what the settings say.
type Deployment struct {
	Facts                                     balancer.Config
	Reports                                   []string // names of a load report's figures
	ReportsByProbe                            bool
	QueryTypes, Customers, Zones              []string // names on the wire; the place is the module's number
	ConnectTimeout, IdleClose, LongestTimeout balancer.Time
	Streams                                   int  // parts that one server connection carries at once
	PartsPerCall                              int  // parts of one frame
	Peers                                     bool // gatherers may talk to each other
	MostHeld                                  int  // searches and parts held at once; 0 = not stated
}

// FromPairs reads path=value lines, as the simulator gives them.
func FromPairs(text string, seed uint64) (Deployment, error) {
	return parsePairs(text).deployment(seed)
}

// FromJSON reads the nested object of a configuration.
func FromJSON(raw []byte, seed uint64) (Deployment, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var v map[string]any
	if err := d.Decode(&v); err != nil {
		return Deployment{}, fmt.Errorf("settings are not a JSON object: %w", err)
	}
	p := &pairs{m: map[string]string{}}
	p.flatten("", v)
	return p.deployment(seed)
}

// flatten writes a JSON value as the pairs it has on the simulator's wire.
func (p *pairs) flatten(path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for name, inner := range v {
			if path != "" {
				name = path + "." + name
			}
			p.flatten(name, inner)
		}
	case []any:
		var plain []string
		for i, inner := range v {
			if _, nested := inner.(map[string]any); nested {
				p.flatten(fmt.Sprintf("%s.%d", path, i), inner)
			} else {
				plain = append(plain, strings.ReplaceAll(scalar(inner), ",", "_"))
			}
		}
		p.m[path], p.m[path+".count"] = strings.Join(plain, ","), strconv.Itoa(len(v))
	case nil:
	default:
		p.m[path] = scalar(v)
	}
}

func scalar(v any) string {
	if v == nil {
		return ""
	}
	return fmt.Sprint(v)
}

func (p *pairs) deployment(seed uint64) (Deployment, error) {
	f := balancer.Config{
		Seed:              seed,
		Instances:         max(1, p.count("instances", math.MaxInt32)),
		ClockResolution:   p.span("tick"),
		Cells:             p.count("domain.positions", math.MaxUint16+1),
		ReplicationFactor: max(1, p.count("domain.reach", math.MaxUint16)),
		Shards:            p.count("domain.slices", math.MaxInt32),
		CallCost:          max(0, p.number("domain.callCost", 0)),
		MaxAttempts:       max(1, p.count("limits.attemptsCap", math.MaxUint16)),
		AllowCancel:       p.flag("limits.cancel"),
		AllowHealthChecks: p.flag("limits.probes"),
		AllowHedging:      p.flag("limits.secondCopies"),
		RetriesMarked:     p.flag("clients.marksRetry"),
		ListOnRequest:     p.m["membershipMode"] == "on_request",
		MaxListAge:        p.span("guarantees.askWithin"),
		DrainGrace:        p.span("guarantees.stopSendingWithin"),
		SlowStartShare:    p.number("guarantees.startCapacity", 0),
		SlowStartDuration: p.span("guarantees.cold"),
		OverloadMultiple:  p.number("guarantees.fallMultiple", 0),
		OverloadWindow:    p.span("guarantees.tipAfter"),
		HasRetryBudget:    p.m["guarantees.resendRatio"] != "",
		RetryBudgetBase:   p.number("guarantees.budgetFree", 0),
		RetryBudgetRatio:  p.number("guarantees.resendRatio", 0),
		RetryBudgetWindow: p.span("guarantees.budgetSpan"),
		OverQuotaValue:    p.number("overShareWorth", 1),
	}
	p.need("domain.positions")
	p.need("domain.slices")
	if f.Cells < 1 || f.Shards < 1 {
		p.fault("domain.positions", "or domain.slices is below 1")
	}
	if p.flag("limits.retryAfter") {
		f.MaxRetryAfter = p.span("limits.maxRetryAfter")
	}
	p.need("classes.count")
	for i := range p.count("classes.count", mostEntries) {
		at := fmt.Sprintf("classes.%d.", i)
		q := balancer.QueryTypeConfig{
			LatencyTarget:    ToTime(p.need(at + "slo")),
			ClientTimeout:    ToTime(p.need(at + "hardLimit")),
			DedupWindow:      p.span(at + "memorySpan"),
			LateValue:        p.number(at+"lateWorth", 0),
			PartialValue:     p.nth("domain.shortWorth", i, 1),
			MinCoverage:      p.nth("domain.leastShare", i, 1),
			CompleteCoverage: p.nth("domain.wholeAt", i, 1),
			SecondPhaseCalls: int(p.nth("domain.secondStep", i, 0)),
		}
		switch effect := p.m[at+"effect"]; effect {
		case "free":
			q.Idempotency = balancer.Idempotent
		case "guarded":
			q.Idempotency = balancer.Deduplicated
		case "single_shot":
			q.Idempotency = balancer.NonIdempotent
		default:
			p.fault(at+"effect", fmt.Sprintf("is not known: %.40q", effect))
		}
		f.QueryTypes = append(f.QueryTypes, q)
	}
	for i := range p.count("tenants.count", mostEntries) {
		f.Customers = append(f.Customers, balancer.CustomerConfig{
			QuotaPerSecond: p.number(fmt.Sprintf("tenants.%d.quotaPerS", i), 0),
		})
	}
	d := Deployment{Facts: f, ReportsByProbe: p.m["feedback.how"] == "probe",
		ConnectTimeout: p.span("limits.dialTimeout"), IdleClose: p.span("limits.idleClose"),
		Streams: p.count("limits.maxStreams", math.MaxUint16), PartsPerCall: p.count("domain.perCall", math.MaxUint16),
		MostHeld: p.count("limits.mostHeld", math.MaxInt32), Peers: p.flag("limits.peers")}
	for i, q := range f.QueryTypes {
		d.QueryTypes = append(d.QueryTypes, p.m[fmt.Sprintf("classes.%d.name", i)])
		d.LongestTimeout = max(d.LongestTimeout, q.ClientTimeout)
	}
	for i := range f.Customers {
		d.Customers = append(d.Customers, p.m[fmt.Sprintf("tenants.%d.name", i)])
	}
	if p.m["zones"] != "" {
		d.Zones = strings.Split(p.m["zones"], ",")
	}
	if how := p.m["feedback.how"]; how != "none" && p.m["feedback.names"] != "" {
		d.Reports = strings.Split(p.m["feedback.names"], ",")
	}
	return d, p.err
}

// ToTime turns milliseconds into a Time. It rounds down, so that no limit grows on the way. The small term undoes the binary fraction's
// loss on whole tenths.
func ToTime(ms float64) balancer.Time {
	if math.IsNaN(ms) {
		return 0
	}
	return balancer.Time(math.Floor(max(-1e14, min(1e14, ms))*float64(balancer.Millisecond) + 1e-6))
}

// ToMillis turns a Time into milliseconds.
func ToMillis(t balancer.Time) float64 { return float64(t) / float64(balancer.Millisecond) }
