package merge

import "strconv"

// AppendJSON appends the body of the response. Rows and group keys are as received.
func (a *Result) AppendJSON(b []byte) []byte {
	b = append(b, `{"full":`...)
	b = strconv.AppendBool(b, a.Complete)
	b = append(b, `,"merged":{"kind":`...)
	b = strconv.AppendQuote(b, a.Kind)
	if a.Kind == Aggregated {
		b = a.appendAggregates(b)
	} else {
		b = append(b, `,"columns":`...)
		b = appendStrings(b, a.Columns)
		b = append(b, `,"rows":[`...)
		for i, r := range a.Rows {
			if i > 0 {
				b = append(b, ',')
			}
			b = append(b, r.raw...)
		}
		b = append(b, `],"from":[`...)
		for i, r := range a.Rows {
			if i > 0 {
				b = append(b, ',')
			}
			b = strconv.AppendInt(b, int64(r.segment), 10)
		}
		b = append(b, ']')
		b = appendInt(b, "before", int64(a.Preceding))
	}
	b = appendInt(b, "certain", int64(a.CertainCount))
	if a.Kind == Paged {
		b = appendInt(b, "late", int64(a.LateCount))
		b = appendBool(b, "moved", a.Changed)
		b = appendBool(b, "last", a.End)
		if a.CursorTooLong {
			b = appendBool(b, "stuck", true)
		}
		if a.NextCursor != "" {
			b = append(b, `,"next":`...)
			b = strconv.AppendQuote(b, a.NextCursor)
		}
	} else {
		b = appendBool(b, "more", a.More)
	}
	in := 0
	for _, s := range a.Segments {
		if s.Status == StatusIncluded {
			in++
		}
	}
	b = append(b, `,"complete":{"asked":`...)
	b = strconv.AppendInt(b, int64(len(a.Segments)), 10)
	b = appendInt(b, "in", int64(in))
	b = append(b, `,"share":`...)
	b = strconv.AppendFloat(b, a.IncludedShare, 'g', 6, 64)
	b = append(b, `,"segments":[`...)
	for i, s := range a.Segments {
		if i > 0 {
			b = append(b, ',')
		}
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
		b = append(b, '}')
	}
	return append(b, `]}}}`...)
}

func appendInt(b []byte, name string, v int64) []byte {
	b = append(append(append(b, `,"`...), name...), `":`...)
	return strconv.AppendInt(b, v, 10)
}

func appendBool(b []byte, name string, v bool) []byte {
	b = append(append(append(b, `,"`...), name...), `":`...)
	return strconv.AppendBool(b, v)
}

// appendAggregates appends the groups.
func (a *Result) appendAggregates(b []byte) []byte {
	b = append(b, `,"group":`...)
	b = appendStrings(b, a.GroupColumns)
	b = append(b, `,"figures":`...)
	b = appendStrings(b, a.Aggregates)
	b = append(b, `,"groups":[`...)
	for i, g := range a.Groups {
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
	if a.MaxUnseen != "" && len(a.GroupColumns) > 0 {
		b = append(append(append(b, `,"unseen_at_most":"`...), a.MaxUnseen...), '"')
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
