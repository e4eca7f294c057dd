// Package dashboard shows operators a running gatherer on a terminal: its level and why, what is shed by query type and customer,
// the servers by zone with their health. It reads a stream of states and shows the last; it asks nothing and decides nothing.
package dashboard

import (
	"fmt"
	"strings"
	"time"

	tea "github.com/charmbracelet/bubbletea"
	"github.com/charmbracelet/lipgloss"

	"oxbowspan/internal/admin"
	"oxbowspan/internal/sparkline"
)

// Run shows a source until the operator quits or it ends.
func Run(s admin.Source) error {
	last, err := tea.NewProgram(New(s), tea.WithAltScreen()).Run()
	if m, ok := last.(Model); ok && err == nil {
		err = m.err
	}
	return err
}

// Model is what is on the screen.
type Model struct {
	source          admin.Source
	state, previous admin.State
	received        int
	history         map[string][]float64 // of signals and of servers' latency, the last so many
	width, height   int
	err             error
}

// historyLimit is how many points a line of figures has; servers that have left are forgotten with it.
const historyLimit = 40

// New makes an empty screen.
func New(s admin.Source) Model {
	return Model{source: s, history: map[string][]float64{}, width: 100, height: 40}
}

type (
	stateMsg       admin.State
	streamEndedMsg struct{ err error }
)

// Init implements tea.Model.
func (m Model) Init() tea.Cmd { return m.next }

func (m Model) next() tea.Msg {
	s, err := m.source.Next()
	if err != nil {
		return streamEndedMsg{err}
	}
	return stateMsg(s)
}

// Update implements tea.Model.
func (m Model) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case tea.KeyMsg:
		switch msg.String() {
		case "q", "esc", "ctrl+c":
			return m, tea.Quit
		}
	case tea.WindowSizeMsg:
		m.width, m.height = msg.Width, msg.Height
	case streamEndedMsg:
		m.err = msg.err
		return m, tea.Quit
	case stateMsg:
		m.observe(admin.State(msg))
		return m, m.next
	}
	return m, nil
}

// observe notes a state.
func (m *Model) observe(s admin.State) {
	m.previous, m.state = m.state, s
	m.received++
	there := map[string]bool{}
	add := func(name string, v float64) {
		there[name] = true
		h := append(m.history[name], v)
		m.history[name] = h[max(0, len(h)-historyLimit):]
	}
	for _, x := range s.Signals {
		if x.Known {
			add("signal "+x.Name, x.Value)
		}
	}
	for _, x := range s.Servers {
		add("server "+x.Host, x.Millis)
	}
	for name := range m.history {
		if !there[name] {
			delete(m.history, name)
		}
	}
}

var (
	boldStyle    = lipgloss.NewStyle().Bold(true)
	dimStyle     = lipgloss.NewStyle().Faint(true)
	okStyle      = lipgloss.NewStyle().Foreground(lipgloss.Color("2"))
	warningStyle = lipgloss.NewStyle().Foreground(lipgloss.Color("3"))
	errorStyle   = lipgloss.NewStyle().Foreground(lipgloss.Color("1")).Bold(true)
)

// View implements tea.Model.
func (m Model) View() string {
	if m.received == 0 {
		return "waiting for the gatherer ...\n"
	}
	s := m.state
	var b strings.Builder
	colour := okStyle
	if s.Rank > 0 {
		colour = warningStyle
	}
	if s.Rank > 1 {
		colour = errorStyle
	}
	fmt.Fprintf(&b, "%s %s for %s   %d searches open   %s\n", boldStyle.Render("level"), colour.Render(s.Level), formatSeconds(s.For), s.Searches, dimStyle.Render(s.At.Format("15:04:05")))
	if s.Pinned > 0 {
		fmt.Fprintf(&b, "%s for %s more\n", errorStyle.Render("pinned"), formatSeconds(s.Pinned))
	}
	fmt.Fprintf(&b, "%s\n", dimStyle.Render("levels: "+strings.Join(s.Levels, " > ")))
	b.WriteString("\n" + boldStyle.Render("signals") + "\n")
	for _, x := range s.Signals {
		value := dimStyle.Render("not known")
		if x.Known {
			value = fmt.Sprintf("%9.3f", x.Value)
		}
		fmt.Fprintf(&b, "  %-13s %-9s %s\n", x.Name, value, sparkline.Line(m.history["signal "+x.Name]))
	}
	for _, x := range s.Segments {
		fmt.Fprintf(&b, "  segment %d: %s\n", x.Segment, warningStyle.Render(x.Level))
	}
	b.WriteString("\n" + boldStyle.Render("searches a second") + dimStyle.Render("    served   shed by level") + "\n")
	for _, t := range s.Types {
		fmt.Fprintf(&b, "  %-20s share %.2f\n", truncate(t.Name, 20), t.Share)
		for _, c := range t.Customers {
			served, shed := m.rates(t.Name, c)
			line := fmt.Sprintf("    %-18s %8.1f %8.1f", truncate(c.Name, 18), served, shed)
			if shed > 0 {
				line = warningStyle.Render(line)
			}
			b.WriteString(line + "\n")
		}
	}
	b.WriteString("\n" + boldStyle.Render("servers") + "\n")
	zone := ""
	for i, x := range s.Servers {
		if x.Zone != zone {
			zone = x.Zone
			fmt.Fprintf(&b, "  zone %s: %s\n", zone, zoneSummary(s.Servers, zone))
		}
		if left := m.height - strings.Count(b.String(), "\n") - 3 - min(len(s.Changes), 5); left < 1 {
			fmt.Fprintf(&b, "    %s\n", dimStyle.Render(fmt.Sprintf("and %d more", len(s.Servers)-i)))
			break
		}
		state := okStyle.Render(fmt.Sprintf("%-8s", x.State))
		if x.State != "ready" {
			state = errorStyle.Render(fmt.Sprintf("%-8s", x.State))
		}
		fmt.Fprintf(&b, "    %-16s %s out %3d  %7.1f ms  failing %.2f  %s\n", truncate(x.Host, 16), state, x.Out, x.Millis, x.Failing, sparkline.Line(m.history["server "+x.Host]))
	}
	for i, c := range s.Changes {
		if i >= len(s.Changes)-5 {
			fmt.Fprintf(&b, "%s\n", dimStyle.Render(fmt.Sprintf("%s %s > %s: %s", c.At.Format("15:04:05"), c.From, c.To, c.Why)))
		}
	}
	b.WriteString(dimStyle.Render("q quits"))
	lines := strings.Split(b.String(), "\n")
	for i := range lines {
		lines[i] = lipgloss.NewStyle().MaxWidth(max(m.width, 20)).Render(lines[i])
	}
	return strings.Join(lines, "\n")
}

// rates are what came a second between the last two states.
func (m Model) rates(queryType string, c admin.Customer) (served, shed float64) {
	took := m.state.At.Sub(m.previous.At).Seconds()
	if took <= 0 || m.received < 2 {
		return 0, 0
	}
	was := admin.Customer{}
	for _, t := range m.previous.Types {
		for _, x := range t.Customers {
			if t.Name == queryType && x.Name == c.Name {
				was = x
			}
		}
	}
	return float64(c.Served-was.Served) / took, float64(c.Shed-was.Shed) / took
}

func zoneSummary(all []admin.Server, zone string) string {
	by := map[string]int{}
	for _, x := range all {
		if x.Zone == zone {
			by[x.State]++
		}
	}
	var out []string
	for _, state := range []string{"ready", "cold", "out", "draining"} {
		if by[state] > 0 {
			out = append(out, fmt.Sprintf("%d %s", by[state], state))
		}
	}
	return strings.Join(out, ", ")
}

func formatSeconds(s float64) string { return (time.Duration(s*10) * 100 * time.Millisecond).String() }

func truncate(s string, n int) string {
	if r := []rune(s); len(r) > n {
		return string(r[:n-1]) + "…"
	}
	return s
}
