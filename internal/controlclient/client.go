// Package controlclient is a client of the control plane's HTTP API for operators. Depending on the call it uses one controller that
// responds, or all controllers. A client keeps no state between calls.
package controlclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"oxbowspan/config"
)

const (
	requestTimeout = 3 * time.Second // for one request to one controller

	// maxAttempts is the maximum number of times that all controllers are tried while one of them responds that the outcome is not known yet.
	maxAttempts    = 5
	initialBackoff = 150 * time.Millisecond // before the second attempt; doubled before each further one
)

// Names in the API: the configuration's in paths, and the headers.
const (
	configurationResource = "configuration"
	baseVersionHeader     = "X-Based-On-Version"
	versionHeader         = "X-Version"
)

// Client calls controllers at their control addresses.
type Client struct {
	addresses  []string
	httpClient http.Client
	sleep      func(ctx context.Context, duration time.Duration) // replaced in tests
}

// New returns a client for the controllers at the given control addresses. It opens no connection.
func New(addresses []string) *Client {
	return &Client{
		addresses:  addresses,
		httpClient: http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		sleep:      sleep,
	}
}

// ParseAddresses splits a comma-separated list of control addresses. It drops spaces around addresses and empty entries.
func ParseAddresses(list string) (addresses []string) {
	for _, address := range strings.Split(list, ",") {
		if address = strings.TrimSpace(address); address != "" {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// sleep waits for a duration, or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Read returns the body of a resource's committed version, and the version's number if the response has it. Before the first version it
// returns [ErrNotFound].
func (c *Client) Read(ctx context.Context, resource string) (body []byte, version uint64, err error) {
	response, err := c.callAny(ctx, call{method: http.MethodGet, path: "/-/" + resource + "/read"})
	version, _ = strconv.ParseUint(response.header.Get(versionHeader), 10, 64)
	return response.body, version, err
}

// Replace commits a new version of a resource in place of the committed version with the number basedOn, 0 = none, and returns the new
// version's number.
func (c *Client) Replace(ctx context.Context, resource string, basedOn uint64, body []byte) (version uint64, err error) {
	response, err := c.callAny(ctx, call{method: http.MethodPost, path: "/-/" + resource + "/replace", basedOn: &basedOn, body: body})
	if err != nil {
		return 0, err
	}
	var committed struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(response.body, &committed); err != nil {
		return 0, fmt.Errorf("decode response to the new version of %s: %w", resource, err)
	}
	return committed.Version, nil
}

// Configuration returns the committed configuration, both decoded and as text.
func (c *Client) Configuration(ctx context.Context) (*config.Configuration, []byte, error) {
	text, _, err := c.Read(ctx, configurationResource)
	if err != nil {
		return nil, nil, err
	}
	configuration, err := config.Parse(text)
	return configuration, text, err
}

// ReplaceConfiguration commits a new configuration. See [Client.Replace].
func (c *Client) ReplaceConfiguration(ctx context.Context, basedOn uint64, text []byte) (version uint64, err error) {
	return c.Replace(ctx, configurationResource, basedOn, text)
}

// call is a request that can be sent to any controller, and can be repeated.
type call struct {
	method  string
	path    string
	basedOn *uint64 // sent as a header, with the content type of JSON; nil = neither header is sent
	body    []byte
}

// response holds a response with status 200. With [ErrNotFound] it has only headers.
type response struct {
	body   []byte
	header http.Header
}

// callAny sends a call to one controller after another until one returns a final response. If none does, but one responded that the outcome is
// not known yet, for example because it is overloaded or has lost a peer, all are tried again after a backoff. Calls can be repeated safely.
func (c *Client) callAny(ctx context.Context, call call) (response, error) {
	if len(c.addresses) == 0 {
		return response{}, ErrNoAddresses
	}
	backoff := initialBackoff
	for attempt := 1; ; attempt++ {
		retryable := false
		var last error
		for _, address := range c.addresses {
			response, err := c.send(ctx, address, call)
			if err == nil || isFinal(err) {
				return response, err
			}
			retryable = retryable || isRetryable(err)
			last = err
		}
		if !retryable || attempt == maxAttempts || ctx.Err() != nil {
			return response{}, last
		}
		c.sleep(ctx, backoff)
		backoff *= 2
	}
}

// send sends a call to one controller and follows redirects. It returns [ErrNotFound] together with the headers, an [*UnreachableError], or a
// [*StatusError].
func (c *Client) send(ctx context.Context, address string, call call) (response, error) {
	request, err := http.NewRequestWithContext(ctx, call.method, "http://"+address+call.path, bytes.NewReader(call.body))
	if err != nil {
		return response{}, fmt.Errorf("%q is not the address of a controller: %w", address, err)
	}
	if call.basedOn != nil {
		request.Header.Set(baseVersionHeader, strconv.FormatUint(*call.basedOn, 10))
		request.Header.Set("Content-Type", "application/json")
	}
	received, err := c.httpClient.Do(request)
	if err != nil {
		return response{}, &UnreachableError{Address: address, Err: err}
	}
	defer received.Body.Close()
	body, err := io.ReadAll(received.Body)
	if err != nil {
		return response{}, &UnreachableError{Address: address, Err: err}
	}
	switch {
	case received.StatusCode == http.StatusOK:
		return response{body, received.Header}, nil
	case received.StatusCode == http.StatusNotFound && call.method == http.MethodGet:
		return response{header: received.Header}, ErrNotFound
	}
	return response{}, newStatusError(address, received.StatusCode, body)
}
