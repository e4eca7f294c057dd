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

// requestTimeout is how long a client waits for one voter: three such waits fit into a lease.
const requestTimeout = 700 * time.Millisecond

// ErrNoLeader is returned where no voter could be reached that is the leader.
var ErrNoLeader = errors.New("no voter that is the leader could be reached")

// Client sends commands and queries to whichever voter is the leader. It is not safe for concurrent use.
type Client struct {
	sender   string
	voters   []Voter
	keys     *keyring.Ring
	http     *http.Client
	sequence sequence
	next     int // index of the voter to ask first: the last known leader
}

// NewClient returns a client that identifies itself as sender.
func NewClient(sender string, voters []Voter, keys *keyring.Ring) *Client {
	return &Client{sender: sender, voters: voters, keys: keys, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
}

// Close closes the client's connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do executes a command. The error wraps maintenance.ErrRefused or ErrStale, raftlog.ErrOutcomeUnknown or ErrNoLeader where it is one
// of these.
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

// State returns the fleet's state and the leader's name. Without a leader it is the last state that one of the voters knows, and the
// name is "".
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

// roundTrip asks the voters in turn, or the one that another names as leader, until the leader responds.
func (c *Client) roundTrip(ctx context.Context, r request) (response, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return response{}, err
	}
	lastErr := error(ErrNoLeader)
	for range 2 * (len(c.voters) + 1) {
		res, err := c.post(ctx, c.voters[c.next], body)
		switch {
		case err != nil:
			lastErr = fmt.Errorf("%w: %w", ErrNoLeader, err)
		case res.MinSequence > 0:
			c.sequence.raise(res.MinSequence)
			lastErr = ErrNoLeader
			continue // with the same voter
		case !res.NotLeader:
			return res, nil
		default:
			lastErr = ErrNoLeader
			if leader := c.voterIndex(res.Leader); leader >= 0 && leader != c.next {
				c.next = leader
				continue
			}
		}
		if ctx.Err() != nil {
			return response{}, ctx.Err()
		}
		c.next = (c.next + 1) % len(c.voters)
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

// voterIndex returns the index of a voter by name; -1 = there is none.
func (c *Client) voterIndex(name string) int {
	return slices.IndexFunc(c.voters, func(v Voter) bool { return v.Name == name })
}

// remoteError is an error that the leader has reported, with its text and the sentinel error that it is.
type remoteError struct {
	text  string
	cause error
}

func (e *remoteError) Error() string { return e.text }
func (e *remoteError) Unwrap() error { return e.cause }
