package controlplane

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"oxbowspan/config"
	"oxbowspan/consensus"
	"oxbowspan/registry"
)

// How long the calls may take, and how long their bodies may be.
const (
	replicationTimeout    = 800 * time.Millisecond // callers give up after a second
	consensusTimeout      = 900 * time.Millisecond
	maxHeartbeatBytes     = 16 << 10
	maxConfigurationBytes = 8 << 20
	basedOnHeader         = "X-Based-On-Version"
)

// handler are the calls of servers and operators: one handler object for each resource.
func (h *Controller) handler() http.Handler {
	mux := http.NewServeMux()
	instances, configuration := &instanceAPI{h}, &configurationAPI{h}
	mux.HandleFunc("POST /-/instances/{id}/heartbeat", instances.heartbeat)
	mux.HandleFunc("POST /-/instances/{id}/sign-off", instances.signOff)
	mux.HandleFunc("POST /-/configuration/replace", configuration.replace)
	mux.HandleFunc("GET /-/configuration/read", configuration.read)
	tenants := &documentAPI{h, config.TenantsDocumentName, validateTenants, tenantConflicts}
	mux.HandleFunc("POST /-/tenants/replace", tenants.replace)
	mux.HandleFunc("GET /-/tenants/read", tenants.read)
	views := &statusAPI{h}
	mux.HandleFunc("GET /-/configuration/history", views.history)
	mux.HandleFunc("GET /-/members/read", views.members)
	mux.HandleFunc("GET /-/nodes/read", views.nodes)
	mux.HandleFunc("GET /-/servers/read", views.servers)
	mux.HandleFunc("GET /-/events/read", views.events)
	figures := &gatewayStatsAPI{h}
	mux.HandleFunc("GET /-/tenants/explain", figures.tenants)
	pins := &documentAPI{h, config.PinsDocumentName, validatePins, noConflicts}
	mux.HandleFunc("POST /-/pins/replace", pins.replace)
	mux.HandleFunc("GET /-/pins/read", pins.read)
	mux.HandleFunc("GET /-/judgement/explain", figures.judgement)
	return mux
}

func writeError(w http.ResponseWriter, status int, sentence string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	text, _ := json.Marshal(map[string]string{"error": sentence})
	w.Write(text)
}

// instanceAPI are what servers say of themselves.
type instanceAPI struct{ h *Controller }

func (c *instanceAPI) heartbeat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxHeartbeatBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "the heartbeat's body can't be read")
		return
	}
	var b config.Heartbeat
	if err := b.UnmarshalJSON(body); err != nil || !json.Valid(body) {
		writeError(w, http.StatusBadRequest, "the heartbeat is not as it should be")
		return
	}
	id := registry.InstanceID(r.PathValue("id"))
	if id == "" || b.Service == "" || b.Address == "" {
		writeError(w, http.StatusBadRequest, "a heartbeat names its instance, service and address")
		return
	}
	state := registry.Ready
	if b.State == config.StateDraining {
		state = registry.Draining
	}
	c.take(w, r, func(now time.Duration) {
		c.h.table.Merge(registry.Record{Instance: id, Service: registry.ServiceID(b.Service), Address: b.Address, Zone: b.Zone,
			Version: b.Version, Slots: b.CapacitySlots, State: state, Sequence: registry.Sequence(b.Sequence), HeartbeatAt: now,
			SlowStartEndsAt: now + time.Duration(b.SlowStartRemainingMS*float64(time.Millisecond))}, "")
	})
}

func (c *instanceAPI) signOff(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxHeartbeatBytes))
	id := registry.InstanceID(r.PathValue("id"))
	c.take(w, r, func(now time.Duration) { c.h.table.Deregister(id, now) })
}

// reportOutcome is what became of a report.
type reportOutcome struct {
	wait     *replicationWait // until a majority of the core holds it; nil = it does, or need not
	isolated bool             // this machine hears too few of the core
}

// take hands a report to the owner. What takes a server out is acknowledged only when a majority of the core holds it, so
// that it is not lost with this machine.
func (c *instanceAPI) take(w http.ResponseWriter, r *http.Request, report func(now time.Duration)) {
	h, id := c.h, registry.InstanceID(r.PathValue("id"))
	taken, written := query(h.loop, func() reportOutcome { return h.applyReport(id, report) })
	if !written {
		writeError(w, http.StatusServiceUnavailable, "this machine is leaving")
		return
	}
	if taken.wait != nil {
		select {
		case <-taken.wait.done:
		case <-time.After(replicationTimeout):
			writeError(w, http.StatusServiceUnavailable, "too few of the core have heard of it yet")
			return
		case <-h.loop.stopped:
			writeError(w, http.StatusServiceUnavailable, "this machine is leaving")
			return
		}
	}
	if taken.isolated { // it is written down; but the others may not hear of it, and would hold the server for silent
		writeError(w, http.StatusServiceUnavailable, "this machine is cut off from the core: call another")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write([]byte("{}"))
}

// applyReport takes what a server says of itself.
func (h *Controller) applyReport(id registry.InstanceID, report func(now time.Duration)) (t reportOutcome) {
	now, before := h.clock.now(), h.table.Cursor()
	t.isolated = now > peerLivenessTimeout && !h.contact.hasQuorum(now)
	report(now)
	changed := h.table.ChangesAfter(before)
	for _, o := range changed {
		if o.State != registry.Ready {
			t.wait = &replicationWait{cursor: h.table.Cursor(), done: make(chan struct{}), deadline: now + replicationTimeout}
		}
	}
	if t.wait == nil {
		// A call sent again: the first one may not have been borne yet.
		if o := h.table.Get(id); o != nil && o.State != registry.Ready {
			t.wait = &replicationWait{cursor: h.table.LastChange(id), done: make(chan struct{}), deadline: now + replicationTimeout}
		}
	}
	if len(changed) > 0 {
		h.updates.request(t.wait != nil)
	}
	if t.wait != nil {
		if h.peers.replicated(h.learner.value.Members, t.wait.cursor) {
			t.wait = nil
		} else {
			h.replicationWaits = append(h.replicationWaits, t.wait)
			h.peers.gossipNow()
		}
	}
	return t
}

// configurationAPI are what the operator wants.
type configurationAPI struct{ h *Controller }

// readChangeRequest reads the body of an order and the version that it builds on. A body that was cut off on its way says nothing
// of the order: another copy of it may have been agreed, so that it is not refused for good.
func readChangeRequest(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, basedOn consensus.Version, ok bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		writeError(w, http.StatusRequestEntityTooLarge, "the document is longer than "+strconv.FormatInt(limit, 10)+" bytes")
		return nil, 0, false
	case err != nil:
		writeError(w, http.StatusRequestTimeout, "the document did not come whole: send it again")
		return nil, 0, false
	}
	version, err := strconv.ParseUint(strings.TrimSpace(r.Header.Get(basedOnHeader)), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, basedOnHeader+" is missing or not a version")
		return nil, 0, false
	}
	return body, consensus.Version(version), true
}

// changeTimeout is how long an order may take: a long one is sent to others, and stored, for longer.
func changeTimeout(body []byte) time.Duration {
	return consensusTimeout + time.Duration(len(body)/1000)*time.Millisecond
}

func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return string(sum[:])
}

// resolveOutcome asks the ledger for an order whose fate the newest value does not tell.
func (h *Controller) resolveOutcome(fate consensus.Outcome, held func(l *consensus.History) bool) consensus.Outcome {
	if fate != consensus.OutcomeUnknown {
		return fate
	}
	if found, ok := query(h.loop, func() bool { return held(&h.learner.history) }); ok && found {
		return consensus.OutcomeCommitted
	}
	return consensus.OutcomeUnknown
}

// writeUnknownOutcome leaves an order without a clear answer.
func writeUnknownOutcome(w http.ResponseWriter, basedOn, inPlace consensus.Version) {
	if basedOn > inPlace {
		writeError(w, http.StatusServiceUnavailable, "version "+formatVersion(basedOn)+", on which it builds, is not in place yet: "+formatVersion(inPlace)+" is")
		return
	}
	writeError(w, http.StatusServiceUnavailable, "its fate is not known any more: version "+formatVersion(inPlace)+" is in place")
}

func formatVersion(v consensus.Version) string { return strconv.FormatUint(uint64(v), 10) }

func writeVersion(w http.ResponseWriter, version consensus.Version) {
	w.Header().Set("Content-Type", "application/json")
	w.Write([]byte(`{"version":` + formatVersion(version) + `}`))
}

func (c *configurationAPI) replace(w http.ResponseWriter, r *http.Request) {
	body, basedOn, ok := readChangeRequest(w, r, maxConfigurationBytes)
	if !ok {
		return
	}
	conf, err := config.Parse(body)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	// What is wrong with it by itself was wrong whenever it was sent: it was never taken.
	if faults := conf.Validate(); len(faults) > 0 {
		writeError(w, http.StatusBadRequest, strings.Join(faults, "; "))
		return
	}
	call := consensus.ChangeRequest{Version: consensus.Version(conf.Version), BasedOn: basedOn, Digest: digestOf(body), Body: body}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout(body))
	defer cancel()
	var fate consensus.Outcome
	var inPlace consensus.Version
	began := time.Now()
	v, err := c.h.propose(ctx, func(v *consensus.Value) *consensus.Value {
		inPlace = v.Version
		var next *consensus.Value
		next, fate = call.Evaluate(v)
		return next
	})
	if err != nil {
		c.h.log.Warn().Uint64("version", conf.Version).Dur("took", time.Since(began)).Msg("config: not agreed in time")
		writeError(w, http.StatusServiceUnavailable, "the core could not agree in time: send it again")
		return
	}
	fate = c.h.resolveOutcome(fate, func(l *consensus.History) bool { return l.ContainsChange(call) })
	if fate != consensus.OutcomeCommitted {
		c.h.log.Info().Uint64("version", conf.Version).Uint64("based_on", uint64(basedOn)).Uint64("in_place", uint64(inPlace)).Stringer("fate", fate).Msg("config: not taken")
	}
	switch fate {
	case consensus.OutcomeCommitted:
		c.h.log.Info().Uint64("version", conf.Version).Uint64("turn", uint64(v.Slot)).Dur("took", time.Since(began)).Msg("config: acknowledged")
		writeVersion(w, call.Version)
	case consensus.OutcomeVersionTooLow:
		writeError(w, http.StatusBadRequest, "the version is not above "+formatVersion(basedOn)+", on which it builds")
	case consensus.OutcomeConflict:
		writeError(w, http.StatusPreconditionFailed, "version "+formatVersion(inPlace)+" is in place")
	default:
		writeUnknownOutcome(w, basedOn, inPlace)
	}
}

// read makes sure of the newest value by a round: a machine that lags must not answer with an old one.
func (c *configurationAPI) read(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), consensusTimeout)
	defer cancel()
	v, err := c.h.propose(ctx, func(v *consensus.Value) *consensus.Value { return v })
	switch {
	case errors.Is(err, errNoQuorum):
		writeError(w, http.StatusServiceUnavailable, "the core could not make sure of the newest version in time")
	case v.Digest == "":
		writeError(w, http.StatusNotFound, "there is no configuration yet")
	default:
		w.Header().Set("Content-Type", "application/json")
		w.Write(v.Body)
	}
}
