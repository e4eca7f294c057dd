package controlclient

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rotisserie/eris"
)

// fakeController answers calls with the statuses that are told, in turn, and then with the last one.
type fakeController struct {
	statuses []int
	requests int
	bodies   []string // bodies
}

func (c *fakeController) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body strings.Builder
	buffer := make([]byte, 64)
	for {
		n, err := r.Body.Read(buffer)
		body.Write(buffer[:n])
		if err != nil {
			break
		}
	}
	c.bodies = append(c.bodies, r.Header.Get("X-Based-On-Version")+" "+body.String())
	status := c.statuses[min(c.requests, len(c.statuses)-1)]
	c.requests++
	w.WriteHeader(status)
	w.Write([]byte(`{"version":7,"error":"told"}`))
}

func newTestClient(t *testing.T, controllers ...*fakeController) (client *Client, backoffs *[]time.Duration) {
	var addresses []string
	for _, c := range controllers {
		s := httptest.NewServer(c)
		t.Cleanup(s.Close)
		addresses = append(addresses, strings.TrimPrefix(s.URL, "http://"))
	}
	client, backoffs = New(addresses), &[]time.Duration{}
	client.sleep = func(_ context.Context, pause time.Duration) { *backoffs = append(*backoffs, pause) }
	return client, backoffs
}

// A core that can't tell in time is asked again, with the same order, after pauses that grow; a refusal is final at once.
func TestRetryableRepliesAreRetried(t *testing.T) {
	recovering, down := &fakeController{statuses: []int{503, 408, 200}}, &fakeController{statuses: []int{500}}
	client, backoffs := newTestClient(t, down, recovering)
	version, err := client.Replace(t.Context(), "configuration", 3, []byte("order"))
	if err != nil || version != 7 {
		t.Fatalf("version %d, %v", version, err)
	}
	if len(*backoffs) != 2 || (*backoffs)[1] != 2*(*backoffs)[0] {
		t.Errorf("pauses %v", *backoffs)
	}
	for _, body := range recovering.bodies {
		if body != "3 order" {
			t.Errorf("sent again as %q", body)
		}
	}
	rejecting, never := &fakeController{statuses: []int{412}}, &fakeController{statuses: []int{200}}
	client, backoffs = newTestClient(t, rejecting, never)
	if _, err := client.Replace(t.Context(), "configuration", 3, nil); !eris.Is(err, ErrRefused) || never.requests != 0 || len(*backoffs) != 0 {
		t.Errorf("a refusal: %v, another was asked %d times, pauses %v", err, never.requests, *backoffs)
	}
}

// A core that stays unclear is left after some passes, and one of which nobody answers at once.
func TestAttemptsAreBounded(t *testing.T) {
	unavailable := &fakeController{statuses: []int{503}}
	client, backoffs := newTestClient(t, unavailable)
	if _, _, err := client.Read(t.Context(), "configuration"); err == nil || unavailable.requests != maxAttempts || len(*backoffs) != maxAttempts-1 {
		t.Errorf("%v after %d calls, pauses %v", err, unavailable.requests, *backoffs)
	}
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	client, backoffs = New([]string{strings.TrimPrefix(gone.URL, "http://")}), &[]time.Duration{}
	client.sleep = func(_ context.Context, pause time.Duration) { *backoffs = append(*backoffs, pause) }
	if _, _, err := client.Read(t.Context(), "configuration"); err == nil || len(*backoffs) != 0 {
		t.Errorf("nobody answers: %v, pauses %v", err, *backoffs)
	}
}
