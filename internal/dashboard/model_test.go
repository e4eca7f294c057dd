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

type stateSource struct {
	all  []admin.State
	next int
}

func (s *stateSource) Next() (admin.State, error) {
	if s.next == len(s.all) {
		return admin.State{}, errors.New("the gatherer is gone")
	}
	s.next++
	return s.all[s.next-1], nil
}

func testState(n int) admin.State {
	s := admin.State{At: time.Unix(int64(n), 0), Level: "trimmed", Rank: 1, For: 3, Levels: []string{"full", "trimmed"}, Pinned: 30,
		Signals:  []admin.Signal{{Name: "lost", Value: float64(n) / 10, Known: true}, {Name: "cold"}},
		Types:    []admin.QueryType{{Name: "report", Share: 0.5, Customers: []admin.Customer{{Name: "acme", Served: int64(100 * n), Shed: int64(20 * n)}}}},
		Segments: []admin.Segment{{Segment: 7, Level: "gone"}}, Changes: []admin.Change{{From: "full", To: "trimmed", Why: "lost 0.25 >= 0.2"}}}
	for i := range 30 {
		s.Servers = append(s.Servers, admin.Server{Host: fmt.Sprintf("s-%02d", i), Zone: string(rune('a' + i/20)), State: []string{"ready", "out"}[i%2], Millis: float64(i)})
	}
	return s
}

func TestModelShowsStates(t *testing.T) {
	src := &stateSource{all: []admin.State{testState(1), testState(2), testState(3)}}
	var m tea.Model = New(src)
	if !strings.Contains(m.View(), "waiting") {
		t.Error("nothing has come")
	}
	m, _ = m.Update(tea.WindowSizeMsg{Width: 90, Height: 45})
	cmd := m.Init()
	for range 3 {
		m, cmd = m.Update(cmd())
	}
	v := m.View()
	for _, want := range []string{"trimmed", "pinned", "for 30s more", "0.300", "not known", "segment 7", "100.0     20.0", "zone a: 10 ready, 10 out", "s-00", "and ", "lost 0.25 >= 0.2", "q quits"} {
		if !strings.Contains(v, want) {
			t.Errorf("%q is not on the screen:\n%s", want, v)
		}
	}
	if n := strings.Count(v, "\n"); n > 46 {
		t.Errorf("%d lines on 45", n)
	}
	m, cmd = m.Update(cmd())
	if m.(Model).err == nil || cmd == nil {
		t.Error("the end of the stream is not the screen's")
	}
	if _, cmd := m.Update(tea.KeyMsg{Type: tea.KeyRunes, Runes: []rune("q")}); cmd == nil {
		t.Error("q does not quit")
	}
}
