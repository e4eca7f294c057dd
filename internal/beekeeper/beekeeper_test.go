package beekeeper

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rotisserie/eris"
)

// core answers calls with the statuses that are told, in turn, and then with the last one.
type core struct {
	statuses []int
	calls    int
	seen     []string // bodies
}

func (c *core) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body strings.Builder
	buffer := make([]byte, 64)
	for {
		n, err := r.Body.Read(buffer)
		body.Write(buffer[:n])
		if err != nil {
			break
		}
	}
	c.seen = append(c.seen, r.Header.Get("X-Based-On-Version")+" "+body.String())
	status := c.statuses[min(c.calls, len(c.statuses)-1)]
	c.calls++
	w.WriteHeader(status)
	w.Write([]byte(`{"version":7,"error":"told"}`))
}

func keeperOf(t *testing.T, cores ...*core) (k *Keeper, pauses *[]time.Duration) {
	var addresses []string
	for _, c := range cores {
		s := httptest.NewServer(c)
		t.Cleanup(s.Close)
		addresses = append(addresses, strings.TrimPrefix(s.URL, "http://"))
	}
	k, pauses = New(addresses), &[]time.Duration{}
	k.wait = func(_ context.Context, pause time.Duration) { *pauses = append(*pauses, pause) }
	return k, pauses
}

// A core that can't tell in time is asked again, with the same order, after pauses that grow; a refusal is final at once.
func TestWhatIsUnclearIsAskedAgain(t *testing.T) {
	late, down := &core{statuses: []int{503, 408, 200}}, &core{statuses: []int{500}}
	k, pauses := keeperOf(t, down, late)
	version, err := k.Replace(t.Context(), "configuration", 3, []byte("order"))
	if err != nil || version != 7 {
		t.Fatalf("version %d, %v", version, err)
	}
	if len(*pauses) != 2 || (*pauses)[1] != 2*(*pauses)[0] {
		t.Errorf("pauses %v", *pauses)
	}
	for _, body := range late.seen {
		if body != "3 order" {
			t.Errorf("sent again as %q", body)
		}
	}
	refuses, never := &core{statuses: []int{412}}, &core{statuses: []int{200}}
	k, pauses = keeperOf(t, refuses, never)
	if _, err := k.Replace(t.Context(), "configuration", 3, nil); !eris.Is(err, ErrRefused) || never.calls != 0 || len(*pauses) != 0 {
		t.Errorf("a refusal: %v, another was asked %d times, pauses %v", err, never.calls, *pauses)
	}
}

// A core that stays unclear is left after some passes, and one of which nobody answers at once.
func TestPassesAreBounded(t *testing.T) {
	unclear := &core{statuses: []int{503}}
	k, pauses := keeperOf(t, unclear)
	if _, _, err := k.Read(t.Context(), "configuration"); err == nil || unclear.calls != mostPasses || len(*pauses) != mostPasses-1 {
		t.Errorf("%v after %d calls, pauses %v", err, unclear.calls, *pauses)
	}
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	k, pauses = New([]string{strings.TrimPrefix(gone.URL, "http://")}), &[]time.Duration{}
	k.wait = func(_ context.Context, pause time.Duration) { *pauses = append(*pauses, pause) }
	if _, _, err := k.Read(t.Context(), "configuration"); err == nil || len(*pauses) != 0 {
		t.Errorf("nobody answers: %v, pauses %v", err, *pauses)
	}
}
