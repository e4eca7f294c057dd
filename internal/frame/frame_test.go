package frame

import (
	"bytes"
	"errors"
	"io"
	"testing"
)

func FuzzRead(f *testing.F) {
	f.Add(New(AnswerFrame, "9b1f03aa5c7e2d41.3 served 1840277719 inflight=7,util=0.61\n5be2a07c"))
	f.Add(New(LoadCheckFrame, "inflight=7"))
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 'a'})
	f.Fuzz(func(t *testing.T, in []byte) {
		r := bytes.NewReader(in)
		for {
			letter, rest, grown, err := Read(r, nil)
			if cap(grown) > 2*len(in)+2*readChunk {
				t.Fatalf("%d bytes were set aside for %d", cap(grown), len(in))
			}
			if err != nil {
				if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !IsFormatError(err) {
					t.Fatalf("unexpected %v", err)
				}
				return
			}
			if a, err := ParseAnswer(rest); letter == AnswerFrame && err == nil {
				if !bytes.HasSuffix(rest, a.Value) || len(a.ID) == 0 {
					t.Fatalf("%q became %+v", rest, a)
				}
				ReportValue(a.Report, "queue")
			}
		}
	})
}

func TestParseAnswerAndReport(t *testing.T) {
	a, err := ParseAnswer([]byte("9b1f.3 broke 1840277719 inflight=7,util=0.61\nv\nv"))
	if err != nil || string(a.ID) != "9b1f.3" || a.Status != Failed || string(a.Value) != "v\nv" {
		t.Errorf("got %+v, %v", a, err)
	}
	if v, ok := ReportValue(a.Report, "inflight"); !ok || v != 7 {
		t.Errorf("inflight is %v, %v", v, ok)
	}
	for _, report := range []string{"-", "inflight", "inflight=x", "inflight=NaN", "inflight=+Inf"} {
		if v, ok := ReportValue([]byte(report), "inflight"); ok {
			t.Errorf("%s gives %v", report, v)
		}
	}
	for _, bad := range []string{"", "a b c d", "a served c\n", "a served c d", " served c d\n", "a lost c d\n", "a served c d\n\xff"} {
		if _, err := ParseAnswer([]byte(bad)); !IsFormatError(err) {
			t.Errorf("%q gives %v", bad, err)
		}
	}
}
