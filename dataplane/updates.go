package dataplane

import (
	"time"

	"oxbowspan/balancer"
	"oxbowspan/config"
	"oxbowspan/rollout"
	"oxbowspan/rpc"
)

// This file passes the messages that a gateway exchanges with controllers and other gateways to its components. All methods except handleFrame
// run on the loop's goroutine.

// activateConfig implements updateSink.
func (g *Gateway) activateConfig(c *config.Configuration, encoded []byte, slot uint64) {
	g.configs.activate(c, encoded, slot)
}

// applyReports implements updateSink.
func (g *Gateway) applyReports(update *rpc.Update) { g.endpoints.applyReports(update) }

// applyPeerUpdate implements updateSink.
func (g *Gateway) applyPeerUpdate(update *rpc.Update) {
	g.applyDocuments(update.Documents)
	g.endpoints.applyReports(update)
}

// applyUpdate implements updateSink.
func (g *Gateway) applyUpdate(update *rpc.Update, polledAt time.Duration) {
	g.applyDocuments(update.Documents)
	g.endpoints.applyReports(update)
	if update.HasGateways {
		g.applyMembership(update.Gateways)
	}
	if update.HasQuorum {
		g.rollouts.recordQuorum(polledAt)
		g.members.renew(polledAt, duration(g.loop.now()))
	}
}

// applyDocuments applies the pin, tenant and rollout documents of an update.
func (g *Gateway) applyDocuments(documents []*rpc.Document) {
	for _, document := range documents {
		switch document.Name {
		case config.PinsDocumentName:
			g.outliers.applyPins(document)
		case config.TenantsDocumentName:
			g.quota.applyDocument(document)
		case rollout.DocumentName:
			g.rollouts.apply(document)
		}
	}
}

// applyMembership applies a new list of live gateways.
func (g *Gateway) applyMembership(gateways []*rpc.Gateway) {
	g.members.update(gateways, duration(g.loop.now()))
	g.endpoints.resizeCluster()
	g.endpoints.sync()
	g.loads.membershipChanged()
}

// pollStatus implements updateSink.
func (g *Gateway) pollStatus() pollStatus {
	now := g.loop.now()
	return pollStatus{stats: g.stats(now), healthChecks: g.health.reports(now), rollouts: g.rollouts.report()}
}

// stats returns the statistics of this gateway for operators, nil = no tenant document is active and no server is an outlier.
func (g *Gateway) stats(now balancer.Time) *rpc.GatewayStats {
	stats := &rpc.GatewayStats{
		TenantsVersion: g.quota.document.version,
		Verdicts:       g.outliers.verdicts(now),
		Version:        g.configs.version(),
	}
	if !g.quota.enabled() {
		if len(stats.Verdicts) == 0 {
			return nil
		}
		return stats
	}
	stats.Connections = g.quota.connectionUsages(now)
	stats.Waits = g.quota.waitStats()
	return stats
}

// handleFrame handles a message of another gateway. It is called on the connection's goroutine.
func (g *Gateway) handleFrame(conn *rpc.Conn, frame *rpc.Frame) {
	if poll := frame.GetPoll(); poll != nil {
		g.loop.post(func() { g.answerPoll(conn, frame.Id, poll) })
	}
	if request := frame.GetQuotaRequest(); request != nil {
		g.loop.post(func() { g.quota.handleRequest(conn, frame.Id, request) })
	}
	if subscription := frame.GetLoadSubscription(); subscription != nil {
		g.loop.post(func() { g.loads.addSubscriber(conn, frame.Id, subscription.ObservationsOnly) })
	}
}

// answerPoll responds to the poll of a gateway that reaches no controller with a quorum.
func (g *Gateway) answerPoll(conn *rpc.Conn, requestID uint64, poll *rpc.Poll) {
	update := &rpc.Update{}
	if g.configs.fillUpdate(update, poll.Slot) {
		update.Documents = append(g.quota.documents(), g.rollouts.documents()...)
	}
	update.Reports = g.endpoints.reports()
	go conn.Respond(requestID, &rpc.Frame{Body: &rpc.Frame_Update{Update: update}})
}
