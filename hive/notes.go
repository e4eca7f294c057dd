package hive

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"oxbowspan/config"
	"oxbowspan/consensus"
	"oxbowspan/dance"
)

// noteBytes is how long a document beside the configuration may be: it goes along in every ballot.
const noteBytes = 256 << 10

// versionField tells which version of a note was read.
const versionField = "X-Version"

// noteCalls are an operator's, of one document that stands beside the configuration.
type noteCalls struct {
	h     *Hive
	name  string
	check func(body []byte) []string                          // all that is wrong with it by itself, a sentence each
	unfit func(body []byte, beside *consensus.Value) []string // all that is wrong with it beside a value's configuration
}

func (c *noteCalls) replace(w http.ResponseWriter, r *http.Request) {
	body, basedOn, ok := readOrder(w, r, noteBytes)
	if !ok {
		return
	}
	// What is wrong with it by itself was wrong whenever it was sent: it was never taken.
	if faults := c.check(body); len(faults) > 0 {
		refuse(w, http.StatusBadRequest, strings.Join(faults, "; "))
		return
	}
	var unfit []string
	call := consensus.DocumentChangeRequest{Name: c.name, BasedOn: basedOn, Digest: digestOf(body), Body: body, Compatible: func(v *consensus.Value) bool {
		unfit = c.unfit(body, v)
		return len(unfit) == 0
	}}
	ctx, cancel := context.WithTimeout(r.Context(), orderLimit(body))
	defer cancel()
	var fate consensus.Outcome
	var at consensus.Version
	_, err := c.h.propose(ctx, func(v *consensus.Value) *consensus.Value {
		var next *consensus.Value
		next, at, fate = call.Evaluate(v)
		return next
	})
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, "the core could not agree in time: send it again")
		return
	}
	switch c.h.recallFate(fate, func(l *consensus.History) bool { return l.ContainsDocumentChange(call) }) {
	case consensus.OutcomeCommitted:
		c.h.log.Info().Str("name", c.name).Uint64("version", uint64(basedOn+1)).Msg("notes: acknowledged")
		acknowledge(w, basedOn+1)
	case consensus.OutcomeIncompatible:
		refuse(w, http.StatusBadRequest, strings.Join(unfit, "; "))
	case consensus.OutcomeConflict, consensus.OutcomeVersionTooLow:
		refuse(w, http.StatusPreconditionFailed, "version "+text(at)+" is in place")
	default:
		refuseUnclear(w, basedOn, at)
	}
}

func (c *noteCalls) read(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), agreeLimit)
	defer cancel()
	v, err := c.h.propose(ctx, func(v *consensus.Value) *consensus.Value { return v })
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, "the core could not make sure of the newest version in time")
		return
	}
	n := v.Document(c.name)
	w.Header().Set(versionField, strconv.FormatUint(uint64(n.Version), 10))
	if n.Version == 0 {
		refuse(w, http.StatusNotFound, "there is none yet")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(n.Body)
}

func checkTenants(body []byte) []string {
	t, err := config.ParseTenants(body)
	if err != nil {
		return []string{err.Error()}
	}
	return t.Validate()
}

// unfitTenants holds tenants against the configuration of the value that a round found, not one that this hive remembers.
func unfitTenants(body []byte, beside *consensus.Value) []string {
	if beside.Digest == "" {
		return nil
	}
	t, err := config.ParseTenants(body)
	if err != nil {
		return []string{err.Error()}
	}
	c, err := config.Parse(beside.Body)
	if err != nil {
		return nil
	}
	return t.Conflicts(c)
}

func checkPins(body []byte) []string {
	p, err := config.ParsePins(body)
	if err != nil {
		return []string{err.Error()}
	}
	return p.Validate()
}

// fitsAny is for documents that the configuration does not bear on.
func fitsAny([]byte, *consensus.Value) []string { return nil }

// figureCalls tell operators what gatherers say of themselves. Each hive tells of those that ask it; whoever wants all asks all.
type figureCalls struct{ h *Hive }

// NodeTenants is what tenants have at one gatherer.
type NodeTenants struct {
	Node           string       `json:"node"`
	Zone           string       `json:"zone"`
	Version        uint64       `json:"version"`
	TenantsVersion uint64       `json:"tenants_version"`
	Holdings       []Holding    `json:"holdings"`
	Waits          []TenantWait `json:"waits"`
}

// Holding is what a tenant has at one server.
type Holding struct {
	Tenant   string  `json:"tenant"`
	Service  string  `json:"service"`
	Instance string  `json:"instance"`
	Held     uint32  `json:"held"`
	Lent     uint32  `json:"lent"`
	Part     uint32  `json:"part"` // of the gatherer's; 0 = no limit
	Own      float64 `json:"own"`
	Wants    bool    `json:"wants"`
}

// TenantWait is how long a tenant's parts waited for connections in the last minute.
type TenantWait struct {
	Tenant   string  `json:"tenant"`
	Requests uint64  `json:"requests"`
	Waited   uint64  `json:"waited"`
	Waiting  uint32  `json:"waiting"`
	P50MS    float64 `json:"p50_ms"`
	P99MS    float64 `json:"p99_ms"`
	MostMS   float64 `json:"most_ms"`
}

func (c *figureCalls) tenants(w http.ResponseWriter, _ *http.Request) {
	tellCurrent(c.h, w, func() []NodeTenants {
		out := []NodeTenants{}
		for _, f := range c.h.tellers() {
			if f.figures.TenantsVersion > 0 {
				out = append(out, nodeTenants(f.address, f.zone, f.figures))
			}
		}
		return out
	})
}

// NodeJudgement is what one gatherer holds of servers that are not simply in.
type NodeJudgement struct {
	Node    string      `json:"node"`
	Zone    string      `json:"zone"`
	Servers []Judgement `json:"servers"`
}

// Judgement is a gatherer's of one server.
type Judgement struct {
	Instance string  `json:"instance"`
	Service  string  `json:"service"`
	Stance   string  `json:"stance"`
	Why      string  `json:"why"`
	SinceS   float64 `json:"since_s"`
	Factor   float64 `json:"factor"` // so many times slower it is predicted
	Pinned   bool    `json:"pinned,omitempty"`
	Words    []Word  `json:"words,omitempty"`
}

// Word is what an observer said of a server.
type Word struct {
	Observer string  `json:"observer"`
	Kind     string  `json:"kind"`
	Ratio    float64 `json:"ratio,omitempty"`
	AgeS     float64 `json:"age_s"`
}

func (c *figureCalls) judgement(w http.ResponseWriter, _ *http.Request) {
	tellCurrent(c.h, w, func() []NodeJudgement {
		out := []NodeJudgement{}
		for _, f := range c.h.tellers() {
			out = append(out, nodeJudgement(f.address, f.zone, f.figures))
		}
		return out
	})
}

// tellers are the gatherers that ask this hive and have told of themselves.
func (h *Hive) tellers() []*forager {
	var out []*forager
	for _, f := range h.foragers {
		if f.figures != nil && f.here(h.now()) {
			out = append(out, f)
		}
	}
	return out
}

func nodeJudgement(address, zone string, m *dance.Figures) NodeJudgement {
	n := NodeJudgement{Node: address, Zone: zone, Servers: []Judgement{}}
	for _, s := range m.Stances {
		j := Judgement{Instance: s.Instance, Service: s.Service, Stance: s.Stance, Why: s.Why, SinceS: float64(s.SinceMs) / 1000, Factor: float64(s.FactorMilli) / 1000, Pinned: s.Pinned}
		for _, v := range s.Words {
			j.Words = append(j.Words, Word{strconv.FormatUint(v.Observer, 16), v.Text, float64(v.RatioMilli) / 1000, float64(v.AgeMs) / 1000})
		}
		n.Servers = append(n.Servers, j)
	}
	return n
}

func nodeTenants(address, zone string, m *dance.Figures) NodeTenants {
	n := NodeTenants{Node: address, Zone: zone, Version: m.Version, TenantsVersion: m.TenantsVersion, Holdings: []Holding{}, Waits: []TenantWait{}}
	for _, h := range m.Figures {
		n.Holdings = append(n.Holdings, Holding{h.Tenant, h.Service, h.Instance, h.Held, h.Lent, h.Part, float64(h.OwnMilli) / 1000, h.Wants})
	}
	for _, t := range m.Waits {
		n.Waits = append(n.Waits, TenantWait{t.Tenant, t.Requests, t.Waited, t.Waiting, float64(t.P50Us) / 1000, float64(t.P99Us) / 1000, float64(t.MostUs) / 1000})
	}
	return n
}
