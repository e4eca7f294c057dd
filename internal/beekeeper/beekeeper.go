// Package beekeeper is the operators' side of the control plane's calls: it asks any hive that answers, or all of them. It owns
// nothing that outlives a command.
package beekeeper

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

// ErrNone says that what was asked for is not there yet.
var ErrNone = eris.New("there is none yet")

const callLimit = 3 * time.Second

// Keeper calls hives by their control addresses.
type Keeper struct {
	Addresses []string
	client    http.Client
	wait      func(ctx context.Context, pause time.Duration) // between two passes; a test may put another in its place
}

// Passes over all hives, while one of them answers that it can't tell yet.
const (
	mostPasses = 5
	firstPause = 150 * time.Millisecond // doubled after each pass
)

// errUnclear says that a hive answered, and that the same call may have another answer soon.
var errUnclear = errors.New("no clear answer")

// New makes one that knows some hives. It opens nothing yet.
func New(addresses []string) *Keeper {
	return &Keeper{Addresses: addresses, client: http.Client{Timeout: callLimit, Transport: &http.Transport{DisableKeepAlives: true}}, wait: wait}
}

func wait(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// call asks one hive. A redirect is followed by the client.
func (k *Keeper) call(ctx context.Context, address, method, path string, basedOn *uint64, body []byte) ([]byte, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, eris.Errorf("%s is no address of a hive", address)
	}
	if basedOn != nil {
		req.Header.Set("X-Based-On-Version", strconv.FormatUint(*basedOn, 10))
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := k.client.Do(req)
	if err != nil {
		return nil, nil, eris.Errorf("the hive at %s does not answer", address)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, nil, eris.Errorf("the hive at %s broke off", address)
	}
	var said struct {
		Error string `json:"error"`
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		return text, resp.Header, nil
	case resp.StatusCode == http.StatusNotFound && method == http.MethodGet:
		return nil, resp.Header, ErrNone
	case json.Unmarshal(text, &said) != nil || said.Error == "":
		said.Error = "status " + strconv.Itoa(resp.StatusCode)
	}
	if resp.StatusCode/100 == 4 && resp.StatusCode != http.StatusRequestTimeout && resp.StatusCode != http.StatusTooManyRequests {
		return nil, nil, eris.Wrap(ErrRefused, said.Error)
	}
	return nil, nil, eris.Wrapf(errUnclear, "the hive at %s: %s", address, said.Error)
}

// any asks the hives one after the other until one has a final answer. Where none has and one of them could not tell, as a core
// that is short of time or has just lost a machine, all are asked again after a pause: a call sent again is safe.
func (k *Keeper) any(ctx context.Context, method, path string, basedOn *uint64, body []byte) (text []byte, header http.Header, err error) {
	if len(k.Addresses) == 0 {
		return nil, nil, eris.New("no hive is named")
	}
	pause := firstPause
	for pass := 1; ; pass++ {
		unclear := false
		for _, a := range k.Addresses {
			if text, header, err = k.call(ctx, a, method, path, basedOn, body); err == nil || eris.Is(err, ErrRefused) || eris.Is(err, ErrNone) {
				return text, header, err
			}
			unclear = unclear || eris.Is(err, errUnclear)
		}
		if !unclear || pass == mostPasses || ctx.Err() != nil {
			return nil, nil, err
		}
		k.wait(ctx, pause)
		pause *= 2
	}
}

// Read returns a document that the hives agreed on, and its version where it is told. ErrNone = there is none yet.
func (k *Keeper) Read(ctx context.Context, resource string) (text []byte, version uint64, err error) {
	text, header, err := k.any(ctx, http.MethodGet, "/-/"+resource+"/read", nil, nil)
	if header != nil {
		version, _ = strconv.ParseUint(header.Get("X-Version"), 10, 64)
	}
	return text, version, err
}

// Replace has a document agreed on in place of the version that it builds on, and returns the version that it has now.
func (k *Keeper) Replace(ctx context.Context, resource string, basedOn uint64, body []byte) (version uint64, err error) {
	text, _, err := k.any(ctx, http.MethodPost, "/-/"+resource+"/replace", &basedOn, body)
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
func (k *Keeper) Configuration(ctx context.Context) (*config.Configuration, []byte, error) {
	text, _, err := k.Read(ctx, "configuration")
	if err != nil {
		return nil, nil, err
	}
	c, err := config.Parse(text)
	return c, text, err
}

// each asks all hives and hands each answer to take. It fails where none answers; who did not is told.
func (k *Keeper) each(ctx context.Context, path string, take func(address string, text []byte) error) (silent []string, err error) {
	for _, a := range k.Addresses {
		text, _, failed := k.call(ctx, a, http.MethodGet, path, nil, nil)
		if failed == nil {
			failed = take(a, text)
		}
		if failed != nil {
			err, silent = failed, append(silent, a)
		}
	}
	if len(silent) < len(k.Addresses) {
		err = nil
	}
	return silent, err
}

// Tenants is what tenants have at each gatherer, as all hives that answer know it.
func (k *Keeper) Tenants(ctx context.Context) (nodes []controlplane.GatewayTenants, silent []string, err error) {
	return List(ctx, k, "/-/tenants/explain", func(n controlplane.GatewayTenants) string { return n.Gateway }, func(_, _ controlplane.GatewayTenants) bool { return false })
}

// Each asks all hives for a resource and hands each answer to take, with the address that gave it. Who did not answer is told; it fails where
// nobody did.
func (k *Keeper) Each(ctx context.Context, path string, take func(address string, text []byte) error) (silent []string, err error) {
	return k.each(ctx, path, take)
}

// List asks all hives for a list and puts the lists together, each entry once by its key; of two that better prefers one.
func List[T any](ctx context.Context, k *Keeper, path string, key func(T) string, better func(a, b T) bool) (all []T, silent []string, err error) {
	at := map[string]int{}
	silent, err = k.each(ctx, path, func(_ string, text []byte) error {
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
	return all, silent, err
}

// Judgements is what gatherers hold of servers that are not simply in, as all hives that answer know it.
func (k *Keeper) Judgements(ctx context.Context) (nodes []controlplane.GatewayOutliers, silent []string, err error) {
	return List(ctx, k, "/-/judgement/explain", func(n controlplane.GatewayOutliers) string { return n.Gateway }, func(_, _ controlplane.GatewayOutliers) bool { return false })
}

// Split reads a list of control addresses.
func Split(list string) (out []string) {
	for _, a := range strings.Split(list, ",") {
		if a = strings.TrimSpace(a); a != "" {
			out = append(out, a)
		}
	}
	return out
}
