package hive

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
	spreadLimit  = 800 * time.Millisecond // callers give up after a second
	agreeLimit   = 900 * time.Millisecond
	beatBytes    = 16 << 10
	configBytes  = 8 << 20
	basedOnField = "X-Based-On-Version"
)

// calls are the calls of servers and operators: one handler object for each resource.
func (h *Hive) calls() http.Handler {
	mux := http.NewServeMux()
	instances, configuration := &instanceCalls{h}, &configurationCalls{h}
	mux.HandleFunc("POST /-/instances/{id}/heartbeat", instances.heartbeat)
	mux.HandleFunc("POST /-/instances/{id}/sign-off", instances.signOff)
	mux.HandleFunc("POST /-/configuration/replace", configuration.replace)
	mux.HandleFunc("GET /-/configuration/read", configuration.read)
	tenants := &noteCalls{h, config.TenantsDocumentName, checkTenants, unfitTenants}
	mux.HandleFunc("POST /-/tenants/replace", tenants.replace)
	mux.HandleFunc("GET /-/tenants/read", tenants.read)
	views := &viewCalls{h}
	mux.HandleFunc("GET /-/configuration/history", views.history)
	mux.HandleFunc("GET /-/members/read", views.members)
	mux.HandleFunc("GET /-/nodes/read", views.nodes)
	mux.HandleFunc("GET /-/servers/read", views.servers)
	mux.HandleFunc("GET /-/events/read", views.events)
	figures := &figureCalls{h}
	mux.HandleFunc("GET /-/tenants/explain", figures.tenants)
	pins := &noteCalls{h, config.PinsDocumentName, checkPins, fitsAny}
	mux.HandleFunc("POST /-/pins/replace", pins.replace)
	mux.HandleFunc("GET /-/pins/read", pins.read)
	mux.HandleFunc("GET /-/judgement/explain", figures.judgement)
	return mux
}

func refuse(w http.ResponseWriter, status int, sentence string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	text, _ := json.Marshal(map[string]string{"error": sentence})
	w.Write(text)
}

// instanceCalls are what servers say of themselves.
type instanceCalls struct{ h *Hive }

func (c *instanceCalls) heartbeat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, beatBytes))
	if err != nil {
		refuse(w, http.StatusBadRequest, "the heartbeat's body can't be read")
		return
	}
	var b config.Heartbeat
	if err := b.UnmarshalJSON(body); err != nil || !json.Valid(body) {
		refuse(w, http.StatusBadRequest, "the heartbeat is not as it should be")
		return
	}
	id := registry.InstanceID(r.PathValue("id"))
	if id == "" || b.Service == "" || b.Address == "" {
		refuse(w, http.StatusBadRequest, "a heartbeat names its instance, service and address")
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

func (c *instanceCalls) signOff(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, beatBytes))
	id := registry.InstanceID(r.PathValue("id"))
	c.take(w, r, func(now time.Duration) { c.h.table.Deregister(id, now) })
}

// takenReport is what became of a report.
type takenReport struct {
	wait  *spread // until a majority of the core holds it; nil = it does, or need not
	alone bool    // this machine hears too few of the core
}

// take hands a report to the owner. What takes a server out is acknowledged only when a majority of the core holds it, so
// that it is not lost with this machine.
func (c *instanceCalls) take(w http.ResponseWriter, r *http.Request, report func(now time.Duration)) {
	h, id := c.h, registry.InstanceID(r.PathValue("id"))
	taken, written := inquire(h, func() takenReport { return h.takeReport(id, report) })
	if !written {
		refuse(w, http.StatusServiceUnavailable, "this machine is leaving")
		return
	}
	if taken.wait != nil {
		select {
		case <-taken.wait.done:
		case <-time.After(spreadLimit):
			refuse(w, http.StatusServiceUnavailable, "too few of the core have heard of it yet")
			return
		case <-h.stopped:
			refuse(w, http.StatusServiceUnavailable, "this machine is leaving")
			return
		}
	}
	if taken.alone { // it is written down; but the others may not hear of it, and would hold the server for silent
		refuse(w, http.StatusServiceUnavailable, "this machine is cut off from the core: call another")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write([]byte("{}"))
}

// takeReport takes what a server says of itself.
func (h *Hive) takeReport(id registry.InstanceID, report func(now time.Duration)) (t takenReport) {
	now, before := h.now(), h.table.Cursor()
	t.alone = now > settledFor && !h.inContact(now)
	report(now)
	changed := h.table.ChangesAfter(before)
	for _, o := range changed {
		if o.State != registry.Ready {
			t.wait = &spread{cursor: h.table.Cursor(), done: make(chan struct{}), until: now + spreadLimit}
		}
	}
	if t.wait == nil {
		// A call sent again: the first one may not have been borne yet.
		if o := h.table.Get(id); o != nil && o.State != registry.Ready {
			t.wait = &spread{cursor: h.table.LastChange(id), done: make(chan struct{}), until: now + spreadLimit}
		}
	}
	if len(changed) > 0 {
		h.news(t.wait != nil)
	}
	if t.wait != nil {
		if h.borne(t.wait.cursor) {
			t.wait = nil
		} else {
			h.spreads = append(h.spreads, t.wait)
			h.hurry()
		}
	}
	return t
}

// configurationCalls are what the operator wants.
type configurationCalls struct{ h *Hive }

// readOrder reads the body of an order and the version that it builds on. A body that was cut off on its way says nothing
// of the order: another copy of it may have been agreed, so that it is not refused for good.
func readOrder(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, basedOn consensus.Version, ok bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		refuse(w, http.StatusRequestEntityTooLarge, "the document is longer than "+strconv.FormatInt(limit, 10)+" bytes")
		return nil, 0, false
	case err != nil:
		refuse(w, http.StatusRequestTimeout, "the document did not come whole: send it again")
		return nil, 0, false
	}
	version, err := strconv.ParseUint(strings.TrimSpace(r.Header.Get(basedOnField)), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, basedOnField+" is missing or not a version")
		return nil, 0, false
	}
	return body, consensus.Version(version), true
}

// orderLimit is how long an order may take: a long one is sent to others, and stored, for longer.
func orderLimit(body []byte) time.Duration {
	return agreeLimit + time.Duration(len(body)/1000)*time.Millisecond
}

func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return string(sum[:])
}

// recallFate asks the ledger for an order whose fate the newest value does not tell.
func (h *Hive) recallFate(fate consensus.Outcome, held func(l *consensus.History) bool) consensus.Outcome {
	if fate != consensus.OutcomeUnknown {
		return fate
	}
	if found, ok := inquire(h, func() bool { return held(&h.ledger) }); ok && found {
		return consensus.OutcomeCommitted
	}
	return consensus.OutcomeUnknown
}

// refuseUnclear leaves an order without a clear answer.
func refuseUnclear(w http.ResponseWriter, basedOn, inPlace consensus.Version) {
	if basedOn > inPlace {
		refuse(w, http.StatusServiceUnavailable, "version "+text(basedOn)+", on which it builds, is not in place yet: "+text(inPlace)+" is")
		return
	}
	refuse(w, http.StatusServiceUnavailable, "its fate is not known any more: version "+text(inPlace)+" is in place")
}

func text(v consensus.Version) string { return strconv.FormatUint(uint64(v), 10) }

func acknowledge(w http.ResponseWriter, version consensus.Version) {
	w.Header().Set("Content-Type", "application/json")
	w.Write([]byte(`{"version":` + text(version) + `}`))
}

func (c *configurationCalls) replace(w http.ResponseWriter, r *http.Request) {
	body, basedOn, ok := readOrder(w, r, configBytes)
	if !ok {
		return
	}
	conf, err := config.Parse(body)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	// What is wrong with it by itself was wrong whenever it was sent: it was never taken.
	if faults := conf.Validate(); len(faults) > 0 {
		refuse(w, http.StatusBadRequest, strings.Join(faults, "; "))
		return
	}
	call := consensus.ChangeRequest{Version: consensus.Version(conf.Version), BasedOn: basedOn, Digest: digestOf(body), Body: body}
	ctx, cancel := context.WithTimeout(r.Context(), orderLimit(body))
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
		refuse(w, http.StatusServiceUnavailable, "the core could not agree in time: send it again")
		return
	}
	fate = c.h.recallFate(fate, func(l *consensus.History) bool { return l.ContainsChange(call) })
	if fate != consensus.OutcomeCommitted {
		c.h.log.Info().Uint64("version", conf.Version).Uint64("based_on", uint64(basedOn)).Uint64("in_place", uint64(inPlace)).Stringer("fate", fate).Msg("config: not taken")
	}
	switch fate {
	case consensus.OutcomeCommitted:
		c.h.log.Info().Uint64("version", conf.Version).Uint64("turn", uint64(v.Slot)).Dur("took", time.Since(began)).Msg("config: acknowledged")
		acknowledge(w, call.Version)
	case consensus.OutcomeVersionTooLow:
		refuse(w, http.StatusBadRequest, "the version is not above "+text(basedOn)+", on which it builds")
	case consensus.OutcomeConflict:
		refuse(w, http.StatusPreconditionFailed, "version "+text(inPlace)+" is in place")
	default:
		refuseUnclear(w, basedOn, inPlace)
	}
}

// read makes sure of the newest value by a round: a machine that lags must not answer with an old one.
func (c *configurationCalls) read(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), agreeLimit)
	defer cancel()
	v, err := c.h.propose(ctx, func(v *consensus.Value) *consensus.Value { return v })
	switch {
	case errors.Is(err, errUndecided):
		refuse(w, http.StatusServiceUnavailable, "the core could not make sure of the newest version in time")
	case v.Digest == "":
		refuse(w, http.StatusNotFound, "there is no configuration yet")
	default:
		w.Header().Set("Content-Type", "application/json")
		w.Write(v.Body)
	}
}
