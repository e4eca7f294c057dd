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

	"oxbowspan/internal/keyring"
	"oxbowspan/maintenance"
)

// The protocol is unencrypted HTTP on the addresses of the fleet's interface. In each direction a MAC covers the path,
// the sender, the sequence number and the body. Each sequence number is larger than all previous ones of the same
// sender. The MAC of a response covers the sequence number of the request, so that an old response cannot be replayed
// as the response to a later request.
const (
	pathRaft    = "/fleet/v1/raft" // messages between voters
	pathCommand = "/fleet/v1/say"  // commands and queries

	headerKey    = "Fleet-Key"
	headerMAC    = "Fleet-Mac"
	headerFrom   = "Fleet-From"
	headerNumber = "Fleet-Number"

	macPurpose = "fleet"

	// maxRequestBody bounds the body, in bytes, that is read before a request is authenticated. A snapshot of 1000
	// members has a third of this size.
	maxRequestBody  = 1 << 20
	maxResponseBody = 8 * maxRequestBody
)

// errUnauthenticated is returned for a message without a valid MAC by the fleet's keys. No further detail is disclosed
// to the sender.
var errUnauthenticated = errors.New("the message has no valid MAC by the fleet's keys")

// envelope holds the fields that a MAC authenticates in addition to the body.
type envelope struct {
	path     string
	sender   string
	sequence uint64
}

// signedText returns the text that the MAC covers.
func (e envelope) signedText(body []byte) []byte {
	return append(fmt.Appendf(nil, "%s\n%s\n%d\n", e.path, e.sender, e.sequence), body...)
}

// sign sets the headers of a message, including its MAC.
func (e envelope) sign(keys *keyring.Ring, h http.Header, body []byte) {
	id, mac := keys.Sign(macPurpose, e.signedText(body))
	h.Set(headerKey, id)
	h.Set(headerMAC, base64.StdEncoding.EncodeToString(mac))
	h.Set(headerFrom, e.sender)
	h.Set(headerNumber, strconv.FormatUint(e.sequence, 10))
}

// verify reads the headers of a message and verifies its MAC. The only error is errUnauthenticated.
func verify(keys *keyring.Ring, h http.Header, path string, body []byte) (envelope, error) {
	sequence, err := strconv.ParseUint(h.Get(headerNumber), 10, 64)
	if err != nil {
		return envelope{}, errUnauthenticated
	}
	e := envelope{path: path, sender: h.Get(headerFrom), sequence: sequence}
	mac, err := base64.StdEncoding.DecodeString(h.Get(headerMAC))
	if err != nil || !keys.Verify(macPurpose, h.Get(headerKey), e.signedText(body), mac) {
		return envelope{}, errUnauthenticated
	}
	return e, nil
}

// request is the body of a request to a voter: either a command or a query of the state.
type request struct {
	Command *maintenance.Command `json:"command,omitempty"`
	State   bool                 `json:"state,omitempty"`
}

// response is the body of a voter's response.
type response struct {
	Leader         string              `json:"leader,omitempty"`  // name of the leader; "" = not known
	NotLeader      bool                `json:"not_me,omitempty"`  // the request must be sent to the leader instead
	Error          string              `json:"error,omitempty"`   // why the command changed nothing
	Refused        bool                `json:"refused,omitempty"` // the error is maintenance.ErrRefused
	Stale          bool                `json:"stale,omitempty"`   // the error is maintenance.ErrStale
	OutcomeUnknown bool                `json:"unsure,omitempty"`  // the error is raftlog.ErrOutcomeUnknown
	MinSequence    uint64              `json:"least,omitempty"`   // rejected as a replay: the sender's next number must be larger
	Permit         *maintenance.Permit `json:"permit,omitempty"`  // granted to the member, or its active permit after a Renew
	State          *maintenance.State  `json:"state,omitempty"`
}

// post sends a signed message to a voter and returns the body of the response after checking its MAC.
func post(ctx context.Context, client *http.Client, keys *keyring.Ring, addr string, e envelope, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+e.path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	e.sign(keys, req.Header, body)
	res, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBody))
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s responds %s", addr, res.Status)
	}
	if responseEnvelope, err := verify(keys, res.Header, e.path, responseBody); err != nil || responseEnvelope.sequence != e.sequence {
		return nil, fmt.Errorf("response of %s: %w", addr, errUnauthenticated)
	}
	return responseBody, nil
}
