// Package dayreport parses the report that the operators' bench writes about a day of traffic that it has played, and locates the
// losses of value: the time windows, the kinds of response and the events in progress. It does no I/O.
//
// The value of requests is what their responses earned, as a share of what was owed. The score of a day is the value of all its
// requests less deductions.
package dayreport

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
)

// Report is the part of the bench's report that the losses are computed from.
type Report struct {
	Score      float64     `json:"G"` // after deductions, 0 to 1
	Deductions []Deduction `json:"prices"`
	All        Counts      `json:"all"`
	Classes    []Counts    `json:"classes"`
	Windows    []Counts    `json:"windows"` // of equal length; the name is the second at which the window starts
	Events     []Event     `json:"events"`
	Violations Violations  `json:"breaks"`
}

// Violations is the number of violations of each rule, by the rule's name.
type Violations map[string]int

// Counts holds the number of requests of a query class or time window and their results.
type Counts struct {
	Name    string  `json:"name"`
	Count   int     `json:"n"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Value   float64 `json:"worth"` // earned by the responses, as a share of what was owed
}

// Event is an event of the day with its start and end in seconds.
type Event struct {
	From float64 `json:"at_s"`
	To   float64 `json:"to_s"`
	Kind string  `json:"kind"`
}

// Deduction is an amount that is subtracted from the value of all requests.
type Deduction struct {
	Name  string
	Share float64 // of the value owed
}

// UnmarshalJSON decodes an array of a name, an amount and a share.
func (p *Deduction) UnmarshalJSON(text []byte) error {
	var amount float64
	fields := []any{&p.Name, &amount, &p.Share}
	if err := json.Unmarshal(text, &fields); err != nil {
		return fmt.Errorf("price: %w", err)
	}
	if len(fields) != 3 {
		return errors.New("price: want a name, an amount and a share")
	}
	return nil
}

// ErrNoWindows is returned by Parse for a document without time windows or requests, which is not the report of a day.
var ErrNoWindows = errors.New("not the report of a day: there are no windows or no requests")

// Parse decodes a report. It returns ErrNoWindows for a document that is not the report of a day.
func Parse(text []byte) (*Report, error) {
	r := &Report{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	if len(r.Windows) == 0 || r.All.Count == 0 {
		return nil, ErrNoWindows
	}
	return r, nil
}

// Loss is the value lost in consecutive windows during which the same events were in progress.
type Loss struct {
	From, To float64 // seconds
	Share    float64 // of the value owed for all requests of the day
	MinValue float64 // least value of a window
	Counts   Counts  // of the windows' requests
	Events   []string
}

// PartialShare returns the part of Share that was lost by partial responses: what remains after the losses of late, refused and
// failed requests. The parameter lateValue is the value of a late response, 0 to 1.
func (l Loss) PartialShare(lateValue float64) float64 {
	attributed := float64(l.Counts.Refused+l.Counts.Failed) + (1-lateValue)*float64(l.Counts.Late)
	if l.Counts.Count == 0 || l.Counts.Value >= 1 {
		return 0
	}
	total := float64(l.Counts.Count) * (1 - l.Counts.Value)
	return max(1-attributed/total, 0) * l.Share
}

// Losses returns the losses in descending order of their share, without those whose share is below minShare.
func (r *Report) Losses(minShare float64) []Loss {
	var losses []Loss
	length := r.windowLength()
	for _, w := range r.Windows {
		from, err := strconv.ParseFloat(w.Name, 64)
		if err != nil || w.Count == 0 {
			continue
		}
		loss := Loss{From: from, To: from + length, MinValue: w.Value, Counts: w, Events: r.eventsDuring(from, from+length)}
		loss.Share = float64(w.Count) * (1 - w.Value) / float64(r.All.Count)
		if last := len(losses) - 1; last >= 0 && losses[last].To == from && slices.Equal(losses[last].Events, loss.Events) {
			losses[last] = losses[last].merge(loss)
			continue
		}
		losses = append(losses, loss)
	}
	losses = slices.DeleteFunc(losses, func(l Loss) bool { return l.Share < minShare })
	slices.SortStableFunc(losses, func(a, b Loss) int {
		switch {
		case a.Share > b.Share:
			return -1
		case a.Share < b.Share:
			return 1
		}
		return 0
	})
	return losses
}

// merge combines a loss with the following one.
func (l Loss) merge(next Loss) Loss {
	merged := Loss{From: l.From, To: next.To, Share: l.Share + next.Share, MinValue: min(l.MinValue, next.MinValue), Events: l.Events}
	count := l.Counts.Count + next.Counts.Count
	merged.Counts = Counts{
		Count:   count,
		Late:    l.Counts.Late + next.Counts.Late,
		Refused: l.Counts.Refused + next.Counts.Refused,
		Failed:  l.Counts.Failed + next.Counts.Failed,
		Value:   (l.Counts.Value*float64(l.Counts.Count) + next.Counts.Value*float64(next.Counts.Count)) / float64(count),
	}
	return merged
}

// windowLength returns the length of a window in seconds.
func (r *Report) windowLength() float64 {
	if len(r.Windows) < 2 {
		return 0
	}
	first, _ := strconv.ParseFloat(r.Windows[0].Name, 64)
	second, _ := strconv.ParseFloat(r.Windows[1].Name, 64)
	return second - first
}

// eventsDuring returns the kinds of the events that overlap a period, in the order of the report.
func (r *Report) eventsDuring(from, to float64) (kinds []string) {
	for _, e := range r.Events {
		if e.From < to && e.To > from && !slices.Contains(kinds, e.Kind) {
			kinds = append(kinds, e.Kind)
		}
	}
	return kinds
}

// LargestDeduction returns the deduction with the greatest share.
func (r *Report) LargestDeduction() (greatest Deduction) {
	for _, p := range r.Deductions {
		if p.Share > greatest.Share {
			greatest = p
		}
	}
	return greatest
}
