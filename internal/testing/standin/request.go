package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Headers of requests and responses.
const (
	headerID          = "Req-Id"
	headerQueryType   = "Req-Kind"
	headerCustomer    = "Req-Owner"
	headerDeadline    = "Req-Deadline-Ms" // the client's timeout in milliseconds
	headerIdempotency = "Idempotency-Key"
	headerRetryAfter  = "Retry-After" // seconds
)

// Request is a client's search request.
type Request struct {
	ID        string
	QueryType string
	Customer  string
	Timeout   time.Duration // of the client
	Shards    []int
	Weights   []float64 // of the shards; nil = equal
	Statement string
	Merge     any // encoded as JSON; nil = none
	// IdempotencyKey identifies the attempts of one request; "" = none.
	IdempotencyKey string
}

// requestBody is the JSON body of a request.
type requestBody struct {
	Tablets   []requestTablet `json:"tablets"`
	Statement string          `json:"statement"`
	Merge     any             `json:"merge,omitempty"`
}

type requestTablet struct {
	Tablet   int     `json:"tablet"`
	Fraction float64 `json:"fraction"`
}

// Body returns the request's body. It panics if Merge cannot be encoded.
func (r Request) Body() []byte {
	body := requestBody{Statement: r.Statement, Merge: r.Merge}
	for i, shard := range r.Shards {
		weight := 1 / float64(len(r.Shards))
		if r.Weights != nil {
			weight = r.Weights[i]
		}
		body.Tablets = append(body.Tablets, requestTablet{shard, weight})
	}
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return text
}

// Response is the response to a request.
type Response struct {
	Status     int
	Body       []byte
	RetryAfter string        // the header, in seconds; "" = none
	Elapsed    time.Duration // until the body was complete
}

// Send sends the request to a gatherer and reads the response.
func (r Request) Send(ctx context.Context, client *http.Client, addr string) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/"+r.QueryType, bytes.NewReader(r.Body()))
	if err != nil {
		return Response{}, err
	}
	req.Header.Set(headerID, r.ID)
	req.Header.Set(headerQueryType, r.QueryType)
	req.Header.Set(headerCustomer, r.Customer)
	req.Header.Set(headerDeadline, fmt.Sprint(r.Timeout.Milliseconds()))
	if r.IdempotencyKey != "" {
		req.Header.Set(headerIdempotency, r.IdempotencyKey)
	}
	start := time.Now()
	res, err := client.Do(req)
	if err != nil {
		return Response{}, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return Response{
		Status:     res.StatusCode,
		Body:       body,
		RetryAfter: res.Header.Get(headerRetryAfter),
		Elapsed:    time.Since(start),
	}, err
}
