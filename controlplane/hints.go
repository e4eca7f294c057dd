package controlplane

import (
	"time"

	"google.golang.org/protobuf/proto"

	"oxbowspan/internal/acceptorstore"
	"oxbowspan/registry"
	"oxbowspan/rpc"
)

// hintInterval is how often changed reports are saved at most.
const hintInterval = 2 * time.Second

// hintSource is the source under which the registry takes reports from the disk.
const hintSource = "disk"

// hintSaver keeps the known servers on the disk as hints, so that a control plane of which every machine lost power knows them
// before they call again. They may be out of date: a server that doesn't call is soon unresponsive again. It belongs to the event
// loop.
type hintSaver struct {
	store   *acceptorstore.Store
	table   *registry.Table
	loop    *eventLoop
	clock   *steadyClock
	savedAt time.Duration
	cursor  registry.Cursor // up to which the reports are on the disk
	saving  bool
}

func newHintSaver(store *acceptorstore.Store, table *registry.Table, loop *eventLoop, clock *steadyClock) *hintSaver {
	return &hintSaver{store: store, table: table, loop: loop, clock: clock}
}

// restore enters the hints of an earlier run into the table. Hints that can't be read are ignored.
func (h *hintSaver) restore() {
	hints, m := h.store.Hints(), &rpc.Gossip{}
	if len(hints) == 0 || proto.Unmarshal(hints, m) != nil {
		return
	}
	for _, r := range m.Reports {
		r.AgeMs = 0 // how long ago it was received is not known
		h.table.Merge(decodeReport(r, h.clock.now()), hintSource)
	}
}

// save stores the known servers if any has changed and the disk is idle.
func (h *hintSaver) save(now time.Duration) {
	cursor := h.table.Cursor()
	if h.saving || now-h.savedAt < hintInterval || len(h.table.ChangesAfter(h.cursor)) == 0 {
		return
	}
	m := &rpc.Gossip{}
	for _, r := range h.table.ChangesAfter(0) {
		m.Reports = append(m.Reports, encodeReport(r, now))
	}
	hints, err := proto.Marshal(m)
	if err != nil {
		return
	}
	h.savedAt = now
	h.saving = h.store.SaveHints(hints, func(err error) {
		go h.loop.post(func() {
			if h.saving = false; err == nil {
				h.cursor = cursor
			}
		})
	})
}
