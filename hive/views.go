package hive

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"oxbowspan/consensus"
	"oxbowspan/registry"
)

// What operators may look at. Each hive tells what it knows; whoever wants all asks all hives. Lists of gatherers and servers
// and what gatherers say of themselves are told by a hive in contact with a majority only: they would be old. Members and
// events are what a hive itself saw, with their ages, and are told always: they are what there is to see of a core cut in two.

// keptEvents is how many events a hive remembers; the oldest go first.
const keptEvents = 1024

// Event is something that the system did or saw, as one hive noted it.
type Event struct {
	Hive string  `json:"hive"`
	No   uint64  `json:"no"`
	AgeS float64 `json:"age_s"` // by that hive's steady clock
	Kind string  `json:"kind"`
	Text string  `json:"text"`
}

type event struct {
	no         uint64
	at         time.Duration
	kind, text string
}

// note remembers an event. It is the owner's.
func (h *Hive) note(kind, text string) {
	h.eventNo++
	h.events.Enqueue(event{h.eventNo, h.now(), kind, text})
}

// noteReports remembers what servers did that changes who is asked.
func (h *Hive) noteReports(now time.Duration) {
	for _, r := range h.table.ChangesAfter(h.noted) {
		is := r.State.String()
		if r.State == registry.Ready && r.Unresponsive {
			is = "silent"
		}
		id := string(r.Instance)
		if was, known := h.servers[id]; known && was == is || r.Service == "" {
			continue
		}
		if h.servers[id] = is; now > settledFor { // not all that it learns as it begins
			h.note("server", id+" of "+string(r.Service)+" at "+r.Address+" is "+is)
		}
		if r.State == registry.Deregistered {
			delete(h.servers, id)
		}
	}
	h.noted = h.table.Cursor()
	if len(h.servers) > 2*h.table.Len()+64 { // those that the table forgot
		clear(h.servers)
	}
}

// viewCalls are an operator's looks.
type viewCalls struct{ h *Hive }

// History is the versions of the configuration that the agreed value remembers, the oldest first.
type History struct {
	Version uint64 `json:"version"`
	BasedOn uint64 `json:"based_on"`
	Digest  string `json:"digest"`
}

// history makes sure of the newest value by a round, as a read of the configuration does.
func (c *viewCalls) history(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), agreeLimit)
	defer cancel()
	v, err := c.h.propose(ctx, func(v *consensus.Value) *consensus.Value { return v })
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, "the core could not make sure of the newest version in time")
		return
	}
	out := []History{}
	for _, p := range append(append([]consensus.Revision{}, v.PriorRevisions...), consensus.Revision{Version: v.Version, BasedOn: v.BasedOn, Digest: v.Digest}) {
		if p.Digest != "" {
			out = append(out, History{uint64(p.Version), uint64(p.BasedOn), hex.EncodeToString([]byte(p.Digest))})
		}
	}
	tellAll(w, out)
}

// Members is who votes, and what loss is borne now, as one hive sees it.
type Members struct {
	Hive    string   `json:"hive"`
	Turn    uint64   `json:"turn"`
	Version uint64   `json:"version"`
	Settled bool     `json:"settled"` // in contact with a majority
	Whole   bool     `json:"whole"`   // no change of the acceptors is under way
	Bears   int      `json:"bears"`   // disks that may be lost now, with a majority left that hears each other and holds what is agreed
	Members []Member `json:"members"`
}

// Member is an acceptor.
type Member struct {
	Identity string  `json:"identity"`
	Address  string  `json:"address"`
	SilentS  float64 `json:"silent_s"`
	Complete bool    `json:"complete"` // it said that its disk holds what is agreed
}

func (c *viewCalls) members(w http.ResponseWriter, _ *http.Request) {
	tellAsked(c.h, w, func() Members {
		h := c.h
		now := h.now()
		out := Members{Hive: h.address, Turn: uint64(h.known.Slot), Version: uint64(h.known.Version), Settled: h.confirmed && h.inContact(now), Whole: h.known.Confirmed()}
		proven := 0
		lacking := h.decision.Unreplicated(h.copies(now))
		for _, m := range h.known.Members {
			silent := time.Duration(0)
			if m.ID != h.self {
				silent = now
				if p := h.peers[m.Address]; p != nil && p.id == m.ID && p.heardAt > 0 {
					silent = now - p.heardAt
				}
			}
			complete := h.confirmed && !consensus.Contains(lacking, m.ID)
			if complete && silent < settledFor {
				proven++
			}
			out.Members = append(out.Members, Member{strconv.FormatUint(uint64(m.ID), 16), m.Address, silent.Seconds(), complete})
		}
		if out.Whole {
			out.Bears = max(proven-(len(h.known.Members)/2+1), 0)
		}
		return out
	})
}

// Node is a gatherer, as one hive knows it.
type Node struct {
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Life    string  `json:"life"`
	AgeS    float64 `json:"heard_s_ago"`
	Here    bool    `json:"asks_this_hive"`
	Turn    uint64  `json:"turn"` // in force there, of those that ask this hive
	Newest  bool    `json:"newest"`
}

func (c *viewCalls) nodes(w http.ResponseWriter, _ *http.Request) {
	tellCurrent(c.h, w, func() []Node {
		out := []Node{}
		now := c.h.now()
		for _, f := range c.h.foragers {
			out = append(out, Node{f.address, f.zone, strconv.FormatUint(f.life, 16), (now - f.heardAt).Seconds(), f.here(now), f.turn, f.here(now) && f.turn >= uint64(c.h.known.Slot)})
		}
		return out
	})
}

// Server is a server, as one hive knows it.
type Server struct {
	Instance string  `json:"instance"`
	Service  string  `json:"service"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Version  string  `json:"version"`
	Slots    int     `json:"capacity_slots"`
	State    string  `json:"state"`
	Silent   bool    `json:"silent"`
	Unheard  bool    `json:"unheard"`
	AgeS     float64 `json:"heard_s_ago"`
	ColdS    float64 `json:"cold_for_s"`
}

func (c *viewCalls) servers(w http.ResponseWriter, _ *http.Request) {
	tellCurrent(c.h, w, func() []Server {
		out := []Server{}
		now := c.h.now()
		for _, r := range c.h.table.ChangesAfter(0) {
			out = append(out, Server{string(r.Instance), string(r.Service), r.Address, r.Zone, r.Version, r.Slots, r.State.String(), r.Unresponsive, r.HeartbeatMissed,
				(now - r.HeartbeatAt).Seconds(), max(r.SlowStartEndsAt-now, 0).Seconds()})
		}
		return out
	})
}

func (c *viewCalls) events(w http.ResponseWriter, _ *http.Request) {
	tellAsked(c.h, w, func() []Event {
		out := []Event{}
		now := c.h.now()
		for _, e := range c.h.events.Values() {
			out = append(out, Event{c.h.address, e.no, (now - e.at).Seconds(), e.kind, e.text})
		}
		return out
	})
}

// tellAsked answers a look with what the owner says.
func tellAsked[T any](h *Hive, w http.ResponseWriter, look func() T) {
	out, ok := inquire(h, look)
	if !ok {
		refuse(w, http.StatusServiceUnavailable, "this machine is leaving")
		return
	}
	tellAll(w, out)
}

// cutOffSentence says that what this machine knows may be old.
const cutOffSentence = "this machine is cut off from the core: ask another"

// tellCurrent answers a look with what the owner says, once a majority has answered what it was asked after the look came.
func tellCurrent[T any](h *Hive, w http.ResponseWriter, look func() T) {
	answers := make(chan func(), 1)
	h.do(func() {
		h.verifyContact(h.now(), func(verified bool) {
			if !verified {
				answers <- func() { refuse(w, http.StatusServiceUnavailable, cutOffSentence) }
				return
			}
			out := look()
			answers <- func() { tellAll(w, out) }
		})
	})
	select {
	case answer := <-answers:
		answer()
	case <-h.stopped:
		refuse(w, http.StatusServiceUnavailable, "this machine is leaving")
	}
}

func tellAll(w http.ResponseWriter, out any) {
	text, err := json.Marshal(out)
	if err != nil {
		refuse(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(text)
}
