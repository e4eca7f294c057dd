package raftnode

import (
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"oxbowspan/maintenance"
	"oxbowspan/raftlog"
)

// rejectionLogInterval is the minimum time between two log entries about rejected messages.
const rejectionLogInterval = time.Minute

// authenticate reads the body of a request and verifies its MAC. If this fails, it sends the error response and returns false.
func (n *Node) authenticate(w http.ResponseWriter, r *http.Request, path string) (body []byte, e envelope, ok bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBody))
	if err == nil {
		e, err = verify(n.options.Keys, r.Header, path, body)
	}
	if err != nil {
		n.logRejection(r.RemoteAddr, path, err)
		http.Error(w, "no", http.StatusForbidden)
		return nil, envelope{}, false
	}
	return body, e, true
}

// logRejection logs a rejected message, at most once per rejectionLogInterval.
func (n *Node) logRejection(remote, path string, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if time.Since(n.lastRejectionLogged) > rejectionLogInterval {
		n.lastRejectionLogged = time.Now()
		slog.Warn("fleet_request_rejected", "remote", remote, "path", path, "error", err)
	}
}

// raftMessage is the event that a message from another voter has arrived.
type raftMessage struct{ *pb.Message }

func (m raftMessage) handle(n *Node) {
	_ = n.log.Step(m.Message) // an error is expected for a message from an earlier term
}

// handleRaft receives messages from other voters. It does not filter replays, which are harmless: their term or index
// is out of date.
func (n *Node) handleRaft(w http.ResponseWriter, r *http.Request) {
	body, e, ok := n.authenticate(w, r, pathRaft)
	if !ok {
		return
	}
	m := &pb.Message{}
	if err := proto.Unmarshal(body, m); err != nil || raftlog.ID(m.GetTo()) != n.id {
		http.Error(w, "not a message for this voter", http.StatusBadRequest)
		return
	}
	n.enqueue(raftMessage{m})
	envelope{pathRaft, n.options.Name, e.sequence}.sign(n.options.Keys, w.Header(), nil)
}

// pendingRequest is the event that a request has arrived. reply is buffered, so that sending the only response does not block.
type pendingRequest struct {
	request
	reply chan response
}

// handleCommand serves commands and queries.
func (n *Node) handleCommand(w http.ResponseWriter, r *http.Request) {
	body, e, ok := n.authenticate(w, r, pathCommand)
	if !ok {
		return
	}
	n.mu.Lock()
	isNew, last := n.replays.Accept(e.sender, e.sequence)
	n.mu.Unlock()
	if !isNew { // a replay, or a sender whose clock is behind: the signed response contains the number to exceed
		n.respond(w, e.sequence, response{MinSequence: last, NotLeader: true})
		return
	}
	pending := pendingRequest{reply: make(chan response, 1)}
	if err := json.Unmarshal(body, &pending.request); err != nil {
		http.Error(w, "malformed request", http.StatusBadRequest)
		return
	}
	res := response{Error: "this voter is overloaded", NotLeader: true}
	if n.enqueue(pending) {
		select {
		case res = <-pending.reply:
		case <-r.Context().Done():
			return
		case <-n.ctx.Done():
			return
		}
	}
	n.respond(w, e.sequence, res)
}

// respond sends a signed response to the request with a sequence number.
func (n *Node) respond(w http.ResponseWriter, sequence uint64, res response) {
	body, err := json.Marshal(res)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	envelope{pathCommand, n.options.Name, sequence}.sign(n.options.Keys, w.Header(), body)
	w.Write(body)
}

// handle responds to a query, or proposes a command and responds with its result.
func (r pendingRequest) handle(n *Node) {
	if r.Command == nil {
		r.reply <- n.queryState()
		return
	}
	n.log.Propose(*r.Command, func(result maintenance.Result, err error) {
		r.reply <- n.commandResponse(*r.Command, result, err)
	})
}

// queryState returns the response to a query. It contains the state if this voter is the leader or no leader is known.
func (n *Node) queryState() response {
	res := response{Leader: n.leaderName(), NotLeader: !n.log.IsLeader()}
	if !res.NotLeader || res.Leader == "" {
		res.State = n.copyState()
	}
	return res
}

// commandResponse returns the response to a command that was applied or has failed.
func (n *Node) commandResponse(c maintenance.Command, result maintenance.Result, err error) response {
	res := response{Leader: n.leaderName(), Permit: result.Permit}
	if err != nil {
		res.Error = err.Error()
		res.Refused = errors.Is(err, maintenance.ErrRefused)
		res.Stale = errors.Is(err, maintenance.ErrStale)
		res.NotLeader = errors.Is(err, raftlog.ErrNotLeader)
		res.OutcomeUnknown = errors.Is(err, raftlog.ErrOutcomeUnknown)
		return res
	}
	if c.Renew != nil {
		if member := n.log.State().Members[c.Renew.Name]; member != nil {
			res.Permit = member.ActivePermit()
		}
	}
	return res
}

// leaderName returns the name of the leader; "" = no leader is known.
func (n *Node) leaderName() string {
	if id := n.log.Leader(); id > 0 && int(id) <= len(n.options.Voters) {
		return n.options.Voters[id-1].Name
	}
	return ""
}

// copyState returns a copy of the state, because only the node's goroutine may access the state itself; nil = copying failed.
func (n *Node) copyState() *maintenance.State {
	snapshot, err := n.log.State().Snapshot()
	if err != nil {
		return nil
	}
	state, err := maintenance.Restore(snapshot)
	if err != nil {
		return nil
	}
	return state
}
