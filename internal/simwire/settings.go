package simwire

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"oxbowspan/brain"
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

func (p *pairs) span(path string) brain.Time { return toTime(p.number(path, 0)) }

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

// parseFacts turns the settings into the module's Facts and names the figures of a load report.
func parseFacts(text string, seed uint64) (brain.Facts, []string, error) {
	p := parsePairs(text)
	f := brain.Facts{
		Seed:            seed,
		Gatherers:       max(1, p.count("instances", math.MaxInt32)),
		Tick:            p.span("tick"),
		Cells:           p.count("domain.positions", math.MaxUint16+1),
		Reach:           max(1, p.count("domain.reach", math.MaxUint16)),
		Shards:          p.count("domain.slices", math.MaxInt32),
		MostSubRequests: max(1, p.count("limits.attemptsCap", math.MaxUint16)),
		MayCancel:       p.flag("limits.cancel"),
		MayCopy:         p.flag("limits.secondCopies"),
		ListOnRequest:   p.m["membershipMode"] == "on_request",
		AskWithin:       p.span("guarantees.askWithin"),
		DrainGrace:      p.span("guarantees.stopSendingWithin"),
		ColdShare:       p.number("guarantees.startCapacity", 0),
		ColdFor:         p.span("guarantees.cold"),
		FallMultiple:    p.number("guarantees.fallMultiple", 0),
		FallWithin:      p.span("guarantees.tipAfter"),
		HasBudget:       p.m["guarantees.resendRatio"] != "",
		BudgetFree:      p.number("guarantees.budgetFree", 0),
		BudgetShare:     p.number("guarantees.resendRatio", 0),
		BudgetSpan:      p.span("guarantees.budgetSpan"),
		OverShareFactor: p.number("overShareWorth", 1),
	}
	p.need("domain.positions")
	p.need("domain.slices")
	if f.Cells < 1 || f.Shards < 1 {
		p.fault("domain.positions", "or domain.slices is below 1")
	}
	if p.flag("limits.retryAfter") {
		f.AdviseRetry = p.span("limits.maxRetryAfter")
	}
	p.need("classes.count")
	for i := range p.count("classes.count", mostEntries) {
		at := fmt.Sprintf("classes.%d.", i)
		q := brain.QueryTypeFacts{
			LatencyTarget: toTime(p.need(at + "slo")),
			ClientTimeout: toTime(p.need(at + "hardLimit")),
			Window:        p.span(at + "memorySpan"),
			LateValue:     p.number(at+"lateWorth", 0),
			ShortValue:    p.nth("domain.shortWorth", i, 1),
			LeastShare:    p.nth("domain.leastShare", i, 1),
			WholeAt:       p.nth("domain.wholeAt", i, 1),
			SecondStep:    int(p.nth("domain.secondStep", i, 0)),
		}
		switch effect := p.m[at+"effect"]; effect {
		case "free":
			q.Effect = brain.Idempotent
		case "guarded":
			q.Effect = brain.Tokened
		case "single_shot":
			q.Effect = brain.NonIdempotent
		default:
			p.fault(at+"effect", fmt.Sprintf("is not known: %.40q", effect))
		}
		f.QueryTypes = append(f.QueryTypes, q)
	}
	for i := range p.count("tenants.count", mostEntries) {
		f.Customers = append(f.Customers, brain.CustomerFacts{
			SharePerSecond: p.number(fmt.Sprintf("tenants.%d.quotaPerS", i), 0),
		})
	}
	var names []string
	if how := p.m["feedback.how"]; how != "none" && p.m["feedback.names"] != "" {
		names = strings.Split(p.m["feedback.names"], ",")
	}
	return f, names, p.err
}

// toTime rounds down, so that no limit grows on the way. The small term undoes the binary fraction's
// loss on whole tenths.
func toTime(ms float64) brain.Time {
	if math.IsNaN(ms) {
		return 0
	}
	return brain.Time(math.Floor(max(-1e14, min(1e14, ms))*float64(brain.Millisecond) + 1e-6))
}

func toMillis(t brain.Time) float64 { return float64(t) / float64(brain.Millisecond) }
