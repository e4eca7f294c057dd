package controlplane

import (
	"net/http"
	"strconv"

	"oxbowspan/controlapi"
	"oxbowspan/rpc"
)

// gatewayStatsAPI shows operators the statistics that gateways report about themselves. Each controller has only the reports of the
// gateways that poll it; operators query all controllers to get all reports.
type gatewayStatsAPI struct {
	loop     *eventLoop
	clock    *monotonicClock
	verifier *contactVerifier
	gateways *gatewayDirectory
}

func (a *gatewayStatsAPI) tenants(w http.ResponseWriter, _ *http.Request) {
	serveVerified(a.loop, a.clock, a.verifier, w, func() []controlapi.GatewayTenants {
		out := []controlapi.GatewayTenants{}
		for _, g := range a.gateways.reporting() {
			if g.stats.TenantsVersion > 0 {
				out = append(out, gatewayTenants(g.address, g.zone, g.stats))
			}
		}
		return out
	})
}

func (a *gatewayStatsAPI) outliers(w http.ResponseWriter, _ *http.Request) {
	serveVerified(a.loop, a.clock, a.verifier, w, func() []controlapi.GatewayOutliers {
		out := []controlapi.GatewayOutliers{}
		for _, g := range a.gateways.reporting() {
			out = append(out, gatewayOutliers(g.address, g.zone, g.stats))
		}
		return out
	})
}

// fromThousandths converts a number that a message carries in thousandths of its unit, such as milliseconds to seconds.
func fromThousandths[T uint32 | uint64](n T) float64 { return float64(n) / 1000 }

func gatewayTenants(address, zone string, stats *rpc.GatewayStats) controlapi.GatewayTenants {
	out := controlapi.GatewayTenants{Gateway: address, Zone: zone, Version: stats.Version, TenantsVersion: stats.TenantsVersion,
		Connections: []controlapi.ConnectionUsage{}, Waits: []controlapi.WaitStats{}}
	for _, c := range stats.Connections {
		out.Connections = append(out.Connections, controlapi.ConnectionUsage{
			Tenant:    c.Tenant,
			Service:   c.Service,
			Instance:  c.Instance,
			InUse:     c.InUse,
			Borrowed:  c.Borrowed,
			Limit:     c.Limit,
			Share:     fromThousandths(c.ShareMilli),
			WantsMore: c.WantsMore,
		})
	}
	for _, t := range stats.Waits {
		out.Waits = append(out.Waits, controlapi.WaitStats{
			Tenant:   t.Tenant,
			Requests: t.Requests,
			Waited:   t.Waited,
			Waiting:  t.Waiting,
			P50MS:    fromThousandths(t.P50Us),
			P99MS:    fromThousandths(t.P99Us),
			MaxMS:    fromThousandths(t.MaxUs),
		})
	}
	return out
}

func gatewayOutliers(address, zone string, stats *rpc.GatewayStats) controlapi.GatewayOutliers {
	out := controlapi.GatewayOutliers{Gateway: address, Zone: zone, Servers: []controlapi.OutlierVerdict{}}
	for _, v := range stats.Verdicts {
		verdict := controlapi.OutlierVerdict{
			Instance:     v.Instance,
			Service:      v.Service,
			State:        v.State,
			Reason:       v.Reason,
			SinceSeconds: fromThousandths(v.SinceMs),
			Factor:       fromThousandths(v.FactorMilli),
			Pinned:       v.Pinned,
		}
		for _, o := range v.Observations {
			verdict.Observations = append(verdict.Observations, controlapi.Observation{
				Observer:   strconv.FormatUint(o.Observer, 16),
				Kind:       o.Text,
				Ratio:      fromThousandths(o.RatioMilli),
				AgeSeconds: fromThousandths(o.AgeMs),
			})
		}
		out.Servers = append(out.Servers, verdict)
	}
	return out
}
