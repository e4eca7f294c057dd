package experiment

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"oxbowspan/internal/testing/standin"
)

func init() {
	Register(Experiment{
		Name:  "store",
		Short: "Crash test: kills the gatherer while clients send posts and counts the executions",
		Long: `store sends payment posts to a gatherer with a store, from clients that retry requests without a response under the same
idempotency key. It kills the gatherer at random times, hundreds of times; before some restarts a file of the store is truncated at a
random byte. The shard servers count the posts that they execute. It ends with a finding if a post was executed twice, if one was
answered that was not executed, if a response allowed a retry after the post was executed, or if a request got no final response.
Before that it measures the latency of posts and look-ups with and without the store.`,
		Run: runStore,
	})
}

const (
	storeServers  = 4
	postQueryType = "post"
	storePath     = "kept" // relative to the directory of the configuration
	storeLinger   = "linger = 2ms\n"
)

// executionCounter counts the posts that shard servers execute, by their text. Its methods may be called concurrently.
type executionCounter struct {
	mu         sync.Mutex
	executions map[string]int
}

func (c *executionCounter) add(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executions[text]++
}

func (c *executionCounter) count(text string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.executions[text]
}

// storeDeployment returns a deployment for look-ups and posts.
func storeDeployment(name, operatorConfig string, handle func(*standin.ShardConn, standin.ShardCall)) DeploymentOptions {
	postType := lookupType
	postType.Name, postType.Effect = postQueryType, effectSingleShot
	return DeploymentOptions{
		Name:           name,
		Servers:        storeServers,
		Segments:       storeServers,
		MemoryMB:       256,
		OperatorConfig: operatorConfig,
		Handle:         handle,
		Types:          []QueryType{lookupType, postType},
	}
}

func runStore(ctx context.Context, e *Env) error {
	if err := e.measureStoreLatency(ctx); err != nil {
		return err
	}
	return e.runCrashTest(ctx)
}

// measureStoreLatency measures the latency of posts and look-ups without a store and with one.
func (e *Env) measureStoreLatency(ctx context.Context) error {
	store := "[store]\npath = " + storePath + "\n"
	for _, variant := range []struct{ name, operatorConfig string }{
		{"no store", ""},
		{"store", store},
		{"store, linger 2ms", store + storeLinger},
	} {
		if err := e.measureStoreVariant(ctx, variant.name, variant.operatorConfig); err != nil {
			return err
		}
	}
	return nil
}

func (e *Env) measureStoreVariant(ctx context.Context, name, operatorConfig string) error {
	deployment, err := e.StartDeployment(storeDeployment("latency "+name, operatorConfig, nil))
	if err != nil {
		return err
	}
	for _, queryType := range []string{lookupType.Name, postQueryType} {
		for _, clients := range []int{1, 8} {
			if err := e.measureStoreRequests(ctx, deployment, name, queryType, clients); err != nil {
				deployment.Stop()
				return err
			}
		}
	}
	return deployment.Stop()
}

// measureStoreRequests sends requests of a query type and records their latency. All of them must be answered.
func (e *Env) measureStoreRequests(ctx context.Context, deployment *Deployment, variant, queryType string, clients int) error {
	times := e.Scale(800, 8000)
	latency := NewLatencyRecorder()
	client := newHTTPClient(clients, 5*time.Second)
	var failed atomic.Int64
	runClients(ctx, clients, times, func(ctx context.Context, n int) error {
		request := standin.Request{
			ID:        fmt.Sprintf("%x%04x%02x", len(queryType), n, clients),
			QueryType: queryType,
			Customer:  customer,
			Timeout:   lookupTimeout,
			Shards:    []int{n % storeServers},
			Statement: fmt.Sprintf("%08x", n),
		}
		response, err := request.Send(ctx, client, deployment.Gatherer.Addr)
		if err != nil || response.Status != http.StatusOK {
			failed.Add(1)
			return nil
		}
		latency.Add(response.Elapsed)
		return nil
	})
	e.Record.AddLatency(fmt.Sprintf("%s, %d clients, %s", queryType, clients, variant), latency)
	if failed.Load() > 0 {
		return fmt.Errorf("%d of %d requests of type %s were not answered (%s)", failed.Load(), times, queryType, variant)
	}
	return nil
}
