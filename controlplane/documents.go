package controlplane

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"oxbowspan/config"
	"oxbowspan/consensus"
	"oxbowspan/rpc"
)

// maxDocumentBytes is how long a document beside the configuration may be: it goes along in every ballot.
const maxDocumentBytes = 256 << 10

// versionHeader tells which version of a note was read.
const versionHeader = "X-Version"

// documentAPI are an operator's, of one document that stands beside the configuration.
type documentAPI struct {
	h         *Controller
	name      string
	validate  func(body []byte) []string                          // all that is wrong with it by itself, a sentence each
	conflicts func(body []byte, beside *consensus.Value) []string // all that is wrong with it beside a value's configuration
}

func (c *documentAPI) replace(w http.ResponseWriter, r *http.Request) {
	body, basedOn, ok := readChangeRequest(w, r, maxDocumentBytes)
	if !ok {
		return
	}
	// What is wrong with it by itself was wrong whenever it was sent: it was never taken.
	if faults := c.validate(body); len(faults) > 0 {
		writeError(w, http.StatusBadRequest, strings.Join(faults, "; "))
		return
	}
	var unfit []string
	call := consensus.DocumentChangeRequest{Name: c.name, BasedOn: basedOn, Digest: digestOf(body), Body: body, Compatible: func(v *consensus.Value) bool {
		unfit = c.conflicts(body, v)
		return len(unfit) == 0
	}}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout(body))
	defer cancel()
	var fate consensus.Outcome
	var at consensus.Version
	_, err := c.h.propose(ctx, func(v *consensus.Value) *consensus.Value {
		var next *consensus.Value
		next, at, fate = call.Evaluate(v)
		return next
	})
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "the core could not agree in time: send it again")
		return
	}
	switch c.h.resolveOutcome(fate, func(l *consensus.History) bool { return l.ContainsDocumentChange(call) }) {
	case consensus.OutcomeCommitted:
		c.h.log.Info().Str("name", c.name).Uint64("version", uint64(basedOn+1)).Msg("notes: acknowledged")
		writeVersion(w, basedOn+1)
	case consensus.OutcomeIncompatible:
		writeError(w, http.StatusBadRequest, strings.Join(unfit, "; "))
	case consensus.OutcomeConflict, consensus.OutcomeVersionTooLow:
		writeError(w, http.StatusPreconditionFailed, "version "+formatVersion(at)+" is in place")
	default:
		writeUnknownOutcome(w, basedOn, at)
	}
}

func (c *documentAPI) read(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), consensusTimeout)
	defer cancel()
	v, err := c.h.propose(ctx, func(v *consensus.Value) *consensus.Value { return v })
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "the core could not make sure of the newest version in time")
		return
	}
	n := v.Document(c.name)
	w.Header().Set(versionHeader, strconv.FormatUint(uint64(n.Version), 10))
	if n.Version == 0 {
		writeError(w, http.StatusNotFound, "there is none yet")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(n.Body)
}

func validateTenants(body []byte) []string {
	t, err := config.ParseTenants(body)
	if err != nil {
		return []string{err.Error()}
	}
	return t.Validate()
}

// tenantConflicts holds tenants against the configuration of the value that a round found, not one that this hive remembers.
func tenantConflicts(body []byte, beside *consensus.Value) []string {
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

func validatePins(body []byte) []string {
	p, err := config.ParsePins(body)
	if err != nil {
		return []string{err.Error()}
	}
	return p.Validate()
}

// noConflicts is for documents that the configuration does not bear on.
func noConflicts([]byte, *consensus.Value) []string { return nil }

// gatewayStatsAPI tell operators what gatherers say of themselves. Each hive tells of those that ask it; whoever wants all asks all.
type gatewayStatsAPI struct{ h *Controller }

// GatewayTenants is what tenants have at one gatherer.
type GatewayTenants struct {
	Gateway        string            `json:"node"`
	Zone           string            `json:"zone"`
	Version        uint64            `json:"version"`
	TenantsVersion uint64            `json:"tenants_version"`
	Connections    []ConnectionUsage `json:"holdings"`
	Waits          []WaitStats       `json:"waits"`
}

// ConnectionUsage is what a tenant has at one server.
type ConnectionUsage struct {
	Tenant    string  `json:"tenant"`
	Service   string  `json:"service"`
	Instance  string  `json:"instance"`
	InUse     uint32  `json:"held"`
	Borrowed  uint32  `json:"lent"`
	Limit     uint32  `json:"part"` // of the gatherer's; 0 = no limit
	Share     float64 `json:"own"`
	WantsMore bool    `json:"wants"`
}

// WaitStats is how long a tenant's parts waited for connections in the last minute.
type WaitStats struct {
	Tenant   string  `json:"tenant"`
	Requests uint64  `json:"requests"`
	Waited   uint64  `json:"waited"`
	Waiting  uint32  `json:"waiting"`
	P50MS    float64 `json:"p50_ms"`
	P99MS    float64 `json:"p99_ms"`
	MaxMS    float64 `json:"most_ms"`
}

func (c *gatewayStatsAPI) tenants(w http.ResponseWriter, _ *http.Request) {
	serveVerified(c.h, w, func() []GatewayTenants {
		out := []GatewayTenants{}
		for _, f := range c.h.gateways.reporting() {
			if f.stats.TenantsVersion > 0 {
				out = append(out, gatewayTenants(f.address, f.zone, f.stats))
			}
		}
		return out
	})
}

// GatewayOutliers is what one gatherer holds of servers that are not simply in.
type GatewayOutliers struct {
	Gateway string           `json:"node"`
	Zone    string           `json:"zone"`
	Servers []OutlierVerdict `json:"servers"`
}

// OutlierVerdict is a gatherer's of one server.
type OutlierVerdict struct {
	Instance     string        `json:"instance"`
	Service      string        `json:"service"`
	State        string        `json:"stance"`
	Reason       string        `json:"why"`
	SinceSeconds float64       `json:"since_s"`
	Factor       float64       `json:"factor"` // so many times slower it is predicted
	Pinned       bool          `json:"pinned,omitempty"`
	Observations []Observation `json:"words,omitempty"`
}

// Observation is what an observer said of a server.
type Observation struct {
	Observer   string  `json:"observer"`
	Kind       string  `json:"kind"`
	Ratio      float64 `json:"ratio,omitempty"`
	AgeSeconds float64 `json:"age_s"`
}

func (c *gatewayStatsAPI) judgement(w http.ResponseWriter, _ *http.Request) {
	serveVerified(c.h, w, func() []GatewayOutliers {
		out := []GatewayOutliers{}
		for _, f := range c.h.gateways.reporting() {
			out = append(out, gatewayOutliers(f.address, f.zone, f.stats))
		}
		return out
	})
}

func gatewayOutliers(address, zone string, m *rpc.GatewayStats) GatewayOutliers {
	n := GatewayOutliers{Gateway: address, Zone: zone, Servers: []OutlierVerdict{}}
	for _, s := range m.Verdicts {
		j := OutlierVerdict{Instance: s.Instance, Service: s.Service, State: s.State, Reason: s.Reason, SinceSeconds: float64(s.SinceMs) / 1000, Factor: float64(s.FactorMilli) / 1000, Pinned: s.Pinned}
		for _, v := range s.Observations {
			j.Observations = append(j.Observations, Observation{strconv.FormatUint(v.Observer, 16), v.Text, float64(v.RatioMilli) / 1000, float64(v.AgeMs) / 1000})
		}
		n.Servers = append(n.Servers, j)
	}
	return n
}

func gatewayTenants(address, zone string, m *rpc.GatewayStats) GatewayTenants {
	n := GatewayTenants{Gateway: address, Zone: zone, Version: m.Version, TenantsVersion: m.TenantsVersion, Connections: []ConnectionUsage{}, Waits: []WaitStats{}}
	for _, h := range m.Connections {
		n.Connections = append(n.Connections, ConnectionUsage{h.Tenant, h.Service, h.Instance, h.InUse, h.Borrowed, h.Limit, float64(h.ShareMilli) / 1000, h.WantsMore})
	}
	for _, t := range m.Waits {
		n.Waits = append(n.Waits, WaitStats{t.Tenant, t.Requests, t.Waited, t.Waiting, float64(t.P50Us) / 1000, float64(t.P99Us) / 1000, float64(t.MaxUs) / 1000})
	}
	return n
}
