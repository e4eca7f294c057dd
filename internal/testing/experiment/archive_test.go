package experiment

import (
	"path/filepath"
	"strings"
	"testing"
)

func TestArchiveFind(t *testing.T) {
	archive, err := OpenArchive(filepath.Join(t.TempDir(), "new", "lab.db"))
	if err != nil {
		t.Fatal(err)
	}
	defer archive.Close()
	for id, experiment := range map[string]string{
		"20260101T000000.000": "merge",
		"20260102T000000.000": "judgement",
		"20260103T000000.000": "merge",
		"20270101T000000.000": "some-benchmark",
	} {
		if err := archive.Put(&Record{ID: id, Experiment: experiment}); err != nil {
			t.Fatal(err)
		}
	}
	for _, test := range []struct {
		name, want, err string
	}{
		{"20260103T000000.000", "20260103T000000.000", ""},
		{"20260102", "20260102T000000.000", ""},
		{"merge", "20260103T000000.000", ""},
		{"some-benchmark", "20270101T000000.000", ""},
		{"judgement", "20260102T000000.000", ""},
		{"outlier-detection", "20260102T000000.000", ""}, // recorded under the experiment's former name
		{"2026", "", "3 runs begin with"},
		{"store", "", "there is no run"},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, err := archive.Find(test.name)
			switch {
			case test.err != "":
				if err == nil || !strings.Contains(err.Error(), test.err) {
					t.Errorf("got %v, want an error with %q", err, test.err)
				}
			case err != nil:
				t.Error(err)
			case got.ID != test.want:
				t.Errorf("found run %s, want %s", got.ID, test.want)
			}
		})
	}
}
