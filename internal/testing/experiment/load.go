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

const (
	// customer is the customer that experiments send requests for.
	customer = "acme"
	// lookupStatement is the statement of look-ups.
	lookupStatement = "c41e77d0"
	// lookupTimeout is a client's timeout for a look-up. It is shorter than lookupType.Timeout.
	lookupTimeout = 1900 * time.Millisecond
	// concurrentClients is the number of clients in experiments that send requests without pauses. With eight segments per
	// request they stay below the limit of a newly started gatherer for eight servers.
	concurrentClients = 8
)

// newLookup returns a look-up.
func newLookup(id uint64, shards ...int) standin.Request {
	return standin.Request{
		ID:        formatID(id),
		QueryType: lookupType.Name,
		Customer:  customer,
		Timeout:   lookupTimeout,
		Shards:    shards,
		Statement: lookupStatement,
	}
}

// formatID formats a request id.
func formatID(id uint64) string { return fmt.Sprintf("%016x", id) }

// newHTTPClient returns a client that keeps up to a number of idle connections to a gatherer.
func newHTTPClient(idleConnections int, timeout time.Duration) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}, Timeout: timeout}
}

// runClients calls send concurrently from a number of clients, once with each number from 1 to times. The first error stops the
// clients and is returned.
func runClients(ctx context.Context, clients, times int, send func(ctx context.Context, n int) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var next atomic.Int64
	var running sync.WaitGroup
	for range clients {
		running.Go(func() {
			for {
				n := next.Add(1)
				if n > int64(times) || ctx.Err() != nil {
					return
				}
				if err := send(ctx, int(n)); err != nil {
					cancel(err)
					return
				}
			}
		})
	}
	running.Wait()
	return context.Cause(ctx)
}

// runConcurrently calls run concurrently with each number from 0 to count-1 and waits until all calls have returned.
func runConcurrently(count int, run func(i int)) {
	var running sync.WaitGroup
	for i := range count {
		running.Go(func() { run(i) })
	}
	running.Wait()
}

// rawRequest encodes the header and the body of a request, for clients that send them slowly or do not read the response.
func rawRequest(r standin.Request) (header, body string) {
	body = string(r.Body())
	header = fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Owner: %s\r\nReq-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		r.QueryType, r.ID, r.QueryType, r.Customer, r.Timeout.Milliseconds(), len(body))
	return header, body
}
