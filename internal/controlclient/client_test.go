package controlclient

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"
)

// fakeController responds with each of its statuses in turn, and repeats the last one.
type fakeController struct {
	statuses []int
	body     string // body of every response
	requests int
	received []string // base version and body of each request, separated by a space
}

func (c *fakeController) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	c.received = append(c.received, r.Header.Get("X-Based-On-Version")+" "+string(body))
	status := c.statuses[min(c.requests, len(c.statuses)-1)]
	c.requests++
	w.Header().Set("X-Version", "7")
	w.WriteHeader(status)
	io.WriteString(w, c.body)
}

func newFake(statuses ...int) *fakeController {
	return &fakeController{statuses: statuses, body: `{"version":7,"error":"message"}`}
}

// newTestClient returns a client for the given controllers that records its backoffs instead of sleeping.
func newTestClient(t *testing.T, controllers ...*fakeController) (client *Client, backoffs *[]time.Duration) {
	t.Helper()
	var addresses []string
	for _, c := range controllers {
		server := httptest.NewServer(c)
		t.Cleanup(server.Close)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	return recordBackoffs(New(addresses))
}

func recordBackoffs(client *Client) (*Client, *[]time.Duration) {
	backoffs := &[]time.Duration{}
	client.sleep = func(_ context.Context, backoff time.Duration) { *backoffs = append(*backoffs, backoff) }
	return client, backoffs
}

// unreachableAddress returns an address without a listener.
func unreachableAddress() string {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	return strings.TrimPrefix(server.URL, "http://")
}

func TestRetryableResponsesAreRetried(t *testing.T) {
	recovering, down := newFake(503, 408, 200), newFake(500)
	client, backoffs := newTestClient(t, down, recovering)
	version, err := client.Replace(t.Context(), "configuration", 3, []byte("order"))
	if err != nil || version != 7 {
		t.Fatalf("version %d, %v", version, err)
	}
	if len(*backoffs) != 2 || (*backoffs)[1] != 2*(*backoffs)[0] {
		t.Errorf("backoffs of %v, want two that double", *backoffs)
	}
	if want := []string{"3 order", "3 order", "3 order"}; !slices.Equal(recovering.received, want) {
		t.Errorf("received %q, want %q", recovering.received, want)
	}
}

func TestFinalResponsesAreNotRetried(t *testing.T) {
	t.Run("rejected", func(t *testing.T) {
		rejecting, other := newFake(412), newFake(200)
		client, backoffs := newTestClient(t, rejecting, other)
		_, err := client.Replace(t.Context(), "configuration", 3, nil)
		var status *StatusError
		if !errors.As(err, &status) || !status.Rejected() || status.Message != "message" {
			t.Errorf("got %v, want a rejection", err)
		}
		if other.requests != 0 || len(*backoffs) != 0 {
			t.Errorf("%d requests to another controller, backoffs of %v", other.requests, *backoffs)
		}
	})
	t.Run("not found", func(t *testing.T) {
		empty, other := newFake(404), newFake(200)
		client, backoffs := newTestClient(t, empty, other)
		if _, version, err := client.Read(t.Context(), "configuration"); !errors.Is(err, ErrNotFound) || version != 7 {
			t.Errorf("version %d, %v; want the version of the header and %v", version, err, ErrNotFound)
		}
		if other.requests != 0 || len(*backoffs) != 0 {
			t.Errorf("%d requests to another controller, backoffs of %v", other.requests, *backoffs)
		}
	})
}

func TestAttemptsAreBounded(t *testing.T) {
	t.Run("unavailable", func(t *testing.T) {
		unavailable := newFake(503)
		client, backoffs := newTestClient(t, unavailable)
		_, _, err := client.Read(t.Context(), "configuration")
		if err == nil || unavailable.requests != maxAttempts || len(*backoffs) != maxAttempts-1 {
			t.Errorf("%v after %d requests, backoffs of %v", err, unavailable.requests, *backoffs)
		}
	})
	t.Run("unreachable", func(t *testing.T) {
		client, backoffs := recordBackoffs(New([]string{unreachableAddress()}))
		_, _, err := client.Read(t.Context(), "configuration")
		var unreachable *UnreachableError
		if !errors.As(err, &unreachable) || len(*backoffs) != 0 {
			t.Errorf("got %v, backoffs of %v; want an UnreachableError without a retry", err, *backoffs)
		}
	})
	t.Run("no addresses", func(t *testing.T) {
		if _, _, err := New(nil).Read(t.Context(), "configuration"); !errors.Is(err, ErrNoAddresses) {
			t.Errorf("got %v, want %v", err, ErrNoAddresses)
		}
	})
}

func TestListingsAreMerged(t *testing.T) {
	stale, fresh := newFake(200), newFake(200)
	stale.body = `[{"instance":"a","zone":"stale","heard_s_ago":2},{"instance":"b","heard_s_ago":1}]`
	fresh.body = `[{"instance":"a","zone":"fresh","heard_s_ago":1},{"instance":"c","heard_s_ago":1}]`
	malformed := newFake(200)
	malformed.body = "no list"
	client, _ := newTestClient(t, stale, fresh, malformed)
	noListener := unreachableAddress()
	client.addresses = append(client.addresses, noListener)

	listing, err := client.Servers(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, server := range listing.Items {
		got = append(got, server.Instance+" "+server.Zone)
	}
	if want := []string{"a fresh", "b ", "c "}; !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
	if want := client.addresses[2:]; !slices.Equal(listing.Unreachable, want) {
		t.Errorf("unreachable %q, want %q", listing.Unreachable, want)
	}

	if listing, err := New([]string{noListener}).Servers(t.Context()); err == nil {
		t.Errorf("got %+v without a response", listing)
	}
}

func TestParseAddresses(t *testing.T) {
	got := ParseAddresses(" 10.1.0.1:8729,, 10.2.0.1:8729 ")
	if want := []string{"10.1.0.1:8729", "10.2.0.1:8729"}; !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}
