package dataplane

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"oxbowspan/balancer"
)

// Limits of responses.
const (
	maxInterimResponses    = 16                  // before the final response
	statusLinePrefixBytes  = len("HTTP/1.1 200") // length of the part of the status line that is checked
	maxTrailerLines        = 32
	keepAliveNetworkMargin = 200 * time.Millisecond // subtracted from a server's keep-alive timeout to allow for network latency
)

// Errors of malformed or mismatched responses. After each of them the connection must be closed, and the request may have
// run.
var (
	errMismatchedResponse = errors.New("response to another or an unknown request")
	errSwitchedProtocol   = errors.New("server switched protocols without a request to do so")
	errInterimResponses   = errors.New("too many interim responses")
	errStatusLine         = errors.New("malformed status line")
	errTrailerLineEnd     = errors.New("trailer line does not end in CR LF")
	errTrailerField       = errors.New("malformed trailer field")
	errTrailerLines       = errors.New("too many trailer lines")
)

// promisesNotExecuted reports whether a status declares that the request has not run and never will.
func promisesNotExecuted(status int) bool {
	switch status {
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable, fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest:
		return true
	}
	return false
}

// readResponse reads one complete response to a request. First is true for the first response of the connection. An error
// means that no complete response to this request was read: the connection must be closed, and the request may have run.
// IdleTimeout is how long the connection may stay idle afterwards; 0 = it must be closed.
func readResponse(r *messageReader, req *request, first bool, resp *fasthttp.Response) (outcome balancer.Outcome, idleTimeout time.Duration, err error) {
	if err := readFinalHeader(r, resp); err != nil {
		return balancer.Reset, 0, err
	}
	closeDelimited := false
	if !bodyless(req, resp.StatusCode()) {
		closeDelimited = resp.Header.ContentLength() == lengthUntilClose
		if err := readResponseBody(r, resp); err != nil {
			return balancer.Reset, 0, err
		}
	}
	if !belongsToRequest(resp, req, first) {
		return balancer.Reset, 0, errMismatchedResponse
	}
	if closeDelimited {
		return responseOutcome(resp, req), 0, nil
	}
	return responseOutcome(resp, req), reuseTimeout(resp), nil
}

// bodyless reports whether a response has no body regardless of its header.
func bodyless(req *request, status int) bool {
	return req.method == "HEAD" || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// Special values of fasthttp's ContentLength.
const (
	lengthChunked    = -1
	lengthUntilClose = -2 // neither a length nor chunked: the body ends when the connection is closed
)

// readResponseBody reads a complete body. A body without a length is complete if the connection is closed cleanly. It
// returns an error if the connection is reset or closed before the stated length.
func readResponseBody(r *messageReader, resp *fasthttp.Response) error {
	if err := resp.ReadBody(r.Reader, maxResponseBytes); err != nil {
		return err
	}
	if resp.Header.ContentLength() == lengthChunked {
		return skipTrailer(r)
	}
	return nil
}

// reuseTimeout returns how long a connection may stay idle after a response; 0 = it must be closed.
func reuseTimeout(resp *fasthttp.Response) time.Duration {
	if resp.Header.ConnectionClose() || len(resp.Header.Peek("X-Attempt-Id")) == 0 || resp.StatusCode() == fasthttp.StatusMisdirectedRequest {
		return 0
	}
	if text := resp.Header.Peek("Keep-Alive"); len(text) > 0 {
		return min(maxIdleTime, keepAliveTimeout(string(text)))
	}
	return maxIdleTime
}

// readFinalHeader skips interim responses and reads the header of the final one. Interim responses have no body
// regardless of their headers.
func readFinalHeader(r *messageReader, resp *fasthttp.Response) error {
	for range maxInterimResponses {
		if err := checkStatusLine(r); err != nil {
			return err
		}
		if err := r.readHeader(resp.Header.Read); err != nil {
			return err
		}
		switch status := resp.StatusCode(); {
		case status == fasthttp.StatusSwitchingProtocols:
			return errSwitchedProtocol
		case status >= fasthttp.StatusOK:
			return nil
		}
	}
	return errInterimResponses
}

// checkStatusLine checks that a response with a status from 100 to 599 follows. The header parser alone would skip empty
// lines and treat the status 000 as 200.
func checkStatusLine(r *messageReader) error {
	b, err := r.Peek(statusLinePrefixBytes)
	if err != nil {
		return err
	}
	status := b[len("HTTP/1.1 "):]
	if !bytes.HasPrefix(b, []byte("HTTP/1.")) || status[0] < '1' || status[0] > '5' {
		return errStatusLine
	}
	return nil
}

// belongsToRequest reports whether a response belongs to this request: it must contain the request's id and no other. (A
// truncated header followed by another response's header contains two.) A 421 may lack the id, and so may a success of a
// gathered route that is the first response of its connection. The connection is closed after either, so that neither can
// be a late copy of an earlier response. Any other response without the id may be late, duplicated or unsolicited, and
// would give this request a wrong outcome. The response to a request without an id must not contain an id either.
func belongsToRequest(resp *fasthttp.Response, req *request, first bool) bool {
	switch ids := resp.Header.PeekAll("X-Attempt-Id"); len(ids) {
	case 0:
		firstGathered := first && req.route.Gathered() && resp.StatusCode()/100 == 2
		return req.attemptID == "" || firstGathered || resp.StatusCode() == fasthttp.StatusMisdirectedRequest
	case 1:
		return string(ids[0]) == req.attemptID
	}
	return false
}

// skipTrailer reads the trailer section that follows the last chunk of a body, including its terminating empty line. If
// left unread, it would be parsed as the beginning of the next message.
func skipTrailer(r *messageReader) error {
	for range maxTrailerLines {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return err
		}
		line, ended := bytes.CutSuffix(line, []byte("\r\n"))
		if !ended {
			return errTrailerLineEnd
		}
		if len(line) == 0 {
			return nil
		}
		if name, _, ok := bytes.Cut(line, []byte(":")); !ok || len(name) == 0 || bytes.ContainsAny(name, " \t\r") {
			return errTrailerField
		}
	}
	return errTrailerLines
}

// responseOutcome returns the outcome of the attempt to which a response belongs. A success must have a seal, and no
// response may have a content encoding.
func responseOutcome(resp *fasthttp.Response, req *request) balancer.Outcome {
	status := resp.StatusCode()
	success := status/100 == 2
	notExecuted := len(resp.Header.Peek("X-Not-Executed")) > 0
	switch {
	case status == fasthttp.StatusMisdirectedRequest:
		return balancer.Rejected
	case notExecuted && (promisesNotExecuted(status) || status == fasthttp.StatusBadRequest):
		return balancer.Rejected
	case !success && (req.route.Gathered() || status >= 500 || promisesNotExecuted(status)):
		return balancer.Errored // without X-Not-Executed the status proves nothing, and must not be forwarded as if it did
	case success && len(resp.Header.Peek("X-Server-Seal")) == 0:
		return balancer.Errored
	case len(resp.Header.Peek("Content-Encoding")) > 0:
		return balancer.Errored
	}
	return balancer.Answered
}

// keepAliveTimeout returns the timeout parameter of a Keep-Alive field minus keepAliveNetworkMargin, at least 0;
// maxIdleTime if there is no valid timeout.
func keepAliveTimeout(field string) time.Duration {
	for parameter := range strings.SplitSeq(field, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(parameter), "=")
		if !ok || !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.Trim(strings.TrimSpace(value), `"`))
		if err == nil && seconds >= 0 {
			return max(time.Duration(seconds)*time.Second-keepAliveNetworkMargin, 0)
		}
	}
	return maxIdleTime
}

// isHopByHop reports whether a header field applies to a single connection, or is set again by each sender.
func isHopByHop(name []byte) bool {
	switch len(name) {
	case 2:
		return bytes.EqualFold(name, []byte("TE"))
	case 6:
		return bytes.EqualFold(name, []byte("Expect"))
	case 7:
		return bytes.EqualFold(name, []byte("Trailer")) || bytes.EqualFold(name, []byte("Upgrade"))
	case 10:
		return bytes.EqualFold(name, []byte("Connection")) || bytes.EqualFold(name, []byte("Keep-Alive"))
	case 14:
		return bytes.EqualFold(name, []byte("Content-Length"))
	case 16:
		return bytes.EqualFold(name, []byte("Proxy-Connection"))
	case 17:
		return bytes.EqualFold(name, []byte("Transfer-Encoding"))
	}
	return false
}
