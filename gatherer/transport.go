package gatherer

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"oxbowspan/balancer"
	"oxbowspan/connadmission"
	"oxbowspan/internal/balancerconfig"
	"oxbowspan/internal/operatorconfig"
	"oxbowspan/memorybudget"
)

// Content types of responses.
const (
	contentJSON = "application/json"
	contentText = "text/plain; charset=utf-8"
)

// transport is the http.RoundTripper of the reverse proxy. It sends requests to the dispatcher and converts their
// results to responses.
type transport struct {
	deployment balancerconfig.Deployment
	types      map[string]balancer.QueryType
	customers  map[string]balancer.CustomerIndex
	dispatcher mailbox
	memory     *memorybudget.Budget
	keyHeader  string                                 // header of the idempotency key; "" = there is no store
	merging    atomic.Pointer[operatorconfig.Merging] // nil = merging is disabled
}

// newTransport returns a transport that sends requests to a dispatcher and releases the memory of answers to a budget.
func newTransport(deployment balancerconfig.Deployment, dispatcher mailbox, memory *memorybudget.Budget) *transport {
	t := &transport{deployment: deployment, dispatcher: dispatcher, memory: memory,
		types: map[string]balancer.QueryType{}, customers: map[string]balancer.CustomerIndex{}}
	for i, name := range deployment.QueryTypes {
		t.types[name] = balancer.QueryType(i)
	}
	for i, name := range deployment.Customers {
		t.customers[name] = balancer.CustomerIndex(i)
	}
	return t
}

func (t *transport) isKnownType(queryType string) bool {
	_, ok := t.types[queryType]
	return ok
}

// customerIndex returns the index of a customer by name; UnknownCustomer if there is no such customer.
func (t *transport) customerIndex(name string) connadmission.CustomerIndex {
	if i, ok := t.customers[name]; ok {
		return connadmission.CustomerIndex(i)
	}
	return connadmission.UnknownCustomer
}

// RoundTrip implements http.RoundTripper. As the frontend has read the body completely, the request's context ends when
// the client disconnects.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	req, err := t.parseRequest(r)
	if err != nil {
		return textResponse(r, http.StatusBadRequest, err.Error()), nil
	}
	if !t.dispatcher.send(requestArrived{req}) {
		return textResponse(r, http.StatusServiceUnavailable, "the gatherer has stopped"), nil
	}
	select {
	case res := <-req.result:
		return t.response(r, res), nil
	case <-r.Context().Done():
		t.dispatcher.send(clientDisconnected{req})
		return nil, r.Context().Err()
	case <-t.dispatcher.done:
		return textResponse(r, http.StatusBadGateway, "the gatherer has stopped"), nil
	}
}

// response returns the response for a result.
func (t *transport) response(r *http.Request, res result) *http.Response {
	switch res.kind {
	case resultShed:
		shed := textResponse(r, http.StatusServiceUnavailable, "the search cannot be answered now, asking again is harmless")
		setRetryAfter(shed.Header, res.retryAfter)
		return shed
	case resultDuplicateID:
		return textResponse(r, http.StatusBadRequest, "Req-Id is that of another search, which is still open")
	case resultKeyInProgress:
		return textResponse(r, http.StatusConflict, "a search with the same key is still open")
	case resultKeyMismatch:
		return textResponse(r, http.StatusUnprocessableEntity, "the key is that of a different search")
	case resultFailed:
		return textResponse(r, http.StatusGatewayTimeout, "the search could not be answered in time")
	case resultMerged:
		return t.mergedResponse(r, res)
	}
	answer := res.text
	if answer == nil {
		answer = encodeAnswer(res.complete, res.values)
	}
	return t.answerResponse(r, answer, res.reserved)
}

// mergedResponse returns the response for a merge. The merge returns an error for a partial answer where that is not
// allowed, and for a number that is not certain to be correct.
func (t *transport) mergedResponse(r *http.Request, res result) *http.Response {
	defer res.merge.Close()
	answer, err := res.merge.Result(res.complete)
	if err != nil {
		return textResponse(r, http.StatusGatewayTimeout, "the search could not be answered: "+err.Error())
	}
	text := answer.AppendJSON(nil)
	reserved := memorybudget.Bytes(len(text))
	t.memory.ForceReserve(memorybudget.Answers, reserved)
	return t.answerResponse(r, text, reserved)
}

// answerResponse returns a response with an encoded answer. Its reserved memory is released when the answer was written
// or the client has disconnected.
func (t *transport) answerResponse(r *http.Request, text []byte, reserved memorybudget.Bytes) *http.Response {
	res := response(r, http.StatusOK, contentJSON, text)
	release := sync.OnceFunc(func() { t.memory.Release(memorybudget.Answers, reserved) })
	res.Body = &accountedBody{ReadCloser: res.Body, release: release}
	return res
}

// accountedBody is a response body that releases its reserved memory when it is closed.
type accountedBody struct {
	io.ReadCloser
	release func()
}

// Close implements io.Closer.
func (b *accountedBody) Close() error {
	b.release()
	return b.ReadCloser.Close()
}

// setRetryAfter sets the header Retry-After of a shed request, in seconds; 0 = none is set.
func setRetryAfter(h http.Header, after balancer.Time) {
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(balancerconfig.Millis(after)/1000, 'f', -1, 64))
	}
}

// textResponse returns a plain-text response with one line of text.
func textResponse(r *http.Request, status int, text string) *http.Response {
	return response(r, status, contentText, []byte(text+"\n"))
}

// response returns a response with a body.
func response(r *http.Request, status int, contentType string, body []byte) *http.Response {
	return &http.Response{StatusCode: status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Request: r,
		Header:        http.Header{"Content-Type": {contentType}, "Content-Length": {strconv.Itoa(len(body))}},
		ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body))}
}
