package dashboard

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	tea "github.com/charmbracelet/bubbletea"

	"oxbowspan/internal/admin"
)

var errStreamEnded = errors.New("the gatherer has closed the connection")

// stateSource is an admin.Source that returns its states and then errStreamEnded.
type stateSource struct {
	states []admin.State
	next   int
}

func (s *stateSource) Next() (admin.State, error) {
	if s.next == len(s.states) {
		return admin.State{}, errStreamEnded
	}
	s.next++
	return s.states[s.next-1], nil
}

// testState returns the state at second n, with counters and signals that grow with n and 30 servers in two zones.
func testState(n int) admin.State {
	acme := admin.Customer{Name: "acme", Served: int64(100 * n), Shed: int64(20 * n)}
	state := admin.State{
		At:             time.Unix(int64(n), 0),
		Level:          "trimmed",
		Rank:           1,
		LevelSeconds:   3,
		Levels:         []string{"full", "trimmed"},
		PinSecondsLeft: 30,
		Signals:        []admin.Signal{{Name: "lost", Value: float64(n) / 10, Known: true}, {Name: "cold"}},
		Types:          []admin.QueryType{{Name: "report", Share: 0.5, Customers: []admin.Customer{acme}}},
		Segments:       []admin.Segment{{Segment: 7, Level: "gone"}},
		Changes:        []admin.Change{{From: "full", To: "trimmed", Reason: "lost 0.25 >= 0.2"}},
	}
	for i := range 30 {
		state.Servers = append(state.Servers, admin.Server{
			Host:          fmt.Sprintf("s-%02d", i),
			Zone:          string(rune('a' + i/20)),
			State:         []string{"ready", "out"}[i%2], // as on the admin socket
			LatencyMillis: float64(i),
		})
	}
	return state
}

func TestModelShowsStates(t *testing.T) {
	const height = 45
	source := &stateSource{states: []admin.State{testState(1), testState(2), testState(3)}}
	var model tea.Model = New(source)
	if !strings.Contains(model.View(), "waiting") {
		t.Error("the view before the first state does not contain \"waiting\"")
	}
	model, _ = model.Update(tea.WindowSizeMsg{Width: 90, Height: height})
	cmd := model.Init()
	for range source.states {
		model, cmd = model.Update(cmd())
	}
	view := model.View()
	for _, want := range []string{
		"trimmed", "pinned", "for 30s more", "0.300", "not known", "segment 7", "100.0     20.0",
		"zone a: 10 ready, 10 out", "s-00", "and ", "lost 0.25 >= 0.2", "q quits",
	} {
		if !strings.Contains(view, want) {
			t.Errorf("the view lacks %q:\n%s", want, view)
		}
	}
	if n := strings.Count(view, "\n"); n > height+1 {
		t.Errorf("the view has %d lines on a terminal of %d", n, height)
	}
	model, cmd = model.Update(cmd())
	if err := model.(Model).err; !errors.Is(err, errStreamEnded) || cmd == nil {
		t.Errorf("the model ends with %v, want %v", err, errStreamEnded)
	}
	if _, cmd := model.Update(tea.KeyMsg{Type: tea.KeyRunes, Runes: []rune("q")}); cmd == nil {
		t.Error("the key q does not quit")
	}
}

func TestHistoryIsBounded(t *testing.T) {
	model := New(nil)
	for n := range 2 * historyLimit {
		model.observe(testState(n))
	}
	if n := len(model.history[signalSeries("lost")]); n != historyLimit {
		t.Errorf("the history holds %d values, want %d", n, historyLimit)
	}
	model.observe(admin.State{})
	if len(model.history) > 0 {
		t.Errorf("%d series without a value in the latest state are kept", len(model.history))
	}
}
