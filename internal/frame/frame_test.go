package frame

import (
	"bytes"
	"errors"
	"io"
	"testing"
)

// FuzzRead checks that any input is either read or rejected with one of the documented errors, without large allocations.
func FuzzRead(f *testing.F) {
	f.Add(New(ResponseFrame, "9b1f03aa5c7e2d41.3 served 1840277719 inflight=7,util=0.61\n5be2a07c"))
	f.Add(New(LoadCheckFrame, "inflight=7"))
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 'a'})
	f.Fuzz(func(t *testing.T, in []byte) {
		r := bytes.NewReader(in)
		for {
			frameType, content, grown, err := Read(r, nil)
			if cap(grown) > 2*len(in)+2*readChunk {
				t.Fatalf("%d bytes allocated for an input of %d bytes", cap(grown), len(in))
			}
			if err != nil {
				if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !IsFormatError(err) {
					t.Fatalf("unexpected error %v", err)
				}
				return
			}
			if a, err := ParseResponse(content); frameType == ResponseFrame && err == nil {
				if !bytes.HasSuffix(content, a.Value) || len(a.ID) == 0 {
					t.Fatalf("%q parsed as %+v", content, a)
				}
				LoadReportValue(a.Report, "queue")
			}
		}
	})
}

func TestParseResponse(t *testing.T) {
	a, err := ParseResponse([]byte("9b1f.3 broke 1840277719 inflight=7,util=0.61\nv\nv"))
	if err != nil || string(a.ID) != "9b1f.3" || a.Status != Failed || string(a.Value) != "v\nv" {
		t.Errorf("got %+v, %v", a, err)
	}
	if string(a.Report) != "inflight=7,util=0.61" {
		t.Errorf("got load report %q", a.Report)
	}
}

func TestParseResponseErrors(t *testing.T) {
	for name, content := range map[string]string{
		"empty":              "",
		"no newline":         "a b c d",
		"three fields":       "a served c\n",
		"no value":           "a served c d",
		"no id":              " served c d\n",
		"score not a number": "a served c d\n",
		"unknown status":     "a lost 1 -\n",
		"value not UTF-8":    "a served 1 -\n\xff",
		"several errors":     "a lost c d\n\xff",
	} {
		t.Run(name, func(t *testing.T) {
			if a, err := ParseResponse([]byte(content)); !IsFormatError(err) {
				t.Errorf("got %+v, %v, want a FormatError", a, err)
			}
		})
	}
}

func TestLoadReportValue(t *testing.T) {
	if v, ok := LoadReportValue([]byte("inflight=7,util=0.61"), "inflight"); !ok || v != 7 {
		t.Errorf("got %v, %v", v, ok)
	}
	for _, report := range []string{"-", "inflight", "inflight=x", "inflight=NaN", "inflight=+Inf"} {
		t.Run(report, func(t *testing.T) {
			if v, ok := LoadReportValue([]byte(report), "inflight"); ok {
				t.Errorf("got %v, want no value", v)
			}
		})
	}
}

func TestReadErrors(t *testing.T) {
	for name, test := range map[string]struct {
		in   string
		want error // nil = a FormatError
	}{
		"end of input":      {"", io.EOF},
		"truncated length":  {"\x00\x00", io.ErrUnexpectedEOF},
		"truncated content": {"\x00\x00\x00\x09a", io.ErrUnexpectedEOF},
		"length 0":          {"\x00\x00\x00\x00", nil},
		"length too large":  {"\xff\xff\xff\xffa", nil},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, _, err := Read(bytes.NewReader([]byte(test.in)), nil)
			if test.want == nil && !IsFormatError(err) || test.want != nil && !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}
