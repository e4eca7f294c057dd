package raftnode

import (
	"bytes"
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"oxbowspan/internal/keyring"
	"oxbowspan/maintenance"
)

// Messages between gatherers are plain HTTP on the fleet's own address, each way under a keyed MAC over the path, who says it, its
// number and the body. A number is larger than all before of the same speaker; an answer's MAC holds the question's number, so that no
// old answer passes for a new one.
const (
	pathRaft    = "/fleet/v1/raft"
	pathCommand = "/fleet/v1/say"

	headerKey    = "Fleet-Key"
	headerMAC    = "Fleet-Mac"
	headerFrom   = "Fleet-From"
	headerNumber = "Fleet-Number"

	macPurpose = "fleet"
	// maxBody bounds what is read of a stranger: a snapshot of a thousand members is a third of it.
	maxBody = 1 << 20
)

// errUnauthenticated says that a message does not bear the fleet's mark. It is told to nobody but the log, once a minute at most.
var errUnauthenticated = errors.New("a message does not bear a mark of the fleet's keys")

func sign(keys *keyring.Ring, h http.Header, path, from string, no uint64, body []byte) {
	id, mac := keys.Sign(macPurpose, signedText(path, from, no, body))
	h.Set(headerKey, id)
	h.Set(headerMAC, base64.StdEncoding.EncodeToString(mac))
	h.Set(headerFrom, from)
	h.Set(headerNumber, strconv.FormatUint(no, 10))
}

func signedText(path, from string, no uint64, body []byte) []byte {
	return append(fmt.Appendf(nil, "%s\n%s\n%d\n", path, from, no), body...)
}

// verify reads who says a message and its number; an error where its mark is not the fleet's.
func verify(keys *keyring.Ring, h http.Header, path string, body []byte) (from string, no uint64, err error) {
	from = h.Get(headerFrom)
	if no, err = strconv.ParseUint(h.Get(headerNumber), 10, 64); err != nil {
		return "", 0, errUnauthenticated
	}
	mac, err := base64.StdEncoding.DecodeString(h.Get(headerMAC))
	if err != nil || !keys.Verify(macPurpose, h.Get(headerKey), signedText(path, from, no, body), mac) {
		return "", 0, errUnauthenticated
	}
	return from, no, nil
}

// said is a question to a steward, and answer what comes back.
type (
	request struct {
		Command *maintenance.Command `json:"command,omitempty"`
		State   bool                 `json:"state,omitempty"` // the state is asked for
	}
	response struct {
		Leader         string              `json:"leader,omitempty"` // who leads, as far as is known
		NotLeader      bool                `json:"not_me,omitempty"` // that one is to be asked
		Error          string              `json:"error,omitempty"`
		Refused        bool                `json:"refused,omitempty"` // a limit holds: asking again later may do
		Stale          bool                `json:"stale,omitempty"`
		OutcomeUnknown bool                `json:"unsure,omitempty"`
		MinSequence    uint64              `json:"least,omitempty"`  // the speaker's next number must be above it
		Permit         *maintenance.Permit `json:"permit,omitempty"` // of the member that asked or renewed
		State          *maintenance.State  `json:"state,omitempty"`
	}
)

// sequence are a speaker's: they grow over restarts, as they begin with the time.
type sequence struct{ last atomic.Uint64 }

func (n *sequence) next() uint64 {
	for {
		was := n.last.Load()
		now := max(was+1, uint64(time.Now().UnixNano()))
		if n.last.CompareAndSwap(was, now) {
			return now
		}
	}
}

// raise lets the next number be above one that a steward holds for the last.
func (n *sequence) raise(least uint64) {
	for was := n.last.Load(); was < least && !n.last.CompareAndSwap(was, least); was = n.last.Load() {
	}
}

// post sends a body and returns the answer's, whose mark is checked.
func post(ctx context.Context, c *http.Client, keys *keyring.Ring, addr, path, from string, no uint64, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	sign(keys, req.Header, path, from, no, body)
	res, err := c.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	got, err := io.ReadAll(io.LimitReader(res.Body, 8*maxBody))
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s answers %s", addr, res.Status)
	}
	if _, answered, err := verify(keys, res.Header, path, got); err != nil || answered != no {
		return nil, fmt.Errorf("the answer of %s: %w", addr, errUnauthenticated)
	}
	return got, nil
}
