package raftnode

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"oxbowspan/internal/keyring"
	"oxbowspan/maintenance"
	"oxbowspan/raftlog"
)

// requestTimeout bounds a request to one voter. It is chosen so that three such timeouts fit into a lease.
const requestTimeout = 700 * time.Millisecond

// ErrNoLeader is returned if none of the voters that could be reached is the leader.
var ErrNoLeader = errors.New("no voter that is the leader could be reached")

// Client sends commands and queries to the current leader. It is not safe for concurrent use.
type Client struct {
	sender         string
	voters         []Voter
	keys           *keyring.Ring
	http           *http.Client
	sequence       sequence
	preferredVoter int // index of the voter to try first, which is the last known leader
}

// NewClient returns a client that identifies itself as sender.
func NewClient(sender string, voters []Voter, keys *keyring.Ring) *Client {
	return &Client{sender: sender, voters: voters, keys: keys, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
}

// Close closes the client's connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do executes a command and returns the resulting permit, if there is one. The error wraps maintenance.ErrRefused,
// maintenance.ErrStale, raftlog.ErrOutcomeUnknown or ErrNoLeader where one of these applies.
func (c *Client) Do(ctx context.Context, command maintenance.Command) (*maintenance.Permit, error) {
	res, err := c.roundTrip(ctx, request{Command: &command})
	switch {
	case err != nil:
		return nil, err
	case res.Refused:
		return nil, &remoteError{res.Error, maintenance.ErrRefused}
	case res.Stale:
		return nil, &remoteError{res.Error, maintenance.ErrStale}
	case res.OutcomeUnknown:
		return nil, &remoteError{res.Error, raftlog.ErrOutcomeUnknown}
	case res.Error != "":
		return nil, &remoteError{res.Error, nil}
	}
	return res.Permit, nil
}

// State returns the state of the fleet and the name of the leader. Without a leader it returns the state of the first
// voter that responds with one, which may be out of date, and the name "".
func (c *Client) State(ctx context.Context) (s *maintenance.State, leader string, err error) {
	query := request{State: true}
	res, err := c.roundTrip(ctx, query)
	if err == nil && res.State != nil {
		return res.State, res.Leader, nil
	}
	if err == nil {
		err = ErrNoLeader
	}
	body, marshalErr := json.Marshal(query)
	if marshalErr != nil {
		return nil, "", marshalErr
	}
	for _, voter := range c.voters {
		if res, postErr := c.post(ctx, voter, body); postErr == nil && res.State != nil {
			return res.State, "", nil
		}
	}
	return nil, "", err
}

// roundTrip sends a request to the voters in turn until the leader responds. If a voter names another one as the
// leader, it tries that one next.
func (c *Client) roundTrip(ctx context.Context, r request) (response, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return response{}, err
	}
	lastErr := error(ErrNoLeader)
	for range 2 * (len(c.voters) + 1) {
		res, err := c.post(ctx, c.voters[c.preferredVoter], body)
		switch {
		case err != nil:
			lastErr = fmt.Errorf("%w: %w", ErrNoLeader, err)
		case res.MinSequence > 0:
			c.sequence.raise(res.MinSequence)
			lastErr = ErrNoLeader
			continue // repeat the request to the same voter
		case !res.NotLeader:
			return res, nil
		default:
			lastErr = ErrNoLeader
			if leader := c.voterIndex(res.Leader); leader >= 0 && leader != c.preferredVoter {
				c.preferredVoter = leader
				continue
			}
		}
		if ctx.Err() != nil {
			return response{}, ctx.Err()
		}
		c.preferredVoter = (c.preferredVoter + 1) % len(c.voters)
	}
	return response{}, lastErr
}

// post sends a request to one voter.
func (c *Client) post(ctx context.Context, voter Voter, body []byte) (res response, err error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	raw, err := post(ctx, c.http, c.keys, voter.Addr, envelope{pathCommand, c.sender, c.sequence.next()}, body)
	if err != nil {
		return response{}, err
	}
	err = json.Unmarshal(raw, &res)
	return res, err
}

// voterIndex returns the index of the voter with a name; -1 = there is none.
func (c *Client) voterIndex(name string) int {
	return slices.IndexFunc(c.voters, func(v Voter) bool { return v.Name == name })
}

// remoteError is an error that the leader reported.
type remoteError struct {
	text  string
	cause error // sentinel error that it wraps; nil = none
}

func (e *remoteError) Error() string { return e.text }
func (e *remoteError) Unwrap() error { return e.cause }
