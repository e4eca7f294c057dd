package frame

import (
	"bytes"
	"fmt"
	"strconv"
	"unicode/utf8"
)

// Status is how a call ended at a server.
type Status uint8

// Statuses of a call.
const (
	Served   Status = iota // it ran
	Failed                 // it may have run
	Rejected               // it never ran
)

// Names of the statuses in frames. An answer to a health check is StatusServed or StatusFailed alone.
const (
	StatusServed   = "served"
	StatusFailed   = "broke"
	StatusRejected = "skipped"
)

// AnswerBody is the content of an AnswerFrame. Its slices alias the frame.
type AnswerBody struct {
	ID, Report, Value []byte
	Status            Status
}

// ParseAnswer parses the content of an AnswerFrame: a line of id, status, score and load report, then the value. Its
// errors are *FormatError. With an error the ID is set if the line has one, as that call has run.
func ParseAnswer(content []byte) (a AnswerBody, err error) {
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

// ReportValue returns a figure of a load report such as "inflight=7,util=0.61". It reports false if there is none of that
// name, or if it is not a finite number.
func ReportValue(report []byte, name string) (float64, bool) {
	for pair := range bytes.SplitSeq(report, []byte{','}) {
		if key, value, ok := bytes.Cut(pair, []byte{'='}); ok && string(key) == name {
			v, err := strconv.ParseFloat(string(value), 64)
			return v, err == nil && v-v == 0 // infinities and NaN give NaN
		}
	}
	return 0, false
}
