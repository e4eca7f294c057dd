package raftnode

import (
	"encoding/json"
	"net/http"
	"reflect"
	"testing"

	"oxbowspan/maintenance"
)

// The bodies must be the same as in the first release, because gatherers of both versions exchange messages.
func TestBodiesAreUnchanged(t *testing.T) {
	for name, c := range map[string]struct {
		wire string
		body any // a pointer to the body's type
	}{
		"command": {`{"command":{"v":1,"at":5,"ask":{"name":"g1","incarnation":7,"why":"why"}}}`,
			&request{Command: &maintenance.Command{V: 1, At: 5,
				RequestPermit: &maintenance.RequestPermit{Name: "g1", Incarnation: 7, Reason: "why"}}}},
		"query": {`{"state":true}`, &request{State: true}},
		"response": {`{"leader":"n1","not_me":true,"error":"e","refused":true,"stale":true,"unsure":true,"least":9,` +
			`"permit":{"epoch":3,"for":"g1","why":"w","asked":4,"release":"r"},` +
			`"state":{"v":1,"applied":0,"now":0,"limits":{"most_gatherers":1},"members":{}}}`,
			&response{Leader: "n1", NotLeader: true, Error: "e", Refused: true, Stale: true, OutcomeUnknown: true, MinSequence: 9,
				Permit: &maintenance.Permit{Epoch: 3, Holder: "g1", Reason: "w", RequestedAt: 4, Release: "r"},
				State:  maintenance.New(maintenance.Limits{MaxGatherers: 1})}},
	} {
		t.Run(name, func(t *testing.T) {
			if b, err := json.Marshal(c.body); err != nil || string(b) != c.wire {
				t.Errorf("encoded %s, %v; want %s", b, err, c.wire)
			}
			decoded := reflect.New(reflect.TypeOf(c.body).Elem()).Interface()
			if err := json.Unmarshal([]byte(c.wire), decoded); err != nil {
				t.Fatal(err)
			}
			if b, err := json.Marshal(decoded); err != nil || string(b) != c.wire {
				t.Errorf("decoded and re-encoded: %s, %v; want %s", b, err, c.wire)
			}
		})
	}
}

// signedByFirstRelease returns the headers that the first release set for the body "body".
func signedByFirstRelease() http.Header {
	return http.Header{"Fleet-From": {"g1"}, "Fleet-Key": {"k1"}, "Fleet-Mac": {"UbpHXL0Vx+N2epxgGFVdjQ=="}, "Fleet-Number": {"12345"}}
}

func TestSignedHeadersAreUnchanged(t *testing.T) {
	want := envelope{path: pathCommand, sender: "g1", sequence: 12345}
	h := http.Header{}
	want.sign(testRing(t, "a"), h, []byte("body"))
	if !reflect.DeepEqual(h, signedByFirstRelease()) {
		t.Errorf("headers %v, want %v", h, signedByFirstRelease())
	}
	if got, err := verify(testRing(t, "a"), signedByFirstRelease(), pathCommand, []byte("body")); err != nil || got != want {
		t.Errorf("verified %+v, %v", got, err)
	}
}

func TestVerifyRejectsChangedMessages(t *testing.T) {
	for name, c := range map[string]struct {
		header, value string
		path, body    string
	}{
		"sender":    {header: headerFrom, value: "g2"},
		"sequence":  {header: headerNumber, value: "12346"},
		"no number": {header: headerNumber, value: ""},
		"key":       {header: headerKey, value: "k2"},
		"MAC":       {header: headerMAC, value: "VbpHXL0Vx+N2epxgGFVdjQ=="},
		"no base64": {header: headerMAC, value: "?"},
		"path":      {path: pathRaft},
		"body":      {body: "bodY"},
	} {
		t.Run(name, func(t *testing.T) {
			h, path, body := signedByFirstRelease(), pathCommand, "body"
			if c.header != "" {
				h.Set(c.header, c.value)
			}
			if c.path != "" {
				path = c.path
			}
			if c.body != "" {
				body = c.body
			}
			if _, err := verify(testRing(t, "a"), h, path, []byte(body)); err != errUnauthenticated {
				t.Errorf("got %v, want errUnauthenticated", err)
			}
		})
	}
}
