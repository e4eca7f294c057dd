package controlplane

import (
	"context"
	"encoding/hex"
	"net/http"
	"slices"
	"strconv"
	"time"

	"oxbowspan/consensus"
	"oxbowspan/controlapi"
	"oxbowspan/quorum"
	"oxbowspan/registry"
)

// statusAPI shows operators this controller's state; operators query all controllers to get a complete view. The lists of gateways
// and servers are returned only by a controller in contact with a majority, as they would be out of date otherwise. Members and events
// are observations of a single controller, with their ages, and are always returned, so that operators can examine a partitioned
// control plane.
type statusAPI struct {
	self       identity
	loop       *eventLoop
	clock      *monotonicClock
	learner    *learner
	values     *valueReader
	contact    *contactMonitor
	verifier   *contactVerifier
	completion *replicaCompletion
	placement  *membershipManager
	peers      *peerSet
	gateways   *gatewayDirectory
	table      *registry.Table
	events     *eventLog
}

// history answers with the versions of the configuration that the newest value lists, oldest first, at the time of the request.
func (a *statusAPI) history(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), consensusTimeout)
	defer cancel()
	v, err := a.values.read(ctx)
	if err != nil {
		writeError(w, errNotVerified)
		return
	}
	out := []controlapi.HistoryEntry{}
	newest := consensus.Revision{Version: v.Version, BasedOn: v.BasedOn, Digest: v.Digest}
	for _, revision := range append(slices.Clone(v.PriorRevisions), newest) {
		if revision.Digest != "" {
			out = append(out, controlapi.HistoryEntry{
				Version: uint64(revision.Version),
				BasedOn: uint64(revision.BasedOn),
				Digest:  hex.EncodeToString([]byte(revision.Digest)),
			})
		}
	}
	writeJSON(w, out)
}

func (a *statusAPI) members(w http.ResponseWriter, _ *http.Request) {
	serveLocal(a.loop, w, a.membership)
}

func (a *statusAPI) membership() controlapi.MembershipStatus {
	now, v := a.clock.now(), a.learner.value
	out := controlapi.MembershipStatus{Controller: a.self.address, Slot: uint64(v.Slot), Version: uint64(v.Version),
		HasQuorum: a.contact.isCurrent(now), Stable: v.Confirmed()}
	complete := 0
	incomplete := a.completion.incomplete(now)
	locations := a.placement.memberLocations()
	for i, m := range v.Members {
		lastSeenAge := a.lastSeenAge(m, now)
		status := controlapi.MemberStatus{
			Identity:      strconv.FormatUint(uint64(m.ID), 16),
			Address:       m.Address,
			Zone:          locations[i].Zone,
			SilentSeconds: lastSeenAge.Seconds(),
			Complete:      a.learner.confirmed && !consensus.Contains(incomplete, m.ID),
		}
		if status.Complete && lastSeenAge < peerLivenessTimeout {
			complete++
		}
		out.Members = append(out.Members, status)
	}
	if out.Stable {
		majority := len(v.Members)/2 + 1
		out.TolerableLosses = max(complete-majority, 0)
		out.TolerableZones, out.TolerableRegions = quorum.TolerableZones(locations), quorum.TolerableRegions(locations)
	}
	return out
}

// lastSeenAge returns the time since a member was last seen, or since this controller started if it was never seen.
func (a *statusAPI) lastSeenAge(m consensus.Member, now time.Duration) time.Duration {
	if m.ID == a.self.id {
		return 0
	}
	if p := a.peers.byAddress[m.Address]; p != nil && p.id == m.ID && p.lastSeen > 0 {
		return now - p.lastSeen
	}
	return now
}

func (a *statusAPI) listGateways(w http.ResponseWriter, _ *http.Request) {
	serveVerified(a.loop, a.clock, a.verifier, w, func() []controlapi.GatewayStatus {
		out := []controlapi.GatewayStatus{}
		now := a.clock.now()
		for _, g := range a.gateways.byIncarnation {
			pollsHere := g.pollsHere(now)
			out = append(out, controlapi.GatewayStatus{
				Address:     g.address,
				Zone:        g.zone,
				Incarnation: strconv.FormatUint(g.incarnation, 16),
				AgeSeconds:  (now - g.lastSeen).Seconds(),
				PollsHere:   pollsHere,
				Slot:        g.slot,
				UpToDate:    pollsHere && g.slot >= uint64(a.learner.value.Slot),
			})
		}
		return out
	})
}

func (a *statusAPI) servers(w http.ResponseWriter, _ *http.Request) {
	serveVerified(a.loop, a.clock, a.verifier, w, func() []controlapi.ServerStatus {
		out := []controlapi.ServerStatus{}
		now := a.clock.now()
		for _, r := range a.table.ChangesAfter(0) {
			out = append(out, controlapi.ServerStatus{
				Instance:         string(r.Instance),
				Service:          string(r.Service),
				Address:          r.Address,
				Zone:             r.Zone,
				Version:          r.Version,
				Slots:            r.Slots,
				State:            r.State.String(),
				Unresponsive:     r.Unresponsive,
				HeartbeatMissed:  r.HeartbeatMissed,
				AgeSeconds:       (now - r.HeartbeatAt).Seconds(),
				SlowStartSeconds: max(r.SlowStartEndsAt-now, 0).Seconds(),
			})
		}
		return out
	})
}

func (a *statusAPI) listEvents(w http.ResponseWriter, _ *http.Request) {
	serveLocal(a.loop, w, func() []controlapi.Event { return a.events.list(a.self.address) })
}
