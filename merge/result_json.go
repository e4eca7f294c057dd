package merge

import "strconv"

// AppendJSON appends the response body to b. Rows and group keys are copied as received from the segments.
func (r *Result) AppendJSON(b []byte) []byte {
	b = append(b, `{"full":`...)
	b = strconv.AppendBool(b, r.Complete)
	b = append(b, `,"merged":{"kind":`...)
	b = strconv.AppendQuote(b, r.Kind)
	if r.Kind == Aggregated {
		b = r.appendAggregates(b)
	} else {
		b = r.appendRows(b)
	}
	b = appendInt(b, "certain", int64(r.CertainCount))
	if r.Kind == Paged {
		b = r.appendPage(b)
	} else {
		b = appendBool(b, "more", r.More)
	}
	return r.appendSegments(b)
}

// appendRows appends the columns and rows of a list and the segment of each row.
func (r *Result) appendRows(b []byte) []byte {
	b = append(b, `,"columns":`...)
	b = appendStrings(b, r.Columns)
	b = append(b, `,"rows":[`...)
	for i, row := range r.Rows {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, row.raw...)
	}
	b = append(b, `],"from":[`...)
	for i, row := range r.Rows {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendInt(b, int64(row.segment), 10)
	}
	b = append(b, ']')
	return appendInt(b, "before", int64(r.Preceding))
}

// appendPage appends the fields that only pages have.
func (r *Result) appendPage(b []byte) []byte {
	b = appendInt(b, "late", int64(r.LateCount))
	b = appendBool(b, "moved", r.Changed)
	b = appendBool(b, "last", r.End)
	if r.CursorTooLong {
		b = appendBool(b, "stuck", true)
	}
	if r.NextCursor != "" {
		b = append(b, `,"next":`...)
		b = strconv.AppendQuote(b, r.NextCursor)
	}
	return b
}

// appendSegments appends the statement of completeness and the end of the body.
func (r *Result) appendSegments(b []byte) []byte {
	included := 0
	for _, s := range r.Segments {
		if s.Status == StatusIncluded {
			included++
		}
	}
	b = append(b, `,"complete":{"asked":`...)
	b = strconv.AppendInt(b, int64(len(r.Segments)), 10)
	b = appendInt(b, "in", int64(included))
	b = append(b, `,"share":`...)
	b = strconv.AppendFloat(b, r.IncludedShare, 'g', 6, 64)
	b = append(b, `,"segments":[`...)
	for i, s := range r.Segments {
		if i > 0 {
			b = append(b, ',')
		}
		b = s.appendJSON(b)
	}
	return append(b, `]}}}`...)
}

func (s SegmentResult) appendJSON(b []byte) []byte {
	b = append(b, `{"tablet":`...)
	b = strconv.AppendInt(b, int64(s.Segment), 10)
	b = append(b, `,"state":`...)
	b = strconv.AppendQuote(b, string(s.Status))
	if s.Status == StatusIncluded {
		b = append(b, `,"as_of":`...)
		b = strconv.AppendUint(b, uint64(s.Version), 10)
		b = appendInt(b, "rows", int64(s.Rows))
		if s.More {
			b = appendBool(b, "more", true)
		}
		if s.Changed {
			b = appendBool(b, "moved", true)
		}
	}
	return append(b, '}')
}

func appendInt(b []byte, name string, v int64) []byte {
	b = append(append(append(b, `,"`...), name...), `":`...)
	return strconv.AppendInt(b, v, 10)
}

func appendBool(b []byte, name string, v bool) []byte {
	b = append(append(append(b, `,"`...), name...), `":`...)
	return strconv.AppendBool(b, v)
}

// appendAggregates appends the columns of groups, the names of the aggregates, and the groups.
func (r *Result) appendAggregates(b []byte) []byte {
	b = append(b, `,"group":`...)
	b = appendStrings(b, r.GroupColumns)
	b = append(b, `,"figures":`...)
	b = appendStrings(b, r.Aggregates)
	b = append(b, `,"groups":[`...)
	for i, g := range r.Groups {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(append(append(b, `{"key":[`...), g.Key...), `],"values":[`...)
		for j, v := range g.Values {
			if j > 0 {
				b = append(b, ',')
			}
			b = append(append(b, `{"value":`...), v.Value...)
			b = append(b, `,"is":`...)
			b = strconv.AppendQuote(b, string(v.Quality))
			if v.Low != "" {
				b = append(append(b, `,"low":`...), v.Low...)
				b = append(append(b, `,"high":`...), v.High...)
			}
			if v.Error != "" {
				b = append(append(b, `,"error":`...), v.Error...)
			}
			b = append(b, '}')
		}
		b = append(b, `]}`...)
	}
	b = append(b, ']')
	if r.MaxUnseen != "" && len(r.GroupColumns) > 0 {
		b = append(append(append(b, `,"unseen_at_most":"`...), r.MaxUnseen...), '"')
	}
	return b
}

// appendStrings appends a JSON array of strings.
func appendStrings(b []byte, names []string) []byte {
	b = append(b, '[')
	for i, n := range names {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendQuote(b, n)
	}
	return append(b, ']')
}
