package controlplane

import (
	"slices"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"oxbowspan/internal/acceptorstore"
	"oxbowspan/registry"
	"oxbowspan/rpc"
)

// hintInterval is the minimum time between two saves of changed hints.
const hintInterval = 2 * time.Second

// hintSource is the source that the registry records for reports from the disk.
const hintSource = "disk"

// hintSaver stores the known servers and controllers on the disk as hints. With them, a control plane in which every machine lost
// power has the servers before their next heartbeats, and a controller finds the others even if none of its seeds exists any more.
// Hints may be out of date: a server without heartbeats soon becomes unresponsive, and a controller that doesn't answer is removed.
// It also stores the revisions that were committed. It is owned by the event loop.
type hintSaver struct {
	store             *acceptorstore.Store
	table             *registry.Table
	peers             *peerSet
	learner           *learner
	departures        *departureLog
	loop              *eventLoop
	clock             *monotonicClock
	savedAt           time.Duration
	cursor            registry.Cursor // up to which the reports are on the disk
	savedAddresses    []string        // sorted addresses of the controllers that are on the disk
	restoredAddresses []string        // addresses of controllers stored by an earlier run, until restorePeers adds them
	saving            bool            // a save is in progress
	log               zerolog.Logger
}

func newHintSaver(store *acceptorstore.Store, table *registry.Table, peers *peerSet, learner *learner, departures *departureLog, loop *eventLoop,
	clock *monotonicClock, log zerolog.Logger) *hintSaver {
	return &hintSaver{store: store, table: table, peers: peers, learner: learner, departures: departures, loop: loop, clock: clock, log: log}
}

// restore loads the state that an earlier run stored: the hints and the departures into the table, and the committed revisions into the
// history. Hints and departures that can't be decoded are ignored. It must be called before the event loop runs: a value that is learned before it would displace
// older revisions, and the store's goroutine may read the file again.
func (h *hintSaver) restore() {
	h.learner.history.Restore(h.store.History())
	hints := &rpc.Gossip{}
	if proto.Unmarshal(h.store.Hints(), hints) == nil {
		for _, r := range hints.Reports {
			h.restoreReport(r)
		}
		for _, controller := range hints.Controllers {
			h.restoredAddresses = append(h.restoredAddresses, controller.Address)
		}
	}
	for _, departure := range h.store.Departures() {
		r := &rpc.ServerReport{}
		if proto.Unmarshal(departure.Report, r) == nil {
			h.restoreReport(r)
		}
	}
	h.departures.restored()
	h.logRestored()
}

// restoreReport enters a report from the disk into the table.
func (h *hintSaver) restoreReport(r *rpc.ServerReport) {
	r.AgeMs = 0 // it is unknown how long ago the heartbeat was received
	h.table.Merge(decodeReport(r, h.clock.now()), hintSource)
}

// logRestored logs the numbers of restored servers by state.
func (h *hintSaver) logRestored() {
	counts := map[registry.State]int{}
	for _, r := range h.table.ChangesAfter(0) {
		counts[r.State]++
	}
	h.log.Info().Int("ready", counts[registry.Ready]).Int("draining", counts[registry.Draining]).
		Int("gone", counts[registry.Deregistered]).Msg("hints: servers restored")
}

// restorePeers starts to gossip with the controllers that an earlier run stored.
func (h *hintSaver) restorePeers() {
	for _, address := range h.restoredAddresses {
		h.peers.add(address)
	}
	h.restoredAddresses = nil
}

// save stores the known servers, the controllers that are alive and new revisions, if any of them have changed, no save is in
// progress and hintInterval has passed since the last one.
func (h *hintSaver) save(now time.Duration) {
	cursor := h.table.Cursor()
	if h.saving || now-h.savedAt < hintInterval {
		return
	}
	alive := h.peers.aliveAddresses(now)
	changed := len(h.table.ChangesAfter(h.cursor)) > 0 || len(alive) > 0 && !slices.Equal(alive, h.savedAddresses) ||
		h.learner.history.HasUnsaved()
	if !changed {
		return
	}
	m := &rpc.Gossip{}
	for _, r := range h.table.ChangesAfter(0) {
		m.Reports = append(m.Reports, encodeReport(r, now))
	}
	for _, address := range alive {
		m.Controllers = append(m.Controllers, &rpc.Controller{Address: address})
	}
	hints, err := proto.Marshal(m)
	if err != nil {
		return
	}
	h.savedAt = now
	history := h.learner.history.TakeUnsaved()
	h.saving = h.store.SaveHints(hints, history, func(err error) {
		if err != nil {
			h.log.Warn().Err(err).Msg("hints: not saved")
		}
		go h.loop.post(func() {
			h.saving = false
			if err != nil {
				h.learner.history.ReturnUnsaved(history)
				return
			}
			h.cursor, h.savedAddresses = cursor, alive
		})
	})
	if !h.saving {
		h.learner.history.ReturnUnsaved(history)
	}
}
