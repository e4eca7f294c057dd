package dataplane

import (
	"bufio"
	"bytes"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"oxbowspan/balancer"
)

// promisesNotExecuted tells whether a status promises that the request has not run and never will.
func promisesNotExecuted(status int) bool {
	switch status {
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable, fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest:
		return true
	}
	return false
}

// readResponse reads one whole answer to a request. With an error, the bytes were no whole answer to this request: the
// connection is of no more use and the request may have run. First says that the connection brought no answer before. Keep is how
// long the connection may rest, 0 = not at all.
func readResponse(r *bufio.Reader, s *request, first bool, resp *fasthttp.Response) (outcome balancer.Outcome, keep time.Duration, err error) {
	if err := readFinalHeader(r, resp); err != nil {
		return balancer.Reset, 0, err
	}
	status := resp.StatusCode()
	bodyless := s.method == "HEAD" || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
	if !bodyless {
		if resp.Header.ContentLength() == -2 {
			return balancer.Reset, 0, eris.New("an answer without a length: whether it is whole can't be known")
		}
		if err := resp.ReadBody(r, maxResponseBytes); err != nil {
			return balancer.Reset, 0, err
		}
		if resp.Header.ContentLength() == -1 {
			if err := skipTrailer(r); err != nil {
				return balancer.Reset, 0, err
			}
		}
	}
	if !belongsToRequest(resp, s, first) {
		return balancer.Reset, 0, eris.New("an answer to another request, or to nobody knows which")
	}
	keep = maxIdle
	if resp.Header.ConnectionClose() || len(resp.Header.Peek("X-Attempt-Id")) == 0 || status == fasthttp.StatusMisdirectedRequest {
		keep = 0
	}
	if text := resp.Header.Peek("Keep-Alive"); len(text) > 0 && keep > 0 {
		keep = min(keep, keepAliveTimeout(string(text)))
	}
	return responseOutcome(status, resp, s), keep, nil
}

// Bounds on the head of an answer.
const (
	maxInterimResponses = 16                  // that may come before the final one
	statusLinePrefix    = len("HTTP/1.1 200") // bytes that every answer begins with
)

// readFinalHeader reads the head of the final answer, past interim ones, which have no body whatever their lines say.
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
			return eris.New("an answer in another protocol, which nobody asked for")
		case status >= fasthttp.StatusOK:
			return nil
		}
	}
	return eris.New("too many interim answers")
}

// checkStatusLine sees that what comes begins as an answer does, with a status from 100 to 599. The reader of heads skips empty lines
// and takes the status 000 for 200.
func checkStatusLine(r *bufio.Reader) error {
	b, err := r.Peek(statusLinePrefix)
	if err != nil {
		return err
	}
	status := b[len("HTTP/1.1 "):]
	if !bytes.HasPrefix(b, []byte("HTTP/1.")) || status[0] < '1' || status[0] > '5' {
		return eris.New("what came does not begin as an answer does")
	}
	return nil
}

// belongsToRequest tells whether an answer is this request's own: it bears the request's id and no other (two stand in a head that was torn
// off, with another's behind it). A 421 may bear none, and so may a success as a part of a gathered answer where it is the first
// that its connection brings; the connection ends with it, so that neither is the late copy of an earlier answer. One of another
// kind without the id may be late, doubled or unasked for, and what it says of its request would be taken for what became of this
// one.
func belongsToRequest(resp *fasthttp.Response, s *request, first bool) bool {
	switch ids := resp.Header.PeekAll("X-Attempt-Id"); len(ids) {
	case 0:
		firstPart := first && s.route.Gathered() && resp.StatusCode()/100 == 2
		return s.attemptID == "" || firstPart || resp.StatusCode() == fasthttp.StatusMisdirectedRequest
	case 1:
		return string(ids[0]) == s.attemptID
	}
	return false
}

// maxTrailerLines is how many lines may stand behind the last chunk of a body.
const maxTrailerLines = 32

// skipTrailer reads what stands behind the last chunk of a body up to its empty line, which nobody here wants. Left in place it
// would be taken for the beginning of the next message.
func skipTrailer(r *bufio.Reader) error {
	for range maxTrailerLines {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return err
		}
		line, ended := bytes.CutSuffix(line, []byte("\r\n"))
		if !ended {
			return eris.New("a line behind the last chunk does not end as it must")
		}
		if len(line) == 0 {
			return nil
		}
		if name, _, ok := bytes.Cut(line, []byte(":")); !ok || len(name) == 0 || bytes.ContainsAny(name, " \t\r") {
			return eris.New("a line behind the last chunk is not a name, a colon and a value")
		}
	}
	return eris.New("too many lines behind the last chunk")
}

// responseOutcome is what an answer says of its sub-request.
func responseOutcome(status int, resp *fasthttp.Response, s *request) balancer.Outcome {
	marked := len(resp.Header.Peek("X-Not-Executed")) > 0
	switch {
	case status == fasthttp.StatusMisdirectedRequest:
		return balancer.Rejected
	case marked && (promisesNotExecuted(status) || status == fasthttp.StatusBadRequest):
		return balancer.Rejected
	case status/100 != 2 && (s.route.Gathered() || status >= 500 || promisesNotExecuted(status)):
		return balancer.Errored // a promise without the mark is the server's own word for something else, and must not go on as one
	case status/100 == 2 && len(resp.Header.Peek("X-Server-Seal")) == 0:
		return balancer.Errored
	case len(resp.Header.Peek("Content-Encoding")) > 0:
		return balancer.Errored
	}
	return balancer.Answered
}

// keepAliveTimeout is the time that a Keep-Alive field names, less a little for the way; what it does not name is no bound.
func keepAliveTimeout(text string) time.Duration {
	for field := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if ok && strings.EqualFold(strings.TrimSpace(name), "timeout") {
			if n, err := strconv.Atoi(strings.Trim(strings.TrimSpace(value), `"`)); err == nil && n >= 0 {
				return max(time.Duration(n)*time.Second-200*time.Millisecond, 0)
			}
		}
	}
	return maxIdle
}

// isHopByHop tells whether a header field concerns one connection only, or is set anew on each.
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
