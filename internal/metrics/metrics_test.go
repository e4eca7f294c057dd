package metrics

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// The server must respond in the exposition format, with label values quoted.
func TestServerWritesExpositionFormat(t *testing.T) {
	server := httptest.NewServer(NewServer(func() []Metric {
		return []Metric{
			{Name: "a_total", Help: "All a.", Type: Counter, Label: "kind", Samples: []Sample{{"x", 3}, {`q"\`, 1e9}}},
			{Name: "b", Help: "The b.", Type: Gauge, Samples: Single(0.5)},
		}
	}).Handler)
	defer server.Close()
	resp, err := http.Get(server.URL + Path)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	const want = "# HELP a_total All a.\n# TYPE a_total counter\na_total{kind=\"x\"} 3\na_total{kind=\"q\\\"\\\\\"} 1e+09\n" +
		"# HELP b The b.\n# TYPE b gauge\nb 0.5\n"
	if string(text) != want || resp.Header.Get("Content-Type") != ContentType {
		t.Errorf("got %q, %q", text, resp.Header.Get("Content-Type"))
	}
}
