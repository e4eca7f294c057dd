// Package balancerconfig turns a deployment's settings into the module's Facts and the figures of the network code.
// The simulator's pairs and the configuration's JSON meet in one form and are read by one path.
package balancerconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"

	"oxbowspan/balancer"
)

// settings are the path=value lines of a hello. The first fault met in reading them is kept.
type settings struct {
	values map[string]string
	err    error
}

func parseSettings(text string) *settings {
	p := &settings{values: map[string]string{}}
	for _, line := range strings.Split(text, "\n") {
		if path, value, ok := strings.Cut(strings.TrimRight(line, "\r"), "="); ok {
			p.values[path] = value
		}
	}
	return p
}

func (p *settings) fail(path, what string) {
	if p.err == nil {
		p.err = fmt.Errorf("setting %s %s", path, what)
	}
}

// number reads a setting that may be absent.
func (p *settings) number(path string, absent float64) float64 {
	text, ok := p.values[path]
	if !ok || text == "" {
		return absent
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		p.fail(path, fmt.Sprintf("is not a number: %.40q", text))
		return absent
	}
	return v
}

// required reads a setting that a decision cannot do without.
func (p *settings) required(path string) float64 {
	if p.values[path] == "" {
		p.fail(path, "is missing")
	}
	return p.number(path, 0)
}

func (p *settings) count(path string, most int) int {
	v := p.number(path, 0)
	if v < 0 || v > float64(most) {
		p.fail(path, fmt.Sprintf("is out of range: %v", v))
		return 0
	}
	return int(v)
}

func (p *settings) duration(path string) balancer.Time { return TimeFromMillis(p.number(path, 0)) }

func (p *settings) flag(path string) bool {
	v := p.values[path]
	return v == "true" || v == "1"
}

// listItem reads the n-th value of a comma-joined list.
func (p *settings) listItem(path string, n int, absent float64) float64 {
	list := strings.Split(p.values[path], ",")
	if n >= len(list) || list[n] == "" {
		return absent
	}
	v, err := strconv.ParseFloat(list[n], 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		p.fail(path, fmt.Sprintf("holds no number at place %d: %.40q", n, list[n]))
		return absent
	}
	return v
}

// The most entries that a list of the settings may claim, so that a bad count costs nothing.
const maxEntries = 4096

// Deployment is what the settings say.
type Deployment struct {
	Balancer                                      balancer.Config
	LoadReportFields                              []string // names of a load report's figures
	LoadReportsByHealthCheck                      bool
	QueryTypes, Customers, Zones                  []string // names on the wire; the place is the module's number
	ConnectTimeout, IdleTimeout, MaxClientTimeout balancer.Time
	StreamsPerConn                                int  // parts that one server connection carries at once
	CallsPerFrame                                 int  // parts of one frame
	AllowPeers                                    bool // gatherers may talk to each other
	MaxPending                                    int  // searches and parts held at once; 0 = not stated
}

// FromPairs reads path=value lines, as the simulator gives them.
func FromPairs(text string, seed uint64) (Deployment, error) {
	return parseSettings(text).deployment(seed)
}

// FromJSON reads the nested object of a configuration.
func FromJSON(raw []byte, seed uint64) (Deployment, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var v map[string]any
	if err := d.Decode(&v); err != nil {
		return Deployment{}, fmt.Errorf("settings are not a JSON object: %w", err)
	}
	p := &settings{values: map[string]string{}}
	p.flatten("", v)
	return p.deployment(seed)
}

// flatten writes a JSON value as the pairs it has on the simulator's wire.
func (p *settings) flatten(path string, v any) {
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
		p.values[path], p.values[path+".count"] = strings.Join(plain, ","), strconv.Itoa(len(v))
	case nil:
	default:
		p.values[path] = scalar(v)
	}
}

func scalar(v any) string {
	if v == nil {
		return ""
	}
	return fmt.Sprint(v)
}

func (p *settings) deployment(seed uint64) (Deployment, error) {
	f := balancer.Config{
		Seed:              seed,
		Instances:         max(1, p.count("instances", math.MaxInt32)),
		ClockResolution:   p.duration("tick"),
		Cells:             p.count("domain.positions", math.MaxUint16+1),
		ReplicationFactor: max(1, p.count("domain.reach", math.MaxUint16)),
		Shards:            p.count("domain.slices", math.MaxInt32),
		CallCost:          max(0, p.number("domain.callCost", 0)),
		MaxAttempts:       max(1, p.count("limits.attemptsCap", math.MaxUint16)),
		AllowCancel:       p.flag("limits.cancel"),
		AllowHealthChecks: p.flag("limits.probes"),
		AllowHedging:      p.flag("limits.secondCopies"),
		RetriesMarked:     p.flag("clients.marksRetry"),
		ListOnRequest:     p.values["membershipMode"] == "on_request",
		MaxListAge:        p.duration("guarantees.askWithin"),
		DrainGrace:        p.duration("guarantees.stopSendingWithin"),
		SlowStartShare:    p.number("guarantees.startCapacity", 0),
		SlowStartDuration: p.duration("guarantees.cold"),
		OverloadMultiple:  p.number("guarantees.fallMultiple", 0),
		OverloadWindow:    p.duration("guarantees.tipAfter"),
		HasRetryBudget:    p.values["guarantees.resendRatio"] != "",
		RetryBudgetBase:   p.number("guarantees.budgetFree", 0),
		RetryBudgetRatio:  p.number("guarantees.resendRatio", 0),
		RetryBudgetWindow: p.duration("guarantees.budgetSpan"),
		OverQuotaValue:    p.number("overShareWorth", 1),
	}
	p.required("domain.positions")
	p.required("domain.slices")
	if f.Cells < 1 || f.Shards < 1 {
		p.fail("domain.positions", "or domain.slices is below 1")
	}
	if p.flag("limits.retryAfter") {
		f.MaxRetryAfter = p.duration("limits.maxRetryAfter")
	}
	p.required("classes.count")
	for i := range p.count("classes.count", maxEntries) {
		at := fmt.Sprintf("classes.%d.", i)
		q := balancer.QueryTypeConfig{
			LatencyTarget:    TimeFromMillis(p.required(at + "slo")),
			ClientTimeout:    TimeFromMillis(p.required(at + "hardLimit")),
			DedupWindow:      p.duration(at + "memorySpan"),
			LateValue:        p.number(at+"lateWorth", 0),
			PartialValue:     p.listItem("domain.shortWorth", i, 1),
			MinCoverage:      p.listItem("domain.leastShare", i, 1),
			CompleteCoverage: p.listItem("domain.wholeAt", i, 1),
			SecondPhaseCalls: int(p.listItem("domain.secondStep", i, 0)),
		}
		switch effect := p.values[at+"effect"]; effect {
		case "free":
			q.Idempotency = balancer.Idempotent
		case "guarded":
			q.Idempotency = balancer.Deduplicated
		case "single_shot":
			q.Idempotency = balancer.NonIdempotent
		default:
			p.fail(at+"effect", fmt.Sprintf("is not known: %.40q", effect))
		}
		f.QueryTypes = append(f.QueryTypes, q)
	}
	for i := range p.count("tenants.count", maxEntries) {
		f.Customers = append(f.Customers, balancer.CustomerConfig{
			QuotaPerSecond: p.number(fmt.Sprintf("tenants.%d.quotaPerS", i), 0),
		})
	}
	d := Deployment{Balancer: f, LoadReportsByHealthCheck: p.values["feedback.how"] == "probe",
		ConnectTimeout: p.duration("limits.dialTimeout"), IdleTimeout: p.duration("limits.idleClose"),
		StreamsPerConn: p.count("limits.maxStreams", math.MaxUint16), CallsPerFrame: p.count("domain.perCall", math.MaxUint16),
		MaxPending: p.count("limits.mostHeld", math.MaxInt32), AllowPeers: p.flag("limits.peers")}
	for i, q := range f.QueryTypes {
		d.QueryTypes = append(d.QueryTypes, p.values[fmt.Sprintf("classes.%d.name", i)])
		d.MaxClientTimeout = max(d.MaxClientTimeout, q.ClientTimeout)
	}
	for i := range f.Customers {
		d.Customers = append(d.Customers, p.values[fmt.Sprintf("tenants.%d.name", i)])
	}
	if p.values["zones"] != "" {
		d.Zones = strings.Split(p.values["zones"], ",")
	}
	if how := p.values["feedback.how"]; how != "none" && p.values["feedback.names"] != "" {
		d.LoadReportFields = strings.Split(p.values["feedback.names"], ",")
	}
	return d, p.err
}

// TimeFromMillis turns milliseconds into a Time. It rounds down, so that no limit grows on the way. The small term undoes the binary fraction's
// loss on whole tenths.
func TimeFromMillis(ms float64) balancer.Time {
	if math.IsNaN(ms) {
		return 0
	}
	return balancer.Time(math.Floor(max(-1e14, min(1e14, ms))*float64(balancer.Millisecond) + 1e-6))
}

// Millis turns a Time into milliseconds.
func Millis(t balancer.Time) float64 { return float64(t) / float64(balancer.Millisecond) }
