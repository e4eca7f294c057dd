// Package dayreport reads what the operators' bench reports of a day that it played, and tells where the day's worth was lost: in
// which seconds, in which way, and what was going on. It has no I/O of its own.
package dayreport

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
)

// Report is the part of a report that the losses are found from.
type Report struct {
	Worth   float64   `json:"G"` // after prices, 0 to 1
	Prices  []Price   `json:"prices"`
	All     Tally     `json:"all"`
	Classes []Tally   `json:"classes"`
	Windows []Tally   `json:"windows"` // of equal length; the name is the second in which one begins
	Events  []Event   `json:"events"`
	Breaks  BrokenSet `json:"breaks"`
}

// BrokenSet is how often each rule was broken, by its name.
type BrokenSet map[string]int

// Tally is what became of the requests of a class or of a window.
type Tally struct {
	Name    string  `json:"name"`
	Count   int     `json:"n"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Worth   float64 `json:"worth"` // earned, as a share of what was owed
}

// Event is something that happened during the day.
type Event struct {
	From float64 `json:"at_s"`
	To   float64 `json:"to_s"`
	Kind string  `json:"kind"`
}

// Price is one of the prices that were taken off.
type Price struct {
	Name  string
	Share float64 // of the worth owed
}

// UnmarshalJSON reads a name, an amount and a share.
func (p *Price) UnmarshalJSON(text []byte) error {
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

// ErrNoDay is returned by Parse for what is no report of a day.
var ErrNoDay = errors.New("this is no report of a day: it names no windows")

// Parse reads a report.
func Parse(text []byte) (*Report, error) {
	r := &Report{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	if len(r.Windows) == 0 || r.All.Count == 0 {
		return nil, ErrNoDay
	}
	return r, nil
}

// Loss is what was lost in neighbouring windows while the same events were going on.
type Loss struct {
	From, To float64 // seconds
	Share    float64 // of the worth owed in the whole day
	Lowest   float64 // worth of the worst of its windows
	Tally    Tally   // of its requests
	Events   []string
}

// Partial returns how many of a loss's requests were neither late nor without an answer and still lost something, as a share of the
// day: answers that left parts out. LateWorth is what a late answer earns.
func (l Loss) Partial(lateWorth float64) float64 {
	lost := float64(l.Tally.Refused+l.Tally.Failed) + (1-lateWorth)*float64(l.Tally.Late)
	if l.Tally.Count == 0 || l.Tally.Worth >= 1 {
		return 0
	}
	all := float64(l.Tally.Count) * (1 - l.Tally.Worth)
	return max(1-lost/all, 0) * l.Share
}

// Losses returns what was lost, the greatest share first, without losses below a share of the day's worth.
func (r *Report) Losses(least float64) []Loss {
	var losses []Loss
	length := r.windowLength()
	for _, w := range r.Windows {
		from, err := strconv.ParseFloat(w.Name, 64)
		if err != nil || w.Count == 0 {
			continue
		}
		loss := Loss{From: from, To: from + length, Lowest: w.Worth, Tally: w, Events: r.eventsDuring(from, from+length)}
		loss.Share = float64(w.Count) * (1 - w.Worth) / float64(r.All.Count)
		if last := len(losses) - 1; last >= 0 && losses[last].To == from && slices.Equal(losses[last].Events, loss.Events) {
			losses[last] = losses[last].join(loss)
			continue
		}
		losses = append(losses, loss)
	}
	losses = slices.DeleteFunc(losses, func(l Loss) bool { return l.Share < least })
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

// join returns a loss and the one that follows it as one.
func (l Loss) join(next Loss) Loss {
	joined := Loss{From: l.From, To: next.To, Share: l.Share + next.Share, Lowest: min(l.Lowest, next.Lowest), Events: l.Events}
	count := l.Tally.Count + next.Tally.Count
	joined.Tally = Tally{
		Count:   count,
		Late:    l.Tally.Late + next.Tally.Late,
		Refused: l.Tally.Refused + next.Tally.Refused,
		Failed:  l.Tally.Failed + next.Tally.Failed,
		Worth:   (l.Tally.Worth*float64(l.Tally.Count) + next.Tally.Worth*float64(next.Tally.Count)) / float64(count),
	}
	return joined
}

// windowLength returns the seconds of a window.
func (r *Report) windowLength() float64 {
	if len(r.Windows) < 2 {
		return 0
	}
	first, _ := strconv.ParseFloat(r.Windows[0].Name, 64)
	second, _ := strconv.ParseFloat(r.Windows[1].Name, 64)
	return second - first
}

// eventsDuring returns the kinds of events that were going on, in their order.
func (r *Report) eventsDuring(from, to float64) (kinds []string) {
	for _, e := range r.Events {
		if e.From < to && e.To > from && !slices.Contains(kinds, e.Kind) {
			kinds = append(kinds, e.Kind)
		}
	}
	return kinds
}

// GreatestPrice returns the price that took most.
func (r *Report) GreatestPrice() (greatest Price) {
	for _, p := range r.Prices {
		if p.Share > greatest.Share {
			greatest = p
		}
	}
	return greatest
}
