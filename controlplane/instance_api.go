package controlplane

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"oxbowspan/config"
	"oxbowspan/registry"
)

// maxHeartbeatBytes is the maximum length of the body of a server's request.
const maxHeartbeatBytes = 16 << 10

// instanceAPI is the HTTP API for the heartbeats and sign-offs of servers.
type instanceAPI struct {
	loop       *eventLoop
	table      *registry.Table
	heartbeats *heartbeatService
}

func (a *instanceAPI) heartbeat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxHeartbeatBytes))
	if err != nil {
		writeError(w, &apiError{http.StatusBadRequest, "the heartbeat's body can't be read"})
		return
	}
	var h config.Heartbeat
	if err := h.UnmarshalJSON(body); err != nil || !json.Valid(body) {
		writeError(w, &apiError{http.StatusBadRequest, "the heartbeat is not valid JSON of the expected form"})
		return
	}
	id := registry.InstanceID(r.PathValue("id"))
	if id == "" || h.Service == "" || h.Address == "" {
		writeError(w, &apiError{http.StatusBadRequest, "a heartbeat must name its instance, service and address"})
		return
	}
	a.apply(w, id, func(now time.Duration) { a.table.Merge(heartbeatRecord(id, &h, now), "") })
}

// heartbeatRecord returns the record of a server whose heartbeat was received now.
func heartbeatRecord(id registry.InstanceID, h *config.Heartbeat, now time.Duration) registry.Record {
	state := registry.Ready
	if h.State == config.StateDraining {
		state = registry.Draining
	}
	return registry.Record{
		Instance:        id,
		Service:         registry.ServiceID(h.Service),
		Address:         h.Address,
		Zone:            h.Zone,
		Version:         h.Version,
		Slots:           h.CapacitySlots,
		State:           state,
		Sequence:        registry.Sequence(h.Sequence),
		HeartbeatAt:     now,
		SlowStartEndsAt: now + time.Duration(h.SlowStartRemainingMS*float64(time.Millisecond)),
	}
}

func (a *instanceAPI) signOff(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxHeartbeatBytes))
	id := registry.InstanceID(r.PathValue("id"))
	a.apply(w, id, func(now time.Duration) { a.table.Deregister(id, now) })
}

// apply enters a report into the table by calling update on the event loop, and acknowledges it once a majority has it, if that is
// required.
func (a *instanceAPI) apply(w http.ResponseWriter, id registry.InstanceID, update func(now time.Duration)) {
	outcome, applied := query(a.loop, func() reportOutcome { return a.heartbeats.apply(id, update) })
	if !applied {
		writeError(w, errStopping)
		return
	}
	if outcome.wait != nil {
		select {
		case <-outcome.wait.done:
		case <-time.After(replicationTimeout):
			writeError(w, errNotReplicated)
			return
		case <-a.loop.stopped:
			writeError(w, errStopping)
			return
		}
	}
	if outcome.isolated { // the report was applied, but the other controllers may not receive it and may mark the server as unresponsive
		writeError(w, errIsolated)
		return
	}
	writeBody(w, []byte("{}"))
}
