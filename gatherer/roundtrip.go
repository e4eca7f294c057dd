package gatherer

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/zeebo/blake3"

	"oxbowspan/balancer"
	"oxbowspan/connadmission"
	"oxbowspan/idempotency"
	"oxbowspan/internal/balancerconfig"
	"oxbowspan/internal/operatorconfig"
	"oxbowspan/memorybudget"
	"oxbowspan/merge"
)

// transport is the reverse proxy's RoundTripper: it hands a request's search to the module's actor and makes
// the response of its final answer.
type transport struct {
	deployment balancerconfig.Deployment
	types      map[string]balancer.QueryType
	customers  map[string]balancer.CustomerIndex
	dispatcher mailbox
	memory     *memorybudget.Budget
	keyHeader  string                                 // where clients name searches that must not run twice; "" = nothing is kept of them
	merging    atomic.Pointer[operatorconfig.Merging] // nil = nothing is merged
}

func newTransport(d balancerconfig.Deployment, m mailbox, held *memorybudget.Budget) *transport {
	t := &transport{deployment: d, types: map[string]balancer.QueryType{}, customers: map[string]balancer.CustomerIndex{}, dispatcher: m, memory: held}
	for i, name := range d.QueryTypes {
		t.types[name] = balancer.QueryType(i)
	}
	for i, name := range d.Customers {
		t.customers[name] = balancer.CustomerIndex(i)
	}
	return t
}

func (t *transport) isKnownType(queryType string) bool {
	_, ok := t.types[queryType]
	return ok
}

// customerIndex finds a customer's number by name.
func (t *transport) customerIndex(name string) connadmission.CustomerIndex {
	if at, ok := t.customers[name]; ok {
		return connadmission.CustomerIndex(at)
	}
	return connadmission.UnknownCustomer
}

// RoundTrip implements http.RoundTripper. The request's body has been read whole before, so that its context
// tells of the client's leaving.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	s, err := t.parseRequest(r)
	if err != nil {
		return textResponse(r, http.StatusBadRequest, err.Error()), nil
	}
	if !t.dispatcher.send(requestArrived{s}) {
		return textResponse(r, http.StatusServiceUnavailable, "the gatherer has stopped"), nil
	}
	select {
	case a := <-s.result:
		return t.response(r, a), nil
	case <-r.Context().Done():
		t.dispatcher.send(clientGone{s})
		return nil, r.Context().Err()
	case <-t.dispatcher.done:
		return textResponse(r, http.StatusBadGateway, "the gatherer has stopped"), nil
	}
}

// requestBody is the fields of a request's body that decisions need, and the text that goes on.
type requestBody struct {
	Parts []struct {
		Shard  *int64   `json:"tablet"`
		Weight *float64 `json:"fraction"`
		Guess  float64  `json:"guess"`
	} `json:"tablets"`
	Text  json.RawMessage `json:"statement"`
	Merge json.RawMessage `json:"merge"`
}

// parseRequest takes from a request what decisions need. Its errors are one plain sentence for the client.
func (t *transport) parseRequest(r *http.Request) (*clientRequest, error) {
	s := &clientRequest{wireID: r.Header.Get("Req-Id"), retry: r.Header.Get("Req-Retry") == "1", result: make(chan result, 1)}
	if !isHexID(s.wireID) {
		return nil, fmt.Errorf("Req-Id must be 1 to 32 hex digits")
	}
	kind, ok := r.Header.Get("Req-Kind"), false // also the first part of the path
	if s.queryType, ok = t.types[kind]; !ok {
		return nil, fmt.Errorf("Req-Kind %.60q is not a known query type", kind)
	}
	if first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/"); first != kind {
		return nil, fmt.Errorf("the path is for %.60q, Req-Kind for %.60q", first, kind)
	}
	if len(t.customers) > 0 {
		owner := r.Header.Get("Req-Owner")
		if s.customer, ok = t.customers[owner]; !ok {
			return nil, fmt.Errorf("Req-Owner %.60q is not a known customer", owner)
		}
	}
	wait, err := strconv.ParseInt(r.Header.Get("Req-Deadline-Ms"), 10, 32)
	if err != nil || wait <= 0 {
		return nil, fmt.Errorf("Req-Deadline-Ms must be a whole number of milliseconds above 0")
	}
	s.timeout = balancer.Time(wait) * balancer.Millisecond
	if r.Body == nil {
		return nil, fmt.Errorf("the body is empty")
	}
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, fmt.Errorf("the body could not be read")
	}
	if !utf8.Valid(raw) {
		return nil, fmt.Errorf("the body is not UTF-8")
	}
	var b requestBody
	if err := json.Unmarshal(raw, &b); err != nil {
		return nil, fmt.Errorf("the body is not the JSON form: %.100s", err)
	}
	if len(b.Parts) == 0 {
		return nil, fmt.Errorf("tablets names no part")
	}
	if len(b.Text) < 2 || b.Text[0] != '"' {
		return nil, fmt.Errorf("statement is missing or not a JSON string")
	}
	if s.text, err = unquote(b.Text); err != nil {
		return nil, fmt.Errorf("statement is not a JSON string")
	}
	sum, seen := 0.0, map[int64]bool{}
	for _, p := range b.Parts {
		switch {
		case p.Shard == nil || *p.Shard < 0 || *p.Shard >= int64(t.deployment.Balancer.Shards):
			return nil, fmt.Errorf("a tablet is missing or out of range, 0 to %d are known", t.deployment.Balancer.Shards-1)
		case seen[*p.Shard]:
			return nil, fmt.Errorf("tablet %d is named twice", *p.Shard)
		case p.Weight == nil || !(0 <= *p.Weight && *p.Weight <= 1+weightTolerance):
			return nil, fmt.Errorf("the fraction of tablet %d is missing or not from 0 to 1", *p.Shard)
		case p.Guess < 0 || math.IsInf(p.Guess, 0):
			return nil, fmt.Errorf("the guess of tablet %d is below 0", *p.Shard)
		}
		seen[*p.Shard] = true
		sum += *p.Weight
		s.callSpecs = append(s.callSpecs, callSpec{balancer.ShardIndex(*p.Shard), *p.Weight, p.Guess / 1000})
	}
	if math.Abs(sum-1) > weightTolerance {
		return nil, fmt.Errorf("the fractions add up to %.6g, not to 1", sum)
	}
	if header := t.keyHeader; header != "" && t.deployment.Balancer.QueryTypes[s.queryType].Idempotency != balancer.Idempotent {
		s.key, s.digest = idempotencyKey(r, header, kind, s.wireID, raw)
	}
	if m := t.merging.Load(); m != nil && len(b.Merge) > 0 && string(b.Merge) != "null" {
		if s.query, err = t.mergeQuery(m, r, kind, s, b.Merge); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// idempotencyKey names a search that must not run twice: by the client's own key where it gives one, else by its id, as a client may
// send a request once more on another connection where the first was closed upon.
func idempotencyKey(r *http.Request, header, kind, wire string, body []byte) (idempotency.Key, idempotency.Digest) {
	own := "id " + wire
	if given := r.Header.Get(header); given != "" {
		own = "key " + given
	}
	h := blake3.New()
	for _, s := range []string{r.Header.Get("Req-Owner"), kind, own} {
		fmt.Fprintf(h, "%d:%s", len(s), s)
	}
	d := blake3.Sum256(body)
	return idempotency.Key(hex.EncodeToString(h.Sum(nil)[:16])), idempotency.Digest(binary.BigEndian.Uint64(d[:]))
}

// mergeQuery checks what a search wants merged.
func (t *transport) mergeQuery(m *operatorconfig.Merging, r *http.Request, kind string, s *clientRequest, raw json.RawMessage) (*merge.Query, error) {
	allowed := m.Types[kind]
	if allowed == nil {
		return nil, fmt.Errorf("searches of query type %s are not merged", kind)
	}
	terms, err := merge.ParseTerms(raw)
	if err != nil {
		return nil, err
	}
	var segments []merge.Asked
	for _, a := range s.callSpecs {
		segments = append(segments, merge.Asked{Segment: merge.Segment(a.shard), Weight: a.weight})
	}
	return allowed.Query(terms, segments, t.deployment.Balancer.QueryTypes[s.queryType].MinCoverage >= 1, merge.Paging{Keys: m.Keys,
		Life: m.CursorLife.Milliseconds(), Most: m.MostCursor, Now: time.Now().UnixMilli(), Type: kind,
		Customer: r.Header.Get("Req-Owner"), Statement: s.text})
}

// weightTolerance is how far from 1 rounding may bring a sum of weights: ten times what the rule on answers lets it fall
// short.
const weightTolerance = 1e-3

// setRetryAfter tells a client that was shed when to come back, where that is known.
func setRetryAfter(h http.Header, after balancer.Time) {
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(balancerconfig.Millis(after)/1000, 'f', -1, 64))
	}
}

func isHexID(id string) bool {
	for _, c := range []byte(id) {
		if !('0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F') {
			return false
		}
	}
	return 0 < len(id) && len(id) <= 32
}

// unquote gives a JSON string's bytes; without escapes those that came.
func unquote(raw []byte) ([]byte, error) {
	if bytes.IndexByte(raw, '\\') < 0 {
		return bytes.Clone(raw[1 : len(raw)-1]), nil
	}
	var text string
	err := json.Unmarshal(raw, &text)
	return []byte(text), err
}

func (t *transport) response(r *http.Request, a result) *http.Response {
	switch a.kind {
	case resultShed:
		res := textResponse(r, http.StatusServiceUnavailable, "the search cannot be answered now, asking again is harmless")
		setRetryAfter(res.Header, a.retryAfter)
		return res
	case resultDuplicateID:
		return textResponse(r, http.StatusBadRequest, "Req-Id is that of another search, which is still open")
	case resultKeyOpen:
		return textResponse(r, http.StatusConflict, "a search with the same key is still open")
	case resultKeyMismatch:
		return textResponse(r, http.StatusUnprocessableEntity, "the key is that of a different search")
	case resultFailed:
		return textResponse(r, http.StatusGatewayTimeout, "the search could not be answered in time")
	case resultMerged:
		defer a.merge.Close()
		answer, err := a.merge.Answer(a.complete)
		if err != nil { // never short of a part where that is forbidden, nor a number that is not known to be right
			return textResponse(r, http.StatusGatewayTimeout, "the search could not be answered: "+err.Error())
		}
		b := answer.JSON(nil)
		t.memory.ForceReserve(memorybudget.Answers, memorybudget.Bytes(len(b)))
		res := response(r, http.StatusOK, "application/json", b)
		res.Body = t.releaseOnClose(res.Body, memorybudget.Bytes(len(b)))
		return res
	}
	b := a.text
	if b == nil {
		b = encodeAnswer(a.complete, a.values)
	}
	res := response(r, http.StatusOK, "application/json", b)
	res.Body = t.releaseOnClose(res.Body, a.reserved)
	return res
}

// encodeAnswer is an answer as clients get it.
func encodeAnswer(whole bool, values []shardValue) []byte {
	b := append([]byte(`{"full":`), strconv.FormatBool(whole)...)
	b = append(b, `,"pieces":[`...)
	for i, v := range values {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, `{"tablet":`...)
		b = strconv.AppendInt(b, int64(v.shard), 10)
		b = append(b, `,"cell":`...)
		b = append(appendQuoted(b, v.value), '}')
	}
	return append(b, `]}`...)
}

// releaseOnClose gives back what an answer holds once it is written, or its client is gone.
func (t *transport) releaseOnClose(b io.ReadCloser, n memorybudget.Bytes) io.ReadCloser {
	return &accountedBody{ReadCloser: b, done: sync.OnceFunc(func() { t.memory.Release(memorybudget.Answers, n) })}
}

type accountedBody struct {
	io.ReadCloser
	done func()
}

func (b *accountedBody) Close() error {
	b.done()
	return b.ReadCloser.Close()
}

// appendQuoted writes a value, which is valid UTF-8, as a JSON string: its own bytes wherever JSON allows them.
func appendQuoted(b []byte, v string) []byte {
	for _, c := range []byte(v) {
		if c < ' ' || c == '"' || c == '\\' {
			text, _ := json.Marshal(v)
			return append(b, text...)
		}
	}
	return append(append(append(b, '"'), v...), '"')
}

func textResponse(r *http.Request, status int, text string) *http.Response {
	return response(r, status, "text/plain; charset=utf-8", []byte(text+"\n"))
}

func response(r *http.Request, status int, form string, b []byte) *http.Response {
	return &http.Response{StatusCode: status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Request: r,
		Header:        http.Header{"Content-Type": {form}, "Content-Length": {strconv.Itoa(len(b))}},
		ContentLength: int64(len(b)), Body: io.NopCloser(bytes.NewReader(b))}
}
