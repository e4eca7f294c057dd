// Package merge combines the responses of several segments into one result: a ranked list, one page of a list, or aggregates
// over groups. Each result states how complete it is and never claims more than the responses prove.
//
// The package defines the row format and the sort order of segment responses, limits the memory of open merges, reports the
// completeness of results, and signs the cursors of paged lists. It does no I/O, reads no clock and starts no goroutines: the
// current time is an argument. Results are deterministic: the same responses produce the same bytes in any order of arrival.
//
// The caller decides whether and when a search is answered without some of its segments, and passes to Merge.Result whether it
// considers the result complete. A Merge may report a result as incomplete in spite of that, but never the reverse.
//
// # From a search to its result
//
// A Policy holds what the operator permits for one query type. Policy.NewQuery validates a client's Request against it and
// returns a Query. Query.SegmentItem returns the request to one segment, and Query.ReadResponse parses and validates the
// segment's response. Merge.Add adds one SegmentResponse for each segment, and Merge.Result merges those added so far.
package merge
