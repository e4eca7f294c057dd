package controlclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"oxbowspan/controlapi"
)

// Listing is the merged result of all controllers that responded. The methods that return a Listing fail only if no controller returned a
// usable response. The error is then that of the last controller: [*UnreachableError], [*StatusError], or a decoding error.
type Listing[T any] struct {
	Items       []T      // in the order of the controllers that returned them
	Unreachable []string // addresses of controllers without a usable response
}

// Preference reports whether entry a replaces entry b, which has the same key and was received earlier.
type Preference[T any] func(a, b T) bool

// PreferPolling prefers the status of a gateway from a controller that the gateway polls.
func PreferPolling(a, b controlapi.GatewayStatus) bool { return a.PollsHere && !b.PollsHere }

// PreferPollingThenRecent prefers the status from a controller that the gateway polls. Of two such, or two others, it prefers the more recent.
func PreferPollingThenRecent(a, b controlapi.GatewayStatus) bool {
	return PreferPolling(a, b) || a.PollsHere == b.PollsHere && a.AgeSeconds < b.AgeSeconds
}

// Gateways lists the gateways.
func (c *Client) Gateways(ctx context.Context, preference Preference[controlapi.GatewayStatus]) (Listing[controlapi.GatewayStatus], error) {
	key := func(g controlapi.GatewayStatus) string { return g.Address }
	return list(ctx, c, "/-/nodes/read", key, preference)
}

// Servers lists the servers, each with the status of its most recent heartbeat.
func (c *Client) Servers(ctx context.Context) (Listing[controlapi.ServerStatus], error) {
	key := func(s controlapi.ServerStatus) string { return s.Instance }
	recent := func(a, b controlapi.ServerStatus) bool { return a.AgeSeconds < b.AgeSeconds }
	return list(ctx, c, "/-/servers/read", key, recent)
}

// Events lists the events of all controllers.
func (c *Client) Events(ctx context.Context) (Listing[controlapi.Event], error) {
	key := func(e controlapi.Event) string { return fmt.Sprint(e.Controller, " ", e.Sequence) }
	return list(ctx, c, "/-/events/read", key, nil)
}

// History lists the retained versions of the configuration.
func (c *Client) History(ctx context.Context) (Listing[controlapi.HistoryEntry], error) {
	key := func(e controlapi.HistoryEntry) string { return fmt.Sprint(e.Version) }
	return list(ctx, c, "/-/configuration/history", key, nil)
}

// Tenants lists, by gateway, the tenants' use of connections and their waits.
func (c *Client) Tenants(ctx context.Context) (Listing[controlapi.GatewayTenants], error) {
	key := func(g controlapi.GatewayTenants) string { return g.Gateway }
	return list(ctx, c, "/-/tenants/explain", key, nil)
}

// OutlierVerdicts lists each gateway's verdicts on the servers that it reports; servers that are simply healthy are not reported.
func (c *Client) OutlierVerdicts(ctx context.Context) (Listing[controlapi.GatewayOutliers], error) {
	key := func(g controlapi.GatewayOutliers) string { return g.Gateway }
	return list(ctx, c, "/-/judgement/explain", key, nil)
}

// Memberships returns each controller's view of the membership.
func (c *Client) Memberships(ctx context.Context) (Listing[controlapi.MembershipStatus], error) {
	listing := Listing[controlapi.MembershipStatus]{Items: []controlapi.MembershipStatus{}}
	err := c.callAll(ctx, "/-/members/read", &listing.Unreachable, func(body []byte) error {
		var status controlapi.MembershipStatus
		if err := json.Unmarshal(body, &status); err != nil {
			return err
		}
		listing.Items = append(listing.Items, status)
		return nil
	})
	return listing, err
}

// list merges the lists of all controllers. Of several entries with the same key it returns the preferred one, or the first without a preference.
func list[T any](ctx context.Context, c *Client, path string, key func(T) string, preference Preference[T]) (listing Listing[T], err error) {
	index := map[string]int{}
	err = c.callAll(ctx, path, &listing.Unreachable, func(body []byte) error {
		var items []T
		if err := json.Unmarshal(body, &items); err != nil {
			return err
		}
		for _, item := range items {
			i, known := index[key(item)]
			switch {
			case !known:
				index[key(item)] = len(listing.Items)
				listing.Items = append(listing.Items, item)
			case preference != nil && preference(item, listing.Items[i]):
				listing.Items[i] = item
			}
		}
		return nil
	})
	return listing, err
}

// callAll reads a path from each controller and passes the bodies to handle. It appends the addresses of controllers without a usable response
// to unreachable, and fails only if no controller returned a usable one.
func (c *Client) callAll(ctx context.Context, path string, unreachable *[]string, handle func(body []byte) error) (err error) {
	for _, address := range c.addresses {
		response, callErr := c.send(ctx, address, call{method: http.MethodGet, path: path})
		if callErr == nil {
			callErr = handle(response.body)
		}
		if callErr != nil {
			err = callErr
			*unreachable = append(*unreachable, address)
		}
	}
	if len(*unreachable) < len(c.addresses) {
		return nil
	}
	return err
}
