package controlplane

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"oxbowspan/internal/settings"
	"oxbowspan/internal/testing/simnet"
)

// A controller whose event loop has stopped must not acknowledge a request, as it has stored nothing: it answers with status 503.
// Malformed requests are rejected with status 400 before.
func TestStoppedControllerRejectsRequests(t *testing.T) {
	s := &settings.Settings{IPAddress: "10.0.1.1", InternalPorts: []int{7100, 7109}, SeedAddresses: []string{"10.0.1.1:8700"}, FirstStart: true,
		DataDirectory: t.TempDir(), HeartbeatIntervalMS: 1000}
	s.Listen.Control = "10.0.1.1:8700"
	c, err := New(t.Context(), s, simnet.New(nil).Host("10.0.1.1"), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer c.store.Close()
	c.loop.stop()
	handler := c.handler()
	for _, test := range []struct {
		name, path, body string
		status           int
		message          string // that the body contains
	}{
		{"heartbeat", "/-/instances/i-1/heartbeat", `{"service":"s","address":"10.0.3.1:80","state":"draining","call_sequence":4}`, http.StatusServiceUnavailable, ""},
		{"sign-off", "/-/instances/i-1/sign-off", "", http.StatusServiceUnavailable, ""},
		{"replacement", "/-/configuration/replace", `{"version":1}`, http.StatusServiceUnavailable, ""},
		{"heartbeat that is no JSON", "/-/instances/i-1/heartbeat", `{"service":`, http.StatusBadRequest, "error"},
		{"heartbeat without an address", "/-/instances/i-2/heartbeat", `{"service":"s"}`, http.StatusBadRequest, "error"},
		{"invalid configuration", "/-/configuration/replace", `{"version":1,"routes":[{}]}`, http.StatusBadRequest, "error"},
	} {
		t.Run(test.name, func(t *testing.T) {
			w, r := httptest.NewRecorder(), httptest.NewRequest("POST", test.path, strings.NewReader(test.body))
			r.Header.Set(basedOnHeader, "0")
			handler.ServeHTTP(w, r)
			if w.Code != test.status || !strings.Contains(w.Body.String(), test.message) {
				t.Errorf("answered %d %s, want %d", w.Code, w.Body, test.status)
			}
		})
	}
}
