// Package controlclient is the operators' side of the control plane's calls: it asks any hive that answers, or all of them. It owns
// nothing that outlives a command.
package controlclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"oxbowspan/config"
	"oxbowspan/controlplane"
)

// ErrRefused marks an answer that is final: asking another hive would not change it.
var ErrRefused = eris.New("refused")

// ErrNotFound says that what was asked for is not there yet.
var ErrNotFound = eris.New("there is none yet")

const requestTimeout = 3 * time.Second

// Client calls hives by their control addresses.
type Client struct {
	Addresses  []string
	httpClient http.Client
	sleep      func(ctx context.Context, pause time.Duration) // between two passes; a test may put another in its place
}

// Passes over all hives, while one of them answers that it can't tell yet.
const (
	maxAttempts    = 5
	initialBackoff = 150 * time.Millisecond // doubled after each pass
)

// errRetryable says that a hive answered, and that the same call may have another answer soon.
var errRetryable = errors.New("no clear answer")

// New makes one that knows some hives. It opens nothing yet.
func New(addresses []string) *Client {
	return &Client{Addresses: addresses, httpClient: http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}, sleep: sleep}
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// request asks one hive. A redirect is followed by the client.
func (k *Client) request(ctx context.Context, address, method, path string, basedOn *uint64, body []byte) ([]byte, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, eris.Errorf("%s is no address of a hive", address)
	}
	if basedOn != nil {
		req.Header.Set("X-Based-On-Version", strconv.FormatUint(*basedOn, 10))
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := k.httpClient.Do(req)
	if err != nil {
		return nil, nil, eris.Errorf("the hive at %s does not answer", address)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, nil, eris.Errorf("the hive at %s broke off", address)
	}
	var reply struct {
		Error string `json:"error"`
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		return text, resp.Header, nil
	case resp.StatusCode == http.StatusNotFound && method == http.MethodGet:
		return nil, resp.Header, ErrNotFound
	case json.Unmarshal(text, &reply) != nil || reply.Error == "":
		reply.Error = "status " + strconv.Itoa(resp.StatusCode)
	}
	if resp.StatusCode/100 == 4 && resp.StatusCode != http.StatusRequestTimeout && resp.StatusCode != http.StatusTooManyRequests {
		return nil, nil, eris.Wrap(ErrRefused, reply.Error)
	}
	return nil, nil, eris.Wrapf(errRetryable, "the hive at %s: %s", address, reply.Error)
}

// requestAny asks the hives one after the other until one has a final answer. Where none has and one of them could not tell, as a core
// that is short of time or has just lost a machine, all are asked again after a pause: a call sent again is safe.
func (k *Client) requestAny(ctx context.Context, method, path string, basedOn *uint64, body []byte) (text []byte, header http.Header, err error) {
	if len(k.Addresses) == 0 {
		return nil, nil, eris.New("no hive is named")
	}
	backoff := initialBackoff
	for attempt := 1; ; attempt++ {
		retryable := false
		for _, a := range k.Addresses {
			if text, header, err = k.request(ctx, a, method, path, basedOn, body); err == nil || eris.Is(err, ErrRefused) || eris.Is(err, ErrNotFound) {
				return text, header, err
			}
			retryable = retryable || eris.Is(err, errRetryable)
		}
		if !retryable || attempt == maxAttempts || ctx.Err() != nil {
			return nil, nil, err
		}
		k.sleep(ctx, backoff)
		backoff *= 2
	}
}

// Read returns a document that the hives agreed on, and its version where it is told. ErrNotFound = there is none yet.
func (k *Client) Read(ctx context.Context, resource string) (text []byte, version uint64, err error) {
	text, header, err := k.requestAny(ctx, http.MethodGet, "/-/"+resource+"/read", nil, nil)
	if header != nil {
		version, _ = strconv.ParseUint(header.Get("X-Version"), 10, 64)
	}
	return text, version, err
}

// Replace has a document agreed on in place of the version that it builds on, and returns the version that it has now.
func (k *Client) Replace(ctx context.Context, resource string, basedOn uint64, body []byte) (version uint64, err error) {
	text, _, err := k.requestAny(ctx, http.MethodPost, "/-/"+resource+"/replace", &basedOn, body)
	if err != nil {
		return 0, err
	}
	var got struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(text, &got); err != nil {
		return 0, eris.New("the hive's answer can't be read")
	}
	return got.Version, nil
}

// Configuration is the newest one.
func (k *Client) Configuration(ctx context.Context) (*config.Configuration, []byte, error) {
	text, _, err := k.Read(ctx, "configuration")
	if err != nil {
		return nil, nil, err
	}
	c, err := config.Parse(text)
	return c, text, err
}

// requestAll asks all hives and hands each answer to take. It fails where none answers; who did not is told.
func (k *Client) requestAll(ctx context.Context, path string, handle func(address string, text []byte) error) (unreachable []string, err error) {
	for _, a := range k.Addresses {
		text, _, requestErr := k.request(ctx, a, http.MethodGet, path, nil, nil)
		if requestErr == nil {
			requestErr = handle(a, text)
		}
		if requestErr != nil {
			err, unreachable = requestErr, append(unreachable, a)
		}
	}
	if len(unreachable) < len(k.Addresses) {
		err = nil
	}
	return unreachable, err
}

// Tenants is what tenants have at each gatherer, as all hives that answer know it.
func (k *Client) Tenants(ctx context.Context) (nodes []controlplane.GatewayTenants, unreachable []string, err error) {
	return ListAll(ctx, k, "/-/tenants/explain", func(n controlplane.GatewayTenants) string { return n.Gateway }, func(_, _ controlplane.GatewayTenants) bool { return false })
}

// ForEach asks all hives for a resource and hands each answer to take, with the address that gave it. Who did not answer is told; it fails where
// nobody did.
func (k *Client) ForEach(ctx context.Context, path string, handle func(address string, text []byte) error) (unreachable []string, err error) {
	return k.requestAll(ctx, path, handle)
}

// ListAll asks all hives for a list and puts the lists together, each entry once by its key; of two that better prefers one.
func ListAll[T any](ctx context.Context, client *Client, path string, key func(T) string, better func(a, b T) bool) (all []T, unreachable []string, err error) {
	at := map[string]int{}
	unreachable, err = client.requestAll(ctx, path, func(_ string, text []byte) error {
		var some []T
		if err := json.Unmarshal(text, &some); err != nil {
			return err
		}
		for _, t := range some {
			i, known := at[key(t)]
			switch {
			case !known:
				at[key(t)] = len(all)
				all = append(all, t)
			case better(t, all[i]):
				all[i] = t
			}
		}
		return nil
	})
	return all, unreachable, err
}

// OutlierVerdicts is what gatherers hold of servers that are not simply in, as all hives that answer know it.
func (k *Client) OutlierVerdicts(ctx context.Context) (nodes []controlplane.GatewayOutliers, unreachable []string, err error) {
	return ListAll(ctx, k, "/-/judgement/explain", func(n controlplane.GatewayOutliers) string { return n.Gateway }, func(_, _ controlplane.GatewayOutliers) bool { return false })
}

// ParseAddresses reads a list of control addresses.
func ParseAddresses(list string) (out []string) {
	for _, a := range strings.Split(list, ",") {
		if a = strings.TrimSpace(a); a != "" {
			out = append(out, a)
		}
	}
	return out
}
