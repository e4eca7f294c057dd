package gatherer

import (
	"strings"
	"testing"
)

func TestRequestFramer(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: x\r\n"
	for name, test := range map[string]struct {
		text          string
		requestsBegun int
		atBoundary    bool
		inHead        bool
		ambiguous     bool
	}{
		"no body":                 {head + "\r\n", 1, true, false, false},
		"two requests":            {head + "\r\n" + head + "\r\n", 2, true, false, false},
		"length":                  {head + "Content-Length: 2\r\n\r\nab", 1, true, false, false},
		"incomplete body":         {head + "Content-Length: 2\r\n\r\na", 1, false, false, false},
		"incomplete line":         {"POST / HT", 1, false, true, false},
		"incomplete head":         {head, 1, false, true, false},
		"next head":               {head + "Content-Length: 2\r\n\r\nabP", 2, false, true, false},
		"chunked":                 {head + "Transfer-Encoding: chunked\r\n\r\n2;x=1\r\nab\r\n0\r\nA: b\r\n\r\n", 1, true, false, false},
		"two lengths":             {head + "Content-Length: 2\r\nContent-Length: 2\r\n\r\n", 1, false, false, true},
		"length and chunked":      {head + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", 1, false, false, true},
		"other encoding":          {head + "Transfer-Encoding: gzip, chunked\r\n\r\n", 1, false, false, true},
		"chunked in HTTP/1.0":     {"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", 1, false, false, true},
		"folded line":             {head + "A: b\r\n c\r\n", 1, false, false, true},
		"length not a number":     {head + "Content-Length: +2\r\n", 1, false, false, true},
		"chunk without its end":   {head + "Transfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n", 1, false, false, true},
		"chunk size not a number": {head + "Transfer-Encoding: chunked\r\n\r\nx\r\n", 1, false, false, true},
		"long line":               {strings.Repeat("a", 2*maxHeaderBytes+1), 1, false, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			whole, bytewise := requestFramer{}, requestFramer{}
			whole.feed([]byte(test.text))
			for i := range len(test.text) {
				bytewise.feed([]byte(test.text[i : i+1]))
			}
			for how, f := range map[string]*requestFramer{"at once": &whole, "byte by byte": &bytewise} {
				if f.requestsBegun != test.requestsBegun || f.atRequestBoundary() != test.atBoundary || f.inHead() != test.inHead ||
					(f.firstAmbiguous > 0) != test.ambiguous {
					t.Errorf("%s: %d requests begun, at boundary %t, in head %t, first ambiguous request %d", how, f.requestsBegun,
						f.atRequestBoundary(), f.inHead(), f.firstAmbiguous)
				}
			}
		})
	}
}
