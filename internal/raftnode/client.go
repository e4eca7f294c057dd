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
	stewards []Address
	keys     *keyring.Ring
	http     *http.Client
	no       numbers
	next     int // the steward that is asked first: the last one known to lead
}

// NewClient speaks as from. It is used by one goroutine.
func NewClient(from string, f Figures) *Client {
	return &Client{from: from, stewards: f.Stewards, keys: f.Keys, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
}

// Close ends its connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// oneAsk is how long one steward is waited for: three of them fit into a lease.
const oneAsk = 700 * time.Millisecond

// ErrNobody says that no steward could answer for the fleet.
var ErrNobody = errors.New("no steward that leads could be reached")

func (c *Client) ask(ctx context.Context, q said) (answer, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return answer{}, err
	}
	last := error(ErrNobody)
	for range 2 * (len(c.stewards) + 1) {
		one, cancel := context.WithTimeout(ctx, oneAsk)
		b, err := post(one, c.http, c.keys, c.stewards[c.next].Addr, pathSay, c.from, c.no.next(), body)
		cancel()
		var a answer
		if err == nil {
			err = json.Unmarshal(b, &a)
		}
		switch {
		case err != nil:
			last = fmt.Errorf("%w: %w", ErrNobody, err)
		case a.Least > 0:
			c.no.above(a.Least)
			last = ErrNobody
			continue // the same one again
		case !a.NotMe:
			return a, nil
		default:
			last = ErrNobody
			if at := c.place(a.Leader); at >= 0 && at != c.next {
				c.next = at
				continue
			}
		}
		if ctx.Err() != nil {
			return answer{}, ctx.Err()
		}
		c.next = (c.next + 1) % len(c.stewards)
	}
	return answer{}, last
}

func (c *Client) place(name string) int {
	for i, s := range c.stewards {
		if s.Name == name {
			return i
		}
	}
	return -1
}

// Do has a command carried out. Its error says in a sentence why nothing changed, or that nobody knows.
func (c *Client) Do(ctx context.Context, command maintenance.Command) (*maintenance.Permit, error) {
	a, err := c.ask(ctx, said{Command: &command})
	switch {
	case err != nil:
		return nil, err
	case a.Refused:
		return nil, &told{a.Error, maintenance.ErrRefused}
	case a.Stale:
		return nil, &told{a.Error, maintenance.ErrStale}
	case a.Error != "":
		return nil, errors.New(a.Error)
	}
	return a.Permit, nil
}

// State is the fleet's state, and who leads. Without a leader it is what one steward knew last, and leader is "".
func (c *Client) State(ctx context.Context) (s *maintenance.State, leader string, err error) {
	a, err := c.ask(ctx, said{State: true})
	if err == nil && a.State != nil {
		return a.State, a.Leader, nil
	}
	for _, st := range c.stewards { // nobody leads: what any of them knows
		one, cancel := context.WithTimeout(ctx, oneAsk)
		b, perr := post(one, c.http, c.keys, st.Addr, pathSay, c.from, c.no.next(), []byte(`{"state":true}`))
		cancel()
		if perr == nil && json.Unmarshal(b, &a) == nil && a.State != nil {
			return a.State, "", nil
		}
	}
	if err == nil {
		err = ErrNobody
	}
	return nil, "", err
}

// told is an error of the machine, in its words.
type told struct {
	text string
	is   error
}

func (t *told) Error() string { return t.text }
func (t *told) Unwrap() error { return t.is }
