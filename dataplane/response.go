package dataplane

import (
	"bufio"
	"bytes"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"oxbowspan/balancer"
)

// Bounds on responses.
const (
	maxInterimResponses = 16                  // before the final one
	statusLinePrefix    = len("HTTP/1.1 200") // bytes that every response begins with
	maxTrailerLines     = 32
	keepAliveTravel     = 200 * time.Millisecond // taken off a server's keep-alive timeout for the network
)

// Faults of responses. After each the connection is of no use, and the request may have run.
var (
	errForeignResponse  = errors.New("response to another request, or to an unknown one")
	errSwitchedProtocol = errors.New("response in another protocol, which was not asked for")
	errInterimResponses = errors.New("too many interim responses")
	errStatusLine       = errors.New("malformed status line")
	errTrailerLineEnd   = errors.New("trailer line does not end in CR LF")
	errTrailerField     = errors.New("malformed trailer field")
	errTrailerLines     = errors.New("too many trailer lines")
)

// promisesNotExecuted reports whether a status promises that the request has not run and never will.
func promisesNotExecuted(status int) bool {
	switch status {
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable, fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest:
		return true
	}
	return false
}

// readResponse reads one complete response to a request. With an error, the bytes were no complete response to this request: the
// connection can't be used again and the request may have run. First means that the connection brought no response before. Keep is how
// long the connection may stay idle, 0 = not at all.
func readResponse(r *bufio.Reader, req *request, first bool, resp *fasthttp.Response) (outcome balancer.Outcome, keep time.Duration, err error) {
	if err := readFinalHeader(r, resp); err != nil {
		return balancer.Reset, 0, err
	}
	endsWithConn := false
	if !bodyless(req, resp.StatusCode()) {
		endsWithConn = resp.Header.ContentLength() == lengthIdentity
		if err := readResponseBody(r, resp); err != nil {
			return balancer.Reset, 0, err
		}
	}
	if !belongsToRequest(resp, req, first) {
		return balancer.Reset, 0, errForeignResponse
	}
	if endsWithConn {
		return responseOutcome(resp, req), 0, nil
	}
	return responseOutcome(resp, req), keepIdle(resp), nil
}

// bodyless reports whether a response has no body whatever its header says.
func bodyless(req *request, status int) bool {
	return req.method == "HEAD" || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// Values of fasthttp's ContentLength that are no length.
const (
	lengthChunked  = -1
	lengthIdentity = -2 // the body ends with the connection
)

// readResponseBody reads a body to its end. One without a length is complete where its connection was closed in order; a reset
// connection, or one that ends within a stated length, breaks it off.
func readResponseBody(r *bufio.Reader, resp *fasthttp.Response) error {
	if err := resp.ReadBody(r, maxResponseBytes); err != nil {
		return err
	}
	if resp.Header.ContentLength() == lengthChunked {
		return skipTrailer(r)
	}
	return nil
}

// keepIdle returns how long a connection may stay idle after a response, 0 = not at all.
func keepIdle(resp *fasthttp.Response) time.Duration {
	if resp.Header.ConnectionClose() || len(resp.Header.Peek("X-Attempt-Id")) == 0 || resp.StatusCode() == fasthttp.StatusMisdirectedRequest {
		return 0
	}
	if text := resp.Header.Peek("Keep-Alive"); len(text) > 0 {
		return min(maxIdle, keepAliveTimeout(string(text)))
	}
	return maxIdle
}

// readFinalHeader reads the header of the final response, past interim ones, which have no body whatever their headers say.
func readFinalHeader(r *bufio.Reader, resp *fasthttp.Response) error {
	for range maxInterimResponses {
		if err := checkStatusLine(r); err != nil {
			return err
		}
		if err := resp.Header.Read(r); err != nil {
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

// checkStatusLine checks that the next bytes begin a response, with a status from 100 to 599. The header parser would skip empty
// lines and take the status 000 for 200.
func checkStatusLine(r *bufio.Reader) error {
	b, err := r.Peek(statusLinePrefix)
	if err != nil {
		return err
	}
	status := b[len("HTTP/1.1 "):]
	if !bytes.HasPrefix(b, []byte("HTTP/1.")) || status[0] < '1' || status[0] > '5' {
		return errStatusLine
	}
	return nil
}

// belongsToRequest reports whether a response is this request's own: it has the request's id and no other (two stand in a header that
// was cut off, with another's behind it). A 421 may have none, and so may a success of a gathered route where it is the first response
// that its connection brings; the connection is closed after it, so that neither can be the late copy of an earlier response. Any
// other response without the id may be late, duplicated or unasked for, and would tell a wrong outcome of this request.
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

// skipTrailer reads the trailer behind the last chunk of a body, up to its empty line. Left in place it would be taken for the
// beginning of the next message.
func skipTrailer(r *bufio.Reader) error {
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

// responseOutcome returns the outcome of the attempt that a response belongs to.
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
		return balancer.Errored // without the mark the status promises nothing, and must not be forwarded as if it did
	case success && len(resp.Header.Peek("X-Server-Seal")) == 0:
		return balancer.Errored
	case len(resp.Header.Peek("Content-Encoding")) > 0:
		return balancer.Errored
	}
	return balancer.Answered
}

// keepAliveTimeout returns the timeout that a Keep-Alive field names, less a little for the network; maxIdle if it names none.
func keepAliveTimeout(field string) time.Duration {
	for parameter := range strings.SplitSeq(field, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(parameter), "=")
		if !ok || !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.Trim(strings.TrimSpace(value), `"`))
		if err == nil && seconds >= 0 {
			return max(time.Duration(seconds)*time.Second-keepAliveTravel, 0)
		}
	}
	return maxIdle
}

// isHopByHop reports whether a header field concerns one connection only, or is set anew on each.
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
