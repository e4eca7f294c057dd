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

// hintInterval is how often changed reports are saved at most.
const hintInterval = 2 * time.Second

// hintSource is the source under which the registry takes reports from the disk.
const hintSource = "disk"

// hintSaver keeps the known servers and controllers on the disk as hints, so that a control plane of which every machine lost power
// knows the servers before they call again, and a controller finds the others though its seeds are gone. They may be out of date: a
// server that doesn't call is soon unresponsive again, and a controller that doesn't answer is forgotten. It belongs to the event
// loop.
type hintSaver struct {
	store   *acceptorstore.Store
	table   *registry.Table
	peers   *peerSet
	learner *learner
	loop    *eventLoop
	clock   *steadyClock
	savedAt time.Duration
	cursor  registry.Cursor // up to which the reports are on the disk
	alive   []string        // addresses of the controllers that are on the disk, ordered
	earlier []string        // addresses of those that an earlier run had stored, until restorePeers
	saving  bool
	log     zerolog.Logger
}

func newHintSaver(store *acceptorstore.Store, table *registry.Table, peers *peerSet, learner *learner, loop *eventLoop, clock *steadyClock, log zerolog.Logger) *hintSaver {
	return &hintSaver{store: store, table: table, peers: peers, learner: learner, loop: loop, clock: clock, log: log}
}

// restore takes what an earlier run stored: the hints into the table, and the revisions that were committed. Hints that can't be
// read are ignored. It must be called before the event loop runs: a value that is learned first would displace older revisions, and
// the store's goroutine may read the file again.
func (h *hintSaver) restore() {
	h.learner.history.Restore(h.store.History())
	hints, m := h.store.Hints(), &rpc.Gossip{}
	if len(hints) == 0 || proto.Unmarshal(hints, m) != nil {
		return
	}
	for _, r := range m.Reports {
		r.AgeMs = 0 // how long ago it was received is not known
		h.table.Merge(decodeReport(r, h.clock.now()), hintSource)
	}
	for _, controller := range m.Controllers {
		h.earlier = append(h.earlier, controller.Address)
	}
}

// restorePeers begins to gossip with the controllers that an earlier run had stored.
func (h *hintSaver) restorePeers() {
	for _, address := range h.earlier {
		h.peers.add(address)
	}
	h.earlier = nil
}

// save stores the known servers and the controllers that are alive, if any has changed and the disk is idle.
func (h *hintSaver) save(now time.Duration) {
	cursor := h.table.Cursor()
	if h.saving || now-h.savedAt < hintInterval {
		return
	}
	alive := h.peers.aliveAddresses(now)
	changed := len(h.table.ChangesAfter(h.cursor)) > 0 || len(alive) > 0 && !slices.Equal(alive, h.alive) ||
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
			h.cursor, h.alive = cursor, alive
		})
	})
	if !h.saving {
		h.learner.history.ReturnUnsaved(history)
	}
}
