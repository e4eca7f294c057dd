package admin

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"
)

// testState returns a state in which all fields are set.
func testState() *State {
	at := time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)
	return &State{
		At: at, Level: "trimmed", Rank: 1, LevelSeconds: 2.5, PinSecondsLeft: 60, Levels: []string{"full", "trimmed"}, OpenRequests: 3,
		Signals:  []Signal{{"lost", 0.25, true}},
		Segments: []Segment{{7, "closed"}},
		Types:    []QueryType{{"report", 0.5, []Customer{{"acme", 3, 2}}}},
		Servers:  []Server{{Host: "h", Zone: "z", Cell: 1, State: "ready", InFlight: 4, LatencyMillis: 1.5, FailureRatio: 0.1}},
		Changes:  []Change{{at, "full", "trimmed", "lost 0.25 >= 0.2"}},
	}
}

// TestWireFormatIsStable checks that the lines on the socket and in recordings are those of the first release: tools and gatherers of
// different versions communicate, and old recordings must be replayable.
func TestWireFormatIsStable(t *testing.T) {
	for name, c := range map[string]struct {
		line  string
		value any // a pointer to the line's type
	}{
		"pin":  {`{"verb":"pin","level":"trimmed","seconds":60}`, &Request{Verb: Pin, Level: "trimmed", Seconds: 60}},
		"show": {`{"verb":"show"}`, &Request{Verb: Show}},
		"response": {`{"error":"e","lines":["l"],"state":{"at":"2026-01-05T09:00:00Z","level":"trimmed","rank":1,"for":2.5,"pinned":60,` +
			`"levels":["full","trimmed"],"searches":3,"signals":[{"name":"lost","value":0.25,"known":true}],` +
			`"segments":[{"segment":7,"level":"closed"}],` +
			`"types":[{"name":"report","share":0.5,"customers":[{"name":"acme","served":3,"shed":2}]}],` +
			`"servers":[{"host":"h","zone":"z","cell":1,"state":"ready","out":4,"millis":1.5,"failing":0.1}],` +
			`"changes":[{"at":"2026-01-05T09:00:00Z","from":"full","to":"trimmed","why":"lost 0.25 \u003e= 0.2"}]}}`,
			&Response{Error: "e", Lines: []string{"l"}, State: testState()}},
		"empty response": {`{}`, &Response{}},
		"record": {`{"at":"2026-01-05T09:00:00Z","signals":{"lost":0.25}}`,
			&Record{At: testState().At, Signals: map[string]float64{"lost": 0.25}}},
	} {
		t.Run(name, func(t *testing.T) {
			if b, err := json.Marshal(c.value); err != nil || string(b) != c.line {
				t.Errorf("encoded %s, %v; want %s", b, err, c.line)
			}
			decoded := reflect.New(reflect.TypeOf(c.value).Elem())
			if err := json.Unmarshal([]byte(c.line), decoded.Interface()); err != nil || !reflect.DeepEqual(decoded.Interface(), c.value) {
				t.Errorf("decoded %+v, %v; want %+v", decoded.Elem(), err, c.value)
			}
		})
	}
}
