// Package merge combines the responses of several segments into one result: a ranked list, a page of a list, or aggregates over
// groups. A result states how complete it is, and never claims more than the responses prove.
//
// The package defines the form of a segment's rows and their order, the memory of open merges, the statement of completeness,
// and the cursors from page to page. It does no I/O, reads no clock and starts no goroutine: times are arguments. The same
// responses result in the same bytes in whatever order they are received.
//
// Whether a search is answered without some segment, and when, is decided by the caller, who states whether the result counts as
// complete; a Merge can only lower that.
//
// # From a search to its result
//
// A Policy is what the operator permits for one query type. Policy.NewQuery checks a client's Request against it and returns a
// Query. Query.SegmentItem is what a segment is sent, Query.ReadResponse reads what it returns. A Merge takes one
// SegmentResponse for each segment, and Result returns the merged result of those received so far.
package merge
