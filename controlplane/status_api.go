package controlplane

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"oxbowspan/consensus"
)

// What operators may look at. Each hive tells what it knows; whoever wants all asks all hives. Lists of gatherers and servers
// and what gatherers say of themselves are told by a hive in contact with a majority only: they would be old. Members and
// events are what a hive itself saw, with their ages, and are told always: they are what there is to see of a core cut in two.

// statusAPI are an operator's looks.
type statusAPI struct{ h *Controller }

// HistoryEntry is the versions of the configuration that the agreed value remembers, the oldest first.
type HistoryEntry struct {
	Version uint64 `json:"version"`
	BasedOn uint64 `json:"based_on"`
	Digest  string `json:"digest"`
}

// history makes sure of the newest value by a round, as a read of the configuration does.
func (c *statusAPI) history(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), consensusTimeout)
	defer cancel()
	v, err := c.h.propose(ctx, func(v *consensus.Value) *consensus.Value { return v })
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "the core could not make sure of the newest version in time")
		return
	}
	out := []HistoryEntry{}
	for _, p := range append(append([]consensus.Revision{}, v.PriorRevisions...), consensus.Revision{Version: v.Version, BasedOn: v.BasedOn, Digest: v.Digest}) {
		if p.Digest != "" {
			out = append(out, HistoryEntry{uint64(p.Version), uint64(p.BasedOn), hex.EncodeToString([]byte(p.Digest))})
		}
	}
	writeJSON(w, out)
}

// MembershipStatus is who votes, and what loss is borne now, as one hive sees it.
type MembershipStatus struct {
	Controller      string         `json:"hive"`
	Slot            uint64         `json:"turn"`
	Version         uint64         `json:"version"`
	HasQuorum       bool           `json:"settled"` // in contact with a majority
	Stable          bool           `json:"whole"`   // no change of the acceptors is under way
	TolerableLosses int            `json:"bears"`   // disks that may be lost now, with a majority left that hears each other and holds what is agreed
	Members         []MemberStatus `json:"members"`
}

// MemberStatus is an acceptor.
type MemberStatus struct {
	Identity      string  `json:"identity"`
	Address       string  `json:"address"`
	SilentSeconds float64 `json:"silent_s"`
	Complete      bool    `json:"complete"` // it said that its disk holds what is agreed
}

func (c *statusAPI) members(w http.ResponseWriter, _ *http.Request) {
	serveLocal(c.h, w, func() MembershipStatus {
		h := c.h
		now := h.clock.now()
		out := MembershipStatus{Controller: h.self.address, Slot: uint64(h.learner.value.Slot), Version: uint64(h.learner.value.Version), HasQuorum: h.learner.confirmed && h.contact.hasQuorum(now), Stable: h.learner.value.Confirmed()}
		proven := 0
		lacking := h.learner.decision.Unreplicated(h.peers.replicas(now, h.acceptor.replica))
		for _, m := range h.learner.value.Members {
			silent := time.Duration(0)
			if m.ID != h.self.id {
				silent = now
				if p := h.peers.byAddress[m.Address]; p != nil && p.id == m.ID && p.lastSeen > 0 {
					silent = now - p.lastSeen
				}
			}
			complete := h.learner.confirmed && !consensus.Contains(lacking, m.ID)
			if complete && silent < peerLivenessTimeout {
				proven++
			}
			out.Members = append(out.Members, MemberStatus{strconv.FormatUint(uint64(m.ID), 16), m.Address, silent.Seconds(), complete})
		}
		if out.Stable {
			out.TolerableLosses = max(proven-(len(h.learner.value.Members)/2+1), 0)
		}
		return out
	})
}

// GatewayStatus is a gatherer, as one hive knows it.
type GatewayStatus struct {
	Address     string  `json:"address"`
	Zone        string  `json:"zone"`
	Incarnation string  `json:"life"`
	AgeSeconds  float64 `json:"heard_s_ago"`
	PollsHere   bool    `json:"asks_this_hive"`
	Slot        uint64  `json:"turn"` // in force there, of those that ask this hive
	UpToDate    bool    `json:"newest"`
}

func (c *statusAPI) nodes(w http.ResponseWriter, _ *http.Request) {
	serveVerified(c.h, w, func() []GatewayStatus {
		out := []GatewayStatus{}
		now := c.h.clock.now()
		for _, f := range c.h.gateways.byIncarnation {
			out = append(out, GatewayStatus{f.address, f.zone, strconv.FormatUint(f.incarnation, 16), (now - f.lastSeen).Seconds(), f.pollsHere(now), f.slot, f.pollsHere(now) && f.slot >= uint64(c.h.learner.value.Slot)})
		}
		return out
	})
}

// ServerStatus is a server, as one hive knows it.
type ServerStatus struct {
	Instance         string  `json:"instance"`
	Service          string  `json:"service"`
	Address          string  `json:"address"`
	Zone             string  `json:"zone"`
	Version          string  `json:"version"`
	Slots            int     `json:"capacity_slots"`
	State            string  `json:"state"`
	Unresponsive     bool    `json:"silent"`
	HeartbeatMissed  bool    `json:"unheard"`
	AgeSeconds       float64 `json:"heard_s_ago"`
	SlowStartSeconds float64 `json:"cold_for_s"`
}

func (c *statusAPI) servers(w http.ResponseWriter, _ *http.Request) {
	serveVerified(c.h, w, func() []ServerStatus {
		out := []ServerStatus{}
		now := c.h.clock.now()
		for _, r := range c.h.table.ChangesAfter(0) {
			out = append(out, ServerStatus{string(r.Instance), string(r.Service), r.Address, r.Zone, r.Version, r.Slots, r.State.String(), r.Unresponsive, r.HeartbeatMissed,
				(now - r.HeartbeatAt).Seconds(), max(r.SlowStartEndsAt-now, 0).Seconds()})
		}
		return out
	})
}

func (c *statusAPI) events(w http.ResponseWriter, _ *http.Request) {
	serveLocal(c.h, w, func() []Event { return c.h.events.list(c.h.self.address) })
}

// serveLocal answers a look with what the owner says.
func serveLocal[T any](h *Controller, w http.ResponseWriter, look func() T) {
	out, ok := query(h.loop, look)
	if !ok {
		writeError(w, http.StatusServiceUnavailable, "this machine is leaving")
		return
	}
	writeJSON(w, out)
}

// isolatedMessage says that what this machine knows may be old.
const isolatedMessage = "this machine is cut off from the core: ask another"

// serveVerified answers a look with what the owner says, once a majority has answered what it was asked after the look came.
func serveVerified[T any](h *Controller, w http.ResponseWriter, look func() T) {
	answers := make(chan func(), 1)
	h.loop.post(func() {
		h.verifier.verify(h.clock.now(), func(verified bool) {
			if !verified {
				answers <- func() { writeError(w, http.StatusServiceUnavailable, isolatedMessage) }
				return
			}
			out := look()
			answers <- func() { writeJSON(w, out) }
		})
	})
	select {
	case answer := <-answers:
		answer()
	case <-h.loop.stopped:
		writeError(w, http.StatusServiceUnavailable, "this machine is leaving")
	}
}

func writeJSON(w http.ResponseWriter, out any) {
	text, err := json.Marshal(out)
	if err != nil {
		writeError(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(text)
}
