package controlcli

import (
	"bytes"
	"flag"
	"io"
	"reflect"
	"slices"
	"testing"

	"oxbowspan/config"
	"oxbowspan/controlapi"
)

func TestParseInterspersed(t *testing.T) {
	for _, c := range []struct {
		name string
		args []string
		want []string
		flag bool // the flag is set
		fail bool // parsing fails
	}{
		{"no arguments", nil, nil, false, false},
		{"flags first", []string{"--set", "a", "b"}, []string{"a", "b"}, true, false},
		{"flags between", []string{"a", "--set", "b"}, []string{"a", "b"}, true, false},
		{"flags last", []string{"a", "b", "--set"}, []string{"a", "b"}, true, false},
		{"unknown flag", []string{"a", "--unknown"}, nil, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			flags := flag.NewFlagSet("test", flag.ContinueOnError)
			flags.SetOutput(io.Discard)
			set := flags.Bool("set", false, "")
			got, err := parseInterspersed(flags, c.args)
			if (err != nil) != c.fail || !slices.Equal(got, c.want) || *set != c.flag {
				t.Errorf("got %q, flag %v, %v", got, *set, err)
			}
		})
	}
}

func TestPrintListing(t *testing.T) {
	type row struct {
		Name  string `json:"name"`
		Count string `json:"count"`
	}
	columns := []column[row]{
		{"NAME", func(r row) string { return r.Name }},
		{"COUNT", func(r row) string { return r.Count }},
	}
	rows := []row{{"long name", "1"}, {"b", "22"}}
	for _, c := range []struct {
		name   string
		asJSON bool
		want   string
	}{
		{"lines", false, "NAME       COUNT\nlong name  1\nb          22\nno response from x, y: what they know is missing here\n"},
		{"JSON", true, "[\n  {\n    \"name\": \"long name\",\n    \"count\": \"1\"\n  },\n  {\n    \"name\": \"b\",\n    \"count\": \"22\"\n  }\n]\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			e := &environment{asJSON: c.asJSON, out: &out}
			if err := e.printListing(rows, []string{"x", "y"}, func(w io.Writer) { writeTable(w, columns, rows) }); err != nil {
				t.Fatal(err)
			}
			if out.String() != c.want {
				t.Errorf("got\n%s\nwant\n%s", out.String(), c.want)
			}
		})
	}
}

func TestDiffConfigurations(t *testing.T) {
	service := func(name string, limit int) config.Service { return config.Service{Name: name, ConnectionLimit: limit} }
	from := &config.Configuration{Services: []config.Service{service("kept", 1), service("gone", 1), service("changed", 1)}}
	to := &config.Configuration{Services: []config.Service{service("kept", 1), service("new", 1), service("changed", 2)}}
	var got [][3]string
	for _, change := range diffConfigurations(from, to) {
		got = append(got, [3]string{change.Kind, change.Name, change.Change})
		if (change.From == "") != (change.Change == changeAdded) || (change.To == "") != (change.Change == changeRemoved) {
			t.Errorf("%+v", change)
		}
	}
	want := [][3]string{{"service", "changed", changeModified}, {"service", "gone", changeRemoved}, {"service", "new", changeAdded}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestSummarizeVerdicts(t *testing.T) {
	got := summarizeVerdicts([]controlapi.GatewayOutliers{
		{Gateway: "a", Servers: []controlapi.OutlierVerdict{{Instance: "i", Service: "s", State: "out", Reason: "recent", SinceSeconds: 1}}},
		{Gateway: "b", Servers: []controlapi.OutlierVerdict{
			{Instance: "i", Service: "s", State: "out", Reason: "longest", SinceSeconds: 3, Pinned: true},
			{Instance: "h", Service: "s", State: "avoided", Reason: "only", SinceSeconds: 2},
		}},
	})
	want := []*verdictSummary{
		{Instance: "h", Service: "s", States: map[string]int{"avoided": 1}, Reason: "only", SinceSeconds: 2},
		{Instance: "i", Service: "s", States: map[string]int{"out": 2}, Reason: "longest", SinceSeconds: 3, Pinned: true},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if text := want[1].gateways(); text != "out by 2, pinned" {
		t.Errorf("printed as %q", text)
	}
}
