package frame

import (
	"bytes"
	"fmt"
	"strconv"
	"unicode/utf8"
)

// Status is the outcome of a call at a server.
type Status uint8

// Statuses of a call.
const (
	Served   Status = iota // the call was executed
	Failed                 // the call may have been executed
	Rejected               // the call was not executed
)

// Names of the statuses in frames. The response to a health check without a load report consists of StatusServed or StatusFailed only.
const (
	StatusServed   = "served"
	StatusFailed   = "broke"
	StatusRejected = "skipped"
)

// ResponseBody is the parsed content of an ResponseFrame. Its slices alias the frame.
type ResponseBody struct {
	ID, Report, Value []byte
	Status            Status
}

// ParseResponse parses the content of an ResponseFrame: a line with the id, status, score and load report, followed by the value.
// Errors are of type *FormatError. The ID is set even if an error is returned, provided that the line has one, because the call
// with that id was executed.
func ParseResponse(content []byte) (a ResponseBody, err error) {
	line, value, ok := bytes.Cut(content, []byte{'\n'})
	fields := bytes.SplitN(line, []byte{' '}, 4)
	a.ID = fields[0]
	if !ok || len(fields) != 4 || len(a.ID) == 0 {
		return a, &FormatError{fmt.Sprintf("answer line %.60q is not 'ID END SCORE REPORT'", line)}
	}
	status, score, report := fields[1], fields[2], fields[3]
	if _, err := strconv.ParseFloat(string(score), 64); err != nil && string(score) != "-" {
		return a, &FormatError{fmt.Sprintf("answer score %.40q is not a number", score)}
	}
	if !utf8.Valid(value) {
		return a, &FormatError{"answer value is not valid UTF-8"}
	}
	a.Report, a.Value = report, value
	switch string(status) {
	case StatusServed:
		a.Status = Served
	case StatusFailed:
		a.Status = Failed
	case StatusRejected:
		a.Status = Rejected
	default:
		return a, &FormatError{fmt.Sprintf("answer status %.20q is unknown", status)}
	}
	return a, nil
}

// LoadReportValue returns the value with the given name in a load report such as "inflight=7,util=0.61". The second result is false
// if the report has no such value or if it is not a finite number.
func LoadReportValue(report []byte, name string) (float64, bool) {
	for pair := range bytes.SplitSeq(report, []byte{','}) {
		if key, value, ok := bytes.Cut(pair, []byte{'='}); ok && string(key) == name {
			v, err := strconv.ParseFloat(string(value), 64)
			return v, err == nil && v-v == 0 // v-v is NaN for infinities and NaN
		}
	}
	return 0, false
}
