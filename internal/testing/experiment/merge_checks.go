package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"oxbowspan/internal/testing/standin"
	"oxbowspan/merge"
)

const (
	// walkMaxAttempts is the maximum number of requests for reading one paged list.
	walkMaxAttempts = 400
	// defaultRetryDelay is the delay before the retry of a rejected request without a Retry-After header, maxRetryDelay the
	// maximum.
	defaultRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = time.Second
)

var orderColumns = []string{"due", "amount", "account", "customer", "bills"}

// newRequest returns a request over all segments.
func (r *mergeRun) newRequest(queryType string, terms merge.Request) standin.Request {
	request := newLookup(1<<32*(1+r.env.Seed%1000)+r.lastID.Add(1), r.segments()...)
	request.QueryType = queryType
	request.Merge = encodeTerms(terms)
	return request
}

// segments returns the numbers of all segments.
func (r *mergeRun) segments() []int {
	var segments []int
	for i := range r.dataset.Segments() {
		segments = append(segments, i)
	}
	return segments
}

// encodeTerms returns the merge object of a request without its empty fields.
func encodeTerms(t merge.Request) map[string]any {
	object := map[string]any{"kind": t.Kind, "limit": t.Limit}
	for name, list := range map[string][]string{"order": t.Order, "group": t.Group, "figures": t.Aggregates} {
		if len(list) > 0 {
			object[name] = list
		}
	}
	if t.Offset != 0 {
		object["offset"] = t.Offset
	}
	for name, text := range map[string]string{"cursor": t.Cursor, "by": t.RankBy} {
		if text != "" {
			object[name] = text
		}
	}
	return object
}

func (r *mergeRun) oracle(queryType string) standin.Oracle {
	return standin.Oracle{Dataset: r.dataset, Segments: r.segments(), RequireComplete: queryType == completeQueryType}
}

// mergedReply is a merged response with its encoded body.
type mergedReply struct {
	standin.MergedResponse
	body []byte
}

// send sends a request. It returns nil without an error if the request was rejected with a status that allows a retry, which is
// permitted only under faults. After a rejection it waits for the retry delay, as clients do.
func (r *mergeRun) send(ctx context.Context, queryType string, terms merge.Request, faults faultRates, latency *LatencyRecorder) (*mergedReply, error) {
	response, err := r.newRequest(queryType, terms).Send(ctx, r.client, r.deployment.Gatherer.Addr)
	if err != nil {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, fmt.Errorf("a request got no response: %w", err)
	}
	latency.Add(response.Elapsed)
	switch response.Status {
	case http.StatusOK:
		merged, err := standin.ParseMergedResponse(response.Body)
		if err != nil {
			return nil, fmt.Errorf("%w: %.300s", err, response.Body)
		}
		return &mergedReply{merged, response.Body}, nil
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if faults != noFaults {
			r.rejected.Add(1)
			r.env.Record.AddToMetric("rejected under faults", 1)
			sleep(ctx, min(retryDelay(response), maxRetryDelay))
			return nil, nil
		}
	}
	return nil, fmt.Errorf("%s %+v got status %d: %.300s", queryType, terms, response.Status, response.Body)
}

// retryDelay returns the delay in a rejected request's Retry-After header, or the default one.
func retryDelay(response standin.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.RetryAfter, 64)
	if err != nil {
		return defaultRetryDelay
	}
	return time.Duration(seconds * float64(time.Second))
}

func drawQueryType(rng *rand.Rand) string {
	if rng.IntN(2) == 0 {
		return completeQueryType
	}
	return partialQueryType
}

// drawOrder draws the sort columns of a list.
func drawOrder(rng *rand.Rand) []string {
	var order []string
	for _, i := range rng.Perm(len(orderColumns))[:1+rng.IntN(3)] {
		name := orderColumns[i]
		if rng.IntN(2) == 0 {
			name = "-" + name
		}
		order = append(order, name)
	}
	return order
}

// drawTerms draws a ranked or aggregated request. For untruncated see standin.Oracle.CheckRanked.
func drawTerms(rng *rand.Rand, faults faultRates) (terms merge.Request, untruncated bool) {
	untruncated = faults[faultTooFew] == 0
	if rng.IntN(2) == 0 {
		return merge.Request{Kind: merge.Ranked, Order: drawOrder(rng), Limit: 1 + rng.IntN(80), Offset: rng.IntN(3) * rng.IntN(100)}, untruncated
	}
	terms = merge.Request{Kind: merge.Aggregated, Limit: 1 + rng.IntN(150), Aggregates: []string{"count"}}
	for _, i := range rng.Perm(len(mergeAggregates))[:1+rng.IntN(4)] {
		terms.Aggregates = append(terms.Aggregates, mergeAggregates[i])
	}
	switch rng.IntN(4) {
	case 0:
		untruncated = true // a single group, which no server omits
	case 1:
		terms.Group, terms.RankBy = []string{"customer"}, "count"
	case 2:
		terms.Group = []string{"due"}
	case 3:
		terms.Group, untruncated = []string{"customer", "due"}, false // more groups than a segment sends
	}
	return terms, untruncated
}

// checkRequest returns the check of one ranked or aggregated request.
func (r *mergeRun) checkRequest(faults faultRates) mergeCheck {
	return func(ctx context.Context, rng *rand.Rand, latency *LatencyRecorder) error {
		queryType := drawQueryType(rng)
		terms, untruncated := drawTerms(rng, faults)
		reply, err := r.send(ctx, queryType, terms, faults, latency)
		if err != nil || reply == nil {
			return err
		}
		oracle := r.oracle(queryType)
		if terms.Kind == merge.Ranked {
			err = oracle.CheckRanked(reply.MergedResponse, terms.Order, terms.Offset, terms.Limit, untruncated)
		} else {
			err = oracle.CheckAggregated(reply.MergedResponse, terms, untruncated)
		}
		if err != nil {
			return fmt.Errorf("%s %+v: %w\n%.2000s", queryType, terms, err, reply.body)
		}
		if faults == noFaults && !reply.Full && untruncated {
			return fmt.Errorf("%s %+v: a response without faults is not full\n%.2000s", queryType, terms, reply.body)
		}
		r.verified.Add(1)
		return nil
	}
}

// checkPages returns the check of a paged list that is read to its end. If changing is true, the data changes between pages.
// Rejected pages are requested again with the same cursor.
func (r *mergeRun) checkPages(faults faultRates, changing bool) mergeCheck {
	return func(ctx context.Context, rng *rand.Rand, latency *LatencyRecorder) error {
		queryType := drawQueryType(rng)
		walk := standin.PagedCheck{Oracle: r.oracle(queryType), Order: drawOrder(rng), Limit: 20 + rng.IntN(100)}
		cursor := ""
		for range walkMaxAttempts {
			if changing && rng.IntN(3) == 0 {
				r.dataset.Advance(rng.IntN(r.dataset.Segments()))
			}
			terms := merge.Request{Kind: merge.Paged, Order: walk.Order, Limit: walk.Limit, Cursor: cursor}
			reply, err := r.send(ctx, queryType, terms, faults, latency)
			if err != nil {
				return err
			}
			if reply == nil {
				continue
			}
			if err := walk.CheckPage(reply.MergedResponse, faults[faultTooFew] == 0); err != nil {
				return fmt.Errorf("%s %v, page %d: %w\n%.2000s", queryType, walk.Order, walk.Pages, err, reply.body)
			}
			r.verified.Add(1)
			r.pages.Add(1)
			if reply.Result.Last {
				r.completedWalks.Add(1)
				r.env.Record.AddToMetric("rows that came late", float64(walk.Late))
				return nil
			}
			if cursor = reply.Result.Next; cursor == "" {
				return fmt.Errorf("%s %v: the walk is stuck on page %d", queryType, walk.Order, walk.Pages)
			}
		}
		return fmt.Errorf("%s %v: the walk has not ended after %d attempts, %d pages", queryType, walk.Order, walkMaxAttempts, walk.Pages)
	}
}

// checkInvalidRequest sends an invalid request, which must be rejected with status 400 and one sentence.
func (r *mergeRun) checkInvalidRequest(ctx context.Context, rng *rand.Rand, latency *LatencyRecorder) error {
	terms := merge.Request{Kind: merge.Paged, Order: []string{"-amount", "due"}, Limit: 5}
	// Servers that were faulty in the previous phase may still be ejected, so that this page may be rejected.
	first, err := r.send(ctx, completeQueryType, terms, mixedFaults, latency)
	if err != nil || first == nil {
		return err
	}
	request := r.newRequest(completeQueryType, terms)
	invalidate(&request, terms, first.Result.Next, rng)
	response, err := request.Send(ctx, r.client, r.deployment.Gatherer.Addr)
	if err != nil {
		return err
	}
	if response.Status != http.StatusBadRequest || strings.Count(string(response.Body), "\n") != 1 {
		return fmt.Errorf("%v got status %d: %.300s", request.Merge, response.Status, response.Body)
	}
	r.rejected.Add(1)
	return nil
}

// invalidate makes a request invalid in one of several ways.
func invalidate(request *standin.Request, terms merge.Request, cursor string, rng *rand.Rand) {
	object := encodeTerms(terms)
	request.Merge = object
	switch rng.IntN(6) {
	case 0: // a changed cursor
		const letters = "ABCDEFGHIJ"
		changed := []byte(cursor)
		i := rng.IntN(len(changed) - 1)
		changed[i] = letters[(strings.IndexByte(letters, changed[i])+1)%len(letters)]
		object["cursor"] = string(changed)
	case 1: // a cursor of another order
		object["cursor"], object["order"] = cursor, []string{"due"}
	case 2: // a cursor of another statement
		request.Statement = "another statement"
		object["cursor"] = cursor
	case 3:
		object["limit"] = mergeMaxLimit + 1 + rng.IntN(1000)
	case 4:
		object["order"] = []string{"owner"} // no such column
	case 5:
		request.Merge = json.RawMessage(`{"kind":"ranked","limit":5,"order":["due"],"sort":1}`) // no such field
	}
}
