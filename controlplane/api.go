package controlplane

import (
	"encoding/json"
	"net/http"
)

// apiError is an error response. Its JSON form, {"error": message}, is part of the API.
type apiError struct {
	status  int // HTTP status code
	message string
}

func (e *apiError) Error() string { return e.message }

var (
	errStopping      = &apiError{http.StatusServiceUnavailable, "this controller is shutting down"}
	errIsolated      = &apiError{http.StatusServiceUnavailable, "this controller has no contact with a majority: call another"}
	errNotReplicated = &apiError{http.StatusServiceUnavailable, "no majority has the report yet"}
	errNotDecided    = &apiError{http.StatusServiceUnavailable, "no majority answered in time: send it again"}
	errNotVerified   = &apiError{http.StatusServiceUnavailable, "no majority confirmed the newest version in time"}
)

// handler returns the HTTP handler of the API for servers and operators.
func (c *Controller) handler() http.Handler {
	mux := http.NewServeMux()
	instances := &instanceAPI{loop: c.loop, table: c.table, heartbeats: c.heartbeats}
	mux.HandleFunc("POST /-/instances/{id}/heartbeat", instances.heartbeat)
	mux.HandleFunc("POST /-/instances/{id}/sign-off", instances.signOff)
	values := &valueReader{loop: c.loop, clock: c.clock, learner: c.learner, verifier: c.verifier, proposer: c.proposer}
	changes := newChangeService(c.loop, c.learner, c.proposer)
	for _, r := range []resource{configurationResource(), tenantsResource(), pinsResource()} {
		api := &resourceAPI{resource: r, values: values, changes: changes, log: c.log}
		mux.HandleFunc("POST /-/"+r.name+"/replace", api.replace)
		mux.HandleFunc("GET /-/"+r.name+"/read", api.read)
	}
	status := &statusAPI{
		self: c.self, loop: c.loop, clock: c.clock, learner: c.learner, values: values, contact: c.contact, verifier: c.verifier,
		completion: c.completion, placement: c.membership, peers: c.peers, gateways: c.gateways, table: c.table, events: c.events,
	}
	mux.HandleFunc("GET /-/configuration/history", status.history)
	mux.HandleFunc("GET /-/members/read", status.members)
	mux.HandleFunc("GET /-/nodes/read", status.listGateways)
	mux.HandleFunc("GET /-/servers/read", status.servers)
	mux.HandleFunc("GET /-/events/read", status.listEvents)
	rollouts := &rolloutAPI{loop: c.loop, rollouts: c.rollouts, values: values, proposer: c.proposer, log: c.log}
	mux.HandleFunc("POST /-/rollouts/begin", rollouts.begin)
	mux.HandleFunc("GET /-/rollouts/read", rollouts.list)
	restored := &resourceAPI{resource: rolloutsResource(), values: values, changes: changes, log: c.log}
	mux.HandleFunc("POST /-/rollouts/replace", restored.replace)
	mux.HandleFunc("GET /-/rollouts/{service}/read", rollouts.read)
	mux.HandleFunc("POST /-/rollouts/{service}/revert", rollouts.revert)
	stats := &gatewayStatsAPI{loop: c.loop, clock: c.clock, verifier: c.verifier, gateways: c.gateways}
	mux.HandleFunc("GET /-/tenants/explain", stats.tenants)
	mux.HandleFunc("GET /-/judgement/explain", stats.outliers)
	return mux
}

func writeError(w http.ResponseWriter, e *apiError) {
	body, _ := json.Marshal(map[string]string{"error": e.message})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.status)
	w.Write(body)
}

func writeBody(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Write(body)
}

func writeJSON(w http.ResponseWriter, out any) {
	body, err := json.Marshal(out)
	if err != nil {
		writeError(w, &apiError{http.StatusInternalServerError, err.Error()})
		return
	}
	writeBody(w, body)
}

// serveLocal answers a request from this controller's state, without contacting other controllers.
func serveLocal[T any](loop *eventLoop, w http.ResponseWriter, read func() T) {
	out, ok := query(loop, read)
	if !ok {
		writeError(w, errStopping)
		return
	}
	writeJSON(w, out)
}

// serveVerified answers a request from this controller's state once a majority of the members has replied to messages that were
// sent after the request arrived. Without this check the state might be out of date.
func serveVerified[T any](loop *eventLoop, clock *monotonicClock, verifier *contactVerifier, w http.ResponseWriter, read func() T) {
	responses := make(chan func(), 1)
	loop.post(func() {
		verifier.verify(clock.now(), func(verified bool) {
			if !verified {
				responses <- func() { writeError(w, errIsolated) }
				return
			}
			out := read()
			responses <- func() { writeJSON(w, out) }
		})
	})
	select {
	case respond := <-responses:
		respond()
	case <-loop.stopped:
		writeError(w, errStopping)
	}
}
