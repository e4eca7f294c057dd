package dataplane

import (
	"oxbowspan/balancer"
	"oxbowspan/config"
	"oxbowspan/rpc"
)

// activateConfig takes a configuration with its encoding.
func (f *Gateway) activateConfig(c *config.Configuration, text []byte, slot uint64) {
	f.configs.activate(c, text, slot)
}

// applyDocuments takes what is agreed beside the configuration.
func (f *Gateway) applyDocuments(documents []*rpc.Document) {
	for _, document := range documents {
		switch document.Name {
		case config.PinsDocumentName:
			f.outliers.applyPins(document)
		case config.TenantsDocumentName:
			f.quota.applyDocument(document)
		}
	}
}

// stats returns what operators see of this gateway, nil = nothing but the version of its configuration.
func (f *Gateway) stats(now balancer.Time) *rpc.GatewayStats {
	stats := &rpc.GatewayStats{
		TenantsVersion: f.quota.document.version,
		Verdicts:       f.outliers.verdicts(now),
		Version:        f.configs.version(),
	}
	if !f.quota.enabled() {
		if len(stats.Verdicts) == 0 {
			return nil
		}
		return stats
	}
	stats.Connections = f.quota.connectionUsages(now)
	stats.Waits = f.quota.waitStats()
	return stats
}

// answerPeer answers a gateway that reaches no controller with a quorum.
func (f *Gateway) answerPeer(conn *rpc.Conn, requestID uint64, poll *rpc.Poll) {
	update := &rpc.Update{}
	if f.configs.fill(update, poll.Slot) {
		update.Documents = f.quota.documents()
	}
	update.Reports = f.endpoints.reports()
	go conn.Respond(requestID, &rpc.Frame{Body: &rpc.Frame_Update{Update: update}})
}
