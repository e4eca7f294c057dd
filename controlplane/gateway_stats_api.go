package controlplane

import (
	"net/http"
	"strconv"

	"oxbowspan/rpc"
)

// GatewayTenants is what tenants use at one gateway.
type GatewayTenants struct {
	Gateway        string            `json:"node"` // its address
	Zone           string            `json:"zone"`
	Version        uint64            `json:"version"`         // of the configuration in force there
	TenantsVersion uint64            `json:"tenants_version"` // of the tenants in force there
	Connections    []ConnectionUsage `json:"holdings"`
	Waits          []WaitStats       `json:"waits"`
}

// ConnectionUsage is a tenant's use of one server's connections.
type ConnectionUsage struct {
	Tenant    string  `json:"tenant"`
	Service   string  `json:"service"`
	Instance  string  `json:"instance"`
	InUse     uint32  `json:"held"`  // connections at present
	Borrowed  uint32  `json:"lent"`  // of these, beyond the tenant's share
	Limit     uint32  `json:"part"`  // of the gateway at this server; 0 = no limit
	Share     float64 `json:"own"`   // the tenant's share of the limit, in connections
	WantsMore bool    `json:"wants"` // it was denied another
}

// WaitStats is how long a tenant's shard calls waited for connections in the last minute.
type WaitStats struct {
	Tenant   string  `json:"tenant"`
	Requests uint64  `json:"requests"`
	Waited   uint64  `json:"waited"`  // of the requests
	Waiting  uint32  `json:"waiting"` // at present
	P50MS    float64 `json:"p50_ms"`
	P99MS    float64 `json:"p99_ms"`
	MaxMS    float64 `json:"most_ms"`
}

// GatewayOutliers is one gateway's verdicts on servers that are not simply healthy.
type GatewayOutliers struct {
	Gateway string           `json:"node"` // its address
	Zone    string           `json:"zone"`
	Servers []OutlierVerdict `json:"servers"`
}

// OutlierVerdict is a gateway's verdict on one server.
type OutlierVerdict struct {
	Instance     string        `json:"instance"`
	Service      string        `json:"service"`
	State        string        `json:"stance"`
	Reason       string        `json:"why"`
	SinceSeconds float64       `json:"since_s"`
	Factor       float64       `json:"factor"` // by which it is predicted to be slower than others
	Pinned       bool          `json:"pinned,omitempty"`
	Observations []Observation `json:"words,omitempty"`
}

// Observation is what one gateway observed of a server.
type Observation struct {
	Observer   string  `json:"observer"` // the gateway's incarnation, in hexadecimal
	Kind       string  `json:"kind"`
	Ratio      float64 `json:"ratio,omitempty"` // of its response times to those expected
	AgeSeconds float64 `json:"age_s"`
}

// gatewayStatsAPI shows operators what gateways report of themselves. Each controller has the reports of the gateways that poll
// it; an operator who wants all asks all controllers.
type gatewayStatsAPI struct {
	loop     *eventLoop
	clock    *steadyClock
	verifier *contactVerifier
	gateways *gatewayDirectory
}

func (a *gatewayStatsAPI) tenants(w http.ResponseWriter, _ *http.Request) {
	serveVerified(a.loop, a.clock, a.verifier, w, func() []GatewayTenants {
		out := []GatewayTenants{}
		for _, g := range a.gateways.reporting() {
			if g.stats.TenantsVersion > 0 {
				out = append(out, gatewayTenants(g.address, g.zone, g.stats))
			}
		}
		return out
	})
}

func (a *gatewayStatsAPI) outliers(w http.ResponseWriter, _ *http.Request) {
	serveVerified(a.loop, a.clock, a.verifier, w, func() []GatewayOutliers {
		out := []GatewayOutliers{}
		for _, g := range a.gateways.reporting() {
			out = append(out, gatewayOutliers(g.address, g.zone, g.stats))
		}
		return out
	})
}

// thousandths converts a number that a message carries in thousandths; of milliseconds it makes seconds.
func thousandths[T uint32 | uint64](n T) float64 { return float64(n) / 1000 }

func gatewayTenants(address, zone string, stats *rpc.GatewayStats) GatewayTenants {
	out := GatewayTenants{Gateway: address, Zone: zone, Version: stats.Version, TenantsVersion: stats.TenantsVersion,
		Connections: []ConnectionUsage{}, Waits: []WaitStats{}}
	for _, c := range stats.Connections {
		out.Connections = append(out.Connections, ConnectionUsage{
			Tenant:    c.Tenant,
			Service:   c.Service,
			Instance:  c.Instance,
			InUse:     c.InUse,
			Borrowed:  c.Borrowed,
			Limit:     c.Limit,
			Share:     thousandths(c.ShareMilli),
			WantsMore: c.WantsMore,
		})
	}
	for _, t := range stats.Waits {
		out.Waits = append(out.Waits, WaitStats{
			Tenant:   t.Tenant,
			Requests: t.Requests,
			Waited:   t.Waited,
			Waiting:  t.Waiting,
			P50MS:    thousandths(t.P50Us),
			P99MS:    thousandths(t.P99Us),
			MaxMS:    thousandths(t.MaxUs),
		})
	}
	return out
}

func gatewayOutliers(address, zone string, stats *rpc.GatewayStats) GatewayOutliers {
	out := GatewayOutliers{Gateway: address, Zone: zone, Servers: []OutlierVerdict{}}
	for _, v := range stats.Verdicts {
		verdict := OutlierVerdict{
			Instance:     v.Instance,
			Service:      v.Service,
			State:        v.State,
			Reason:       v.Reason,
			SinceSeconds: thousandths(v.SinceMs),
			Factor:       thousandths(v.FactorMilli),
			Pinned:       v.Pinned,
		}
		for _, o := range v.Observations {
			verdict.Observations = append(verdict.Observations, Observation{
				Observer:   strconv.FormatUint(o.Observer, 16),
				Kind:       o.Text,
				Ratio:      thousandths(o.RatioMilli),
				AgeSeconds: thousandths(o.AgeMs),
			})
		}
		out.Servers = append(out.Servers, verdict)
	}
	return out
}
