package controlclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"oxbowspan/controlapi"
	"oxbowspan/rollout"
)

// BeginRollout orders a rollout. Repeating an order that was accepted before succeeds.
func (c *Client) BeginRollout(ctx context.Context, order rollout.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("encode the order: %w", err)
	}
	_, err = c.callAny(ctx, call{method: http.MethodPost, path: "/-/rollouts/begin", body: body})
	return err
}

// RevertRollout reverts a service's running rollout: all its requests go to the previous version again.
func (c *Client) RevertRollout(ctx context.Context, service string) error {
	_, err := c.callAny(ctx, call{method: http.MethodPost, path: "/-/rollouts/" + url.PathEscape(service) + "/revert"})
	return err
}

// Rollouts lists the newest rollout of each service for which one was ordered.
func (c *Client) Rollouts(ctx context.Context) (rollouts []controlapi.Rollout, err error) {
	response, err := c.callAny(ctx, call{method: http.MethodGet, path: "/-/rollouts/read"})
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(response.body, &rollouts); err != nil {
		return nil, fmt.Errorf("decode the list of rollouts: %w", err)
	}
	return rollouts, nil
}
