package dataplane

import (
	"bytes"
	"strings"

	"github.com/valyala/fasthttp"
)

// framingError describes why the framing of a request is rejected. Its text is sent to the client in the response body.
type framingError string

func (e framingError) Error() string { return string(e) }

// The errors returned by checkFraming.
const (
	errHeaderLineEnd  framingError = "a header line does not end as it must"
	errHeaderField    framingError = "a header line is not a name, a colon and a value"
	errContentLength  framingError = "the length is not a number"
	errTransferCoding framingError = "the only transfer coding that is understood is chunked"
	errSeveralLengths framingError = "the request states more than one length"
	errSeveralIDs     framingError = "the request bears more than one id"
	errRequestTarget  framingError = "the request's target is not a path"
)

// framing counts the header fields that must not be repeated: those that determine the end of a request, and its id.
type framing struct {
	lengths, chunked, ids int
}

// checkFraming returns an error if the header of a request is malformed or its framing is ambiguous. In an ambiguous
// request another parser of the same bytes might find a second request (request smuggling).
func checkFraming(req *fasthttp.Request) error {
	var f framing
	for line := range bytes.SplitAfterSeq(req.Header.RawHeaders(), []byte("\n")) {
		if len(line) == 0 {
			continue // the empty remainder after the last line end
		}
		line, ended := bytes.CutSuffix(line, []byte("\r\n"))
		if !ended {
			return errHeaderLineEnd
		}
		if len(line) == 0 {
			continue
		}
		if err := f.addField(line); err != nil {
			return err
		}
	}
	uri := req.Header.RequestURI()
	switch {
	case f.lengths > 1 || f.chunked > 1 || f.lengths > 0 && f.chunked > 0:
		return errSeveralLengths
	case f.ids > 1:
		return errSeveralIDs
	case len(uri) == 0 || uri[0] != '/' || bytes.ContainsAny(uri, " \r\n\t"):
		return errRequestTarget
	}
	return nil
}

// addField checks and counts one header field, given without its line end.
func (f *framing) addField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t\r") || bytes.IndexByte(value, '\r') >= 0 {
		return errHeaderField
	}
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		f.lengths++
		if !isNumber(bytes.TrimSpace(value)) {
			return errContentLength
		}
	case hasName(name, attemptIDField):
		f.ids++
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.chunked++
		if !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
			return errTransferCoding
		}
	}
	return nil
}

// isNumber reports whether text consists of one or more decimal digits.
func isNumber(text []byte) bool {
	return len(text) > 0 && !bytes.ContainsFunc(text, func(r rune) bool { return r < '0' || r > '9' })
}

// Names of header fields that the gateway reads in requests. Field names are case-insensitive, and the header parser keeps them as the
// client sent them, so that they are found by hasName only.
const (
	attemptIDField  = "X-Attempt-Id"
	deadlineField   = "X-Deadline-Remaining"
	connectionField = "Connection"
	expectField     = "Expect"
)

// hasName reports whether the name of a header field is the given one, ignoring case.
func hasName(field []byte, name string) bool {
	return len(field) == len(name) && strings.EqualFold(string(field), name)
}

// requestFields are the header fields of a request that the gateway forwards or uses.
type requestFields struct {
	forwarded []byte // lines that are forwarded to servers, each ending in CR LF, Host first
	attemptID string // "" = the client sent none
	deadline  []byte // value of X-Deadline-Remaining; nil = the client sent none
}

// readFields returns the fields of a request's header.
func readFields(header *fasthttp.RequestHeader) requestFields {
	connection := connectionFields(header)
	b := make([]byte, 0, 256)
	b = append(b, "Host: "...)
	b = append(b, header.Host()...)
	b = append(b, "\r\n"...)
	var fields requestFields
	for name, value := range header.All() {
		switch {
		case hasName(name, attemptIDField):
			fields.attemptID = string(value)
		case hasName(name, deadlineField):
			fields.deadline = value
		}
		if isHopByHop(name) || isSetByGateway(name) || containsFold(connection, name) {
			continue
		}
		b = appendField(b, name, value)
	}
	fields.forwarded = b
	return fields
}

// connectionFields returns the field names listed in a request's Connection fields, without X-Attempt-Id: that field is
// always forwarded, as responses are matched by it.
func connectionFields(header *fasthttp.RequestHeader) (names [][]byte) {
	for field, value := range header.All() {
		if !hasName(field, connectionField) {
			continue
		}
		for name := range bytes.SplitSeq(value, []byte(",")) {
			if name = bytes.TrimSpace(name); !hasName(name, attemptIDField) {
				names = append(names, name)
			}
		}
	}
	return names
}

// expectsContinue reports whether a client waits for the interim response 100 before it sends the body.
func expectsContinue(header *fasthttp.RequestHeader) bool {
	for name, value := range header.All() {
		if hasName(name, expectField) {
			return bytes.EqualFold(value, []byte("100-continue"))
		}
	}
	return false
}

// isSetByGateway reports whether the gateway replaces a field in the requests that it forwards by its own.
func isSetByGateway(name []byte) bool {
	return hasName(name, "Host") || hasName(name, deadlineField) || hasName(name, "X-Expected-Instance")
}

// containsFold reports whether names contains name, ignoring case.
func containsFold(names [][]byte, name []byte) bool {
	for _, other := range names {
		if bytes.EqualFold(name, other) {
			return true
		}
	}
	return false
}

// appendField appends a header line to b.
func appendField(b, name, value []byte) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
