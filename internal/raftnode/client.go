package raftnode

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"oxbowspan/internal/keyring"
	"oxbowspan/maintenance"
)

// Client asks the stewards, whoever leads.
type Client struct {
	from     string
	voters   []Voter
	keys     *keyring.Ring
	http     *http.Client
	sequence sequence
	next     int // the steward that is asked first: the last one known to lead
}

// NewClient speaks as from. It is used by one goroutine.
func NewClient(from string, f Options) *Client {
	return &Client{from: from, voters: f.Voters, keys: f.Keys, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
}

// Close ends its connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// requestTimeout is how long one steward is waited for: three of them fit into a lease.
const requestTimeout = 700 * time.Millisecond

// ErrNoLeader says that no steward could answer for the fleet.
var ErrNoLeader = errors.New("no steward that leads could be reached")

func (c *Client) roundTrip(ctx context.Context, q request) (response, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return response{}, err
	}
	last := error(ErrNoLeader)
	for range 2 * (len(c.voters) + 1) {
		one, cancel := context.WithTimeout(ctx, requestTimeout)
		b, err := post(one, c.http, c.keys, c.voters[c.next].Addr, pathCommand, c.from, c.sequence.next(), body)
		cancel()
		var a response
		if err == nil {
			err = json.Unmarshal(b, &a)
		}
		switch {
		case err != nil:
			last = fmt.Errorf("%w: %w", ErrNoLeader, err)
		case a.MinSequence > 0:
			c.sequence.raise(a.MinSequence)
			last = ErrNoLeader
			continue // the same one again
		case !a.NotLeader:
			return a, nil
		default:
			last = ErrNoLeader
			if at := c.voterIndex(a.Leader); at >= 0 && at != c.next {
				c.next = at
				continue
			}
		}
		if ctx.Err() != nil {
			return response{}, ctx.Err()
		}
		c.next = (c.next + 1) % len(c.voters)
	}
	return response{}, last
}

func (c *Client) voterIndex(name string) int {
	for i, s := range c.voters {
		if s.Name == name {
			return i
		}
	}
	return -1
}

// Do has a command carried out. Its error says in a sentence why nothing changed, or that nobody knows.
func (c *Client) Do(ctx context.Context, command maintenance.Command) (*maintenance.Permit, error) {
	a, err := c.roundTrip(ctx, request{Command: &command})
	switch {
	case err != nil:
		return nil, err
	case a.Refused:
		return nil, &remoteError{a.Error, maintenance.ErrRefused}
	case a.Stale:
		return nil, &remoteError{a.Error, maintenance.ErrStale}
	case a.Error != "":
		return nil, errors.New(a.Error)
	}
	return a.Permit, nil
}

// State is the fleet's state, and who leads. Without a leader it is what one steward knew last, and leader is "".
func (c *Client) State(ctx context.Context) (s *maintenance.State, leader string, err error) {
	a, err := c.roundTrip(ctx, request{State: true})
	if err == nil && a.State != nil {
		return a.State, a.Leader, nil
	}
	for _, st := range c.voters { // nobody leads: what any of them knows
		one, cancel := context.WithTimeout(ctx, requestTimeout)
		b, perr := post(one, c.http, c.keys, st.Addr, pathCommand, c.from, c.sequence.next(), []byte(`{"state":true}`))
		cancel()
		if perr == nil && json.Unmarshal(b, &a) == nil && a.State != nil {
			return a.State, "", nil
		}
	}
	if err == nil {
		err = ErrNoLeader
	}
	return nil, "", err
}

// remoteError is an error of the machine, in its words.
type remoteError struct {
	text  string
	cause error
}

func (t *remoteError) Error() string { return t.text }
func (t *remoteError) Unwrap() error { return t.cause }
