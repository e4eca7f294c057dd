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

// What was not written down is not acknowledged: a hive whose owner has ended says so.
func TestStoppedControllerRejectsRequests(t *testing.T) {
	set := &settings.Settings{IPAddress: "10.0.1.1", InternalPorts: []int{7100, 7109}, SeedAddresses: []string{"10.0.1.1:8700"}, FirstStart: true,
		DataDirectory: t.TempDir(), HeartbeatIntervalMS: 1000}
	set.Listen.Control = "10.0.1.1:8700"
	h, err := New(set, simnet.New(nil).Host("10.0.1.1"), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	h.loop.stop()
	calls := h.handler()
	for call, body := range map[string]string{
		"/-/instances/i-1/heartbeat": `{"service":"s","address":"10.0.3.1:80","state":"draining","call_sequence":4}`,
		"/-/instances/i-1/sign-off":  "",
		"/-/configuration/replace":   `{"version":1}`,
	} {
		w, r := httptest.NewRecorder(), httptest.NewRequest("POST", call, strings.NewReader(body))
		r.Header.Set(basedOnHeader, "0")
		if calls.ServeHTTP(w, r); w.Code != http.StatusServiceUnavailable {
			t.Errorf("%s is answered %d", call, w.Code)
		}
	}
	// What can't be read is refused in a sentence, before anything else.
	for call, body := range map[string]string{
		"/-/instances/i-1/heartbeat": `{"service":`,
		"/-/instances/i-2/heartbeat": `{"service":"s"}`,
		"/-/configuration/replace":   `{"version":1,"routes":[{}]}`,
	} {
		w, r := httptest.NewRecorder(), httptest.NewRequest("POST", call, strings.NewReader(body))
		r.Header.Set(basedOnHeader, "0")
		if calls.ServeHTTP(w, r); w.Code != http.StatusBadRequest || !strings.Contains(w.Body.String(), "error") {
			t.Errorf("%s with %s is answered %d %s", call, body, w.Code, w.Body)
		}
	}
	h.store.Close()
}
