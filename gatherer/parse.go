package gatherer

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/zeebo/blake3"

	"oxbowspan/balancer"
	"oxbowspan/idempotency"
	"oxbowspan/internal/operatorconfig"
	"oxbowspan/merge"
)

// Names of request headers.
const (
	headerRequestID = "Req-Id"
	headerQueryType = "Req-Kind"
	headerCustomer  = "Req-Owner" // name of the customer
	headerRetry     = "Req-Retry"
	headerDeadline  = "Req-Deadline-Ms"
)

// maxIDLength is the greatest number of hex digits of a Req-Id.
const maxIDLength = 32

// weightTolerance is the rounding error allowed in the sum of weights. The balancer relates weights to their sum.
const weightTolerance = 1e-3

// microsPerMillisecond converts the expected work of a call, which clients specify in microseconds, to milliseconds.
const microsPerMillisecond = 1000

// Errors in requests. Their texts are sent to the client.
var (
	errBadID       = errors.New("Req-Id must be 1 to 32 hex digits")
	errBadDeadline = errors.New("Req-Deadline-Ms must be a whole number of milliseconds above 0")
	errNoBody      = errors.New("the body is empty")
	errBodyRead    = errors.New("the body could not be read")
	errBodyUTF8    = errors.New("the body is not UTF-8")
	errNoCalls     = errors.New("tablets names no part")
	errNoStatement = errors.New("statement is missing or not a JSON string")
	errStatement   = errors.New("statement is not a JSON string")
)

// requestBody is the JSON body of a request. Other members are ignored.
type requestBody struct {
	Calls     []bodyCall      `json:"tablets"`
	Statement json.RawMessage `json:"statement"` // sent with each call
	Merge     json.RawMessage `json:"merge"`
}

// bodyCall is a call in the body of a request: the part of a search that one shard answers.
type bodyCall struct {
	Shard          *int64   `json:"tablet"`
	Weight         *float64 `json:"fraction"`
	ExpectedMicros float64  `json:"guess"` // expected work in microseconds
}

// parseRequest parses and checks a request. The text of an error is sent to the client.
func (t *transport) parseRequest(r *http.Request) (*clientRequest, error) {
	req := &clientRequest{wireID: r.Header.Get(headerRequestID), retry: r.Header.Get(headerRetry) == "1",
		result: make(chan result, 1)}
	if err := t.parseHeader(req, r); err != nil {
		return nil, err
	}
	raw, err := readBodyText(r)
	if err != nil {
		return nil, err
	}
	var body requestBody
	if err := json.Unmarshal(raw, &body); err != nil {
		return nil, fmt.Errorf("the body is not the JSON form: %.100s", err)
	}
	if len(body.Calls) == 0 {
		return nil, errNoCalls
	}
	if len(body.Statement) < 2 || body.Statement[0] != '"' {
		return nil, errNoStatement
	}
	if req.text, err = unquote(body.Statement); err != nil {
		return nil, errStatement
	}
	if err := t.parseCalls(req, body.Calls); err != nil {
		return nil, err
	}
	idempotent := t.deployment.Balancer.QueryTypes[req.queryType].Idempotency == balancer.Idempotent
	if t.keyHeader != "" && !idempotent {
		req.key, req.digest = idempotencyKey(r, t.keyHeader, raw)
	}
	if m := t.merging.Load(); m != nil && len(body.Merge) > 0 && string(body.Merge) != "null" {
		if req.query, err = t.mergeQuery(m, r, req, body.Merge); err != nil {
			return nil, err
		}
	}
	return req, nil
}

// parseHeader parses the headers of a request into req, and checks that the path names the same query type.
func (t *transport) parseHeader(req *clientRequest, r *http.Request) error {
	if !isHexID(req.wireID) {
		return errBadID
	}
	queryType, ok := r.Header.Get(headerQueryType), false
	if req.queryType, ok = t.types[queryType]; !ok {
		return fmt.Errorf("Req-Kind %.60q is not a known query type", queryType)
	}
	if first := firstSegment(r.URL.Path); first != queryType {
		return fmt.Errorf("the path is for %.60q, Req-Kind for %.60q", first, queryType)
	}
	if len(t.customers) > 0 {
		owner := r.Header.Get(headerCustomer)
		if req.customer, ok = t.customers[owner]; !ok {
			return fmt.Errorf("Req-Owner %.60q is not a known customer", owner)
		}
	}
	millis, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 32)
	if err != nil || millis <= 0 {
		return errBadDeadline
	}
	req.timeout = balancer.Time(millis) * balancer.Millisecond
	return nil
}

// firstSegment returns the first segment of a path, which names the query type.
func firstSegment(path string) string {
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return first
}

// readBodyText reads the body, which must be valid UTF-8.
func readBodyText(r *http.Request) ([]byte, error) {
	if r.Body == nil {
		return nil, errNoBody
	}
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, errBodyRead
	}
	if !utf8.Valid(raw) {
		return nil, errBodyUTF8
	}
	return raw, nil
}

// parseCalls checks the calls of a request and adds them to req. Each shard may occur once, and the weights must add up
// to 1.
func (t *transport) parseCalls(req *clientRequest, calls []bodyCall) error {
	shards := t.deployment.Balancer.Shards
	sum, seen := 0.0, map[int64]bool{}
	for _, c := range calls {
		switch {
		case c.Shard == nil || *c.Shard < 0 || *c.Shard >= int64(shards):
			return fmt.Errorf("a tablet is missing or out of range, 0 to %d are known", shards-1)
		case seen[*c.Shard]:
			return fmt.Errorf("tablet %d is named twice", *c.Shard)
		case c.Weight == nil || !(0 <= *c.Weight && *c.Weight <= 1+weightTolerance):
			return fmt.Errorf("the fraction of tablet %d is missing or not from 0 to 1", *c.Shard)
		case c.ExpectedMicros < 0 || math.IsInf(c.ExpectedMicros, 0):
			return fmt.Errorf("the guess of tablet %d is below 0", *c.Shard)
		}
		seen[*c.Shard] = true
		sum += *c.Weight
		req.callSpecs = append(req.callSpecs,
			callSpec{shard: balancer.ShardIndex(*c.Shard), weight: *c.Weight, size: c.ExpectedMicros / microsPerMillisecond})
	}
	if math.Abs(sum-1) > weightTolerance {
		return fmt.Errorf("the fractions add up to %.6g, not to 1", sum)
	}
	return nil
}

// idempotencyKey returns the idempotency key of a request that must not run twice, and the digest of its body. The key
// is a hash of the customer, the query type and the key that the client sent, or the Req-Id if it sent none: a client
// may send a request again under the same Req-Id after its connection was closed.
func idempotencyKey(r *http.Request, header string, body []byte) (idempotency.Key, idempotency.Digest) {
	source := "id " + r.Header.Get(headerRequestID)
	if clientKey := r.Header.Get(header); clientKey != "" {
		source = "key " + clientKey
	}
	h := blake3.New()
	for _, s := range []string{r.Header.Get(headerCustomer), r.Header.Get(headerQueryType), source} {
		fmt.Fprintf(h, "%d:%s", len(s), s)
	}
	digest := blake3.Sum256(body)
	return idempotency.Key(hex.EncodeToString(h.Sum(nil)[:16])), idempotency.Digest(binary.BigEndian.Uint64(digest[:]))
}

// mergeQuery parses the merge member of a request body and checks it against the configuration of its query type.
func (t *transport) mergeQuery(m *operatorconfig.Merging, r *http.Request, req *clientRequest,
	raw json.RawMessage) (*merge.Query, error) {
	queryType := r.Header.Get(headerQueryType)
	allowed := m.Types[queryType]
	if allowed == nil {
		return nil, fmt.Errorf("searches of query type %s are not merged", queryType)
	}
	terms, err := merge.ParseRequest(raw)
	if err != nil {
		return nil, err
	}
	var segments []merge.SegmentWeight
	for _, spec := range req.callSpecs {
		segments = append(segments, merge.SegmentWeight{Segment: merge.Segment(spec.shard), Weight: spec.weight})
	}
	completeOnly := t.deployment.Balancer.QueryTypes[req.queryType].MinCoverage >= 1
	return allowed.NewQuery(terms, segments, completeOnly, merge.Paging{Keys: m.Keys, Lifetime: m.CursorLifetime.Milliseconds(),
		MaxLength: m.MaxCursorBytes, Now: time.Now().UnixMilli(), QueryType: queryType, Customer: r.Header.Get(headerCustomer),
		Statement: req.text})
}

// isHexID reports whether an id consists of 1 to maxIDLength hex digits.
func isHexID(id string) bool {
	for _, c := range []byte(id) {
		if !('0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F') {
			return false
		}
	}
	return 0 < len(id) && len(id) <= maxIDLength
}

// unquote decodes a JSON string. A string without escapes is copied byte for byte.
func unquote(raw []byte) ([]byte, error) {
	if bytes.IndexByte(raw, '\\') < 0 {
		return bytes.Clone(raw[1 : len(raw)-1]), nil
	}
	var text string
	err := json.Unmarshal(raw, &text)
	return []byte(text), err
}
