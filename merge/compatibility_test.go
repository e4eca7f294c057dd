package merge_test

import (
	"testing"

	"oxbowspan/merge"
)

// compatibilityPages holds the segment responses of two pages of a list over three segments, of which the last never
// responds, and what an earlier revision of this package produced from them: the list items sent to segment 0, the results
// and the cursors. The second page continues from the cursor of the first.
var compatibilityPages = []struct {
	responses []string
	item      string
	result    string
	cursor    string // for the next page
}{
	{
		responses: []string{
			`{"schema":"arrears/1","as_of":7,"rows":2,"more":true}` + "\n" +
				`["a","c-1","2026-01-02","9.00",1]` + "\n" + `["b","c-1","2026-01-02","5.00",1]` + "\n",
			`{"schema":"arrears/1","as_of":8,"rows":2,"more":true}` + "\n" +
				`["c","c-1","2026-01-03","8.50",1]` + "\n" + `["d","c-1","2026-01-03","4.00",1]` + "\n",
		},
		item: "m=eyJraW5kIjoicmFua2VkIiwic2NoZW1hIjoiYXJyZWFycy8xIiwib3JkZXIiOlsiLWFtb3VudCIsImR1ZSJdLCJsaW1pdCI6Mn0",
		result: `{"full":false,"merged":{"kind":"paged","columns":["account","customer","due","amount","bills"],"rows":[["a","c-1","2026-01-02","9.00",1],["c","c-1","2026-01-03","8.50",1]],"from":[0,1],` +
			`"before":0,"certain":0,"late":0,"moved":false,"last":false,` +
			`"next":"AQJrMcUMkZ_qnQFxGj1pvhhOKjbgpJn_vDECAAEGIjguNTAiDCIyMDI2LTAxLTAzIgMiYyIBAQEHAQEIAAD6oMsoLsfKn9VGst9I1-yp",` +
			`"complete":{"asked":3,"in":2,"share":0.666667,"segments":[{"tablet":0,"state":"in","as_of":7,"rows":2,"more":true},{"tablet":1,"state":"in","as_of":8,"rows":2,"more":true},{"tablet":2,"state":"missing"}]}}}`,
		cursor: "AQJrMcUMkZ_qnQFxGj1pvhhOKjbgpJn_vDECAAEGIjguNTAiDCIyMDI2LTAxLTAzIgMiYyIBAQEHAQEIAAD6oMsoLsfKn9VGst9I1-yp",
	},
	{
		responses: []string{
			`{"schema":"arrears/1","as_of":9,"rows":1}` + "\n" + `["b","c-1","2026-01-02","5.00",1]` + "\n",
			`{"schema":"arrears/1","as_of":8,"rows":1,"more":true}` + "\n" + `["d","c-1","2026-01-03","4.00",1]` + "\n",
		},
		item: "m=eyJraW5kIjoicmFua2VkIiwic2NoZW1hIjoiYXJyZWFycy8xIiwib3JkZXIiOlsiLWFtb3VudCIsImR1ZSJdLCJsaW1pdCI6MiwiYWZ0ZXIiOnsi" +
			"a2V5cyI6WyI4LjUwIiwiMjAyNi0wMS0wMyJdLCJhY2NvdW50IjoiYyIsImVkZ2UiOiJwYXN0In19",
		result: `{"full":false,"merged":{"kind":"paged","columns":["account","customer","due","amount","bills"],"rows":[["b","c-1","2026-01-02","5.00",1],["d","c-1","2026-01-03","4.00",1]],"from":[0,1],` +
			`"before":2,"certain":0,"late":0,"moved":true,"last":false,` +
			`"next":"AQJrMcUMkZ_qnQFxGj1pvhhOKjbgpJn_vDEEAQEGIjQuMDAiDCIyMDI2LTAxLTAzIgMiZCIBAQEJAQEIAACcm-IPN3x-YLqpOCx6WTlQ",` +
			`"complete":{"asked":3,"in":2,"share":0.666667,"segments":[{"tablet":0,"state":"in","as_of":9,"rows":1,"moved":true},{"tablet":1,"state":"in","as_of":8,"rows":1,"more":true},{"tablet":2,"state":"missing"}]}}}`,
		cursor: "AQJrMcUMkZ_qnQFxGj1pvhhOKjbgpJn_vDEEAQEGIjQuMDAiDCIyMDI2LTAxLTAzIgMiZCIBAQEJAQEIAACcm-IPN3x-YLqpOCx6WTlQ",
	},
}

// TestCompatibility checks that list items, cursors and results are byte for byte those of an earlier revision, and that
// its cursors are accepted.
func TestCompatibility(t *testing.T) {
	paging := merge.Paging{Keys: ring(t, "k1 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n"), Lifetime: 60_000,
		MaxLength: 4096, Now: 1_700_000_000_000, QueryType: "report", Customer: "c", Statement: []byte("statement")}
	request := merge.Request{Kind: merge.Paged, Order: []string{"-amount", "due"}, Limit: 2}
	for i, page := range compatibilityPages {
		q, err := testPolicy().NewQuery(request, weights(3), false, paging)
		if err != nil {
			t.Fatalf("page %d: %v", i, err)
		}
		if item := q.SegmentItem(0); item != page.item {
			t.Errorf("page %d: segment 0 is sent %s, want %s", i, item, page.item)
		}
		m, err := merge.New(q, unlimitedBudget())
		if err != nil {
			t.Fatal(err)
		}
		for segment, value := range page.responses {
			response, err := q.ReadResponse(merge.Segment(segment), value)
			if err != nil {
				t.Fatalf("page %d, segment %d: %v", i, segment, err)
			}
			if err := m.Add(response); err != nil {
				t.Fatal(err)
			}
		}
		result, err := m.Result(true)
		if err != nil {
			t.Fatal(err)
		}
		if got := string(result.AppendJSON(nil)); got != page.result {
			t.Errorf("page %d is\n%s, want\n%s", i, got, page.result)
		}
		if result.NextCursor != page.cursor {
			t.Errorf("page %d: the cursor is %s, want %s", i, result.NextCursor, page.cursor)
		}
		request.Cursor = page.cursor
	}
}
