package dashboard

import (
	"fmt"
	"strings"
	"time"

	"github.com/charmbracelet/lipgloss"

	"oxbowspan/internal/admin"
	"oxbowspan/internal/sparkline"
)

var (
	boldStyle    = lipgloss.NewStyle().Bold(true)
	dimStyle     = lipgloss.NewStyle().Faint(true)
	okStyle      = lipgloss.NewStyle().Foreground(lipgloss.Color("2"))
	warningStyle = lipgloss.NewStyle().Foreground(lipgloss.Color("3"))
	errorStyle   = lipgloss.NewStyle().Foreground(lipgloss.Color("1")).Bold(true)
)

const (
	minimumWidth   = 20 // lines are not truncated to less than this, on narrower terminals
	changesShown   = 5  // number of newest level changes that are shown
	footerLines    = 3  // lines reserved below the servers, in addition to the changes
	nameWidth      = 20 // column width of query types
	customerWidth  = 18
	hostWidth      = 16
	clockFormat    = "15:04:05"
	stateReady     = "ready"
	stateCold      = "cold"
	stateOut       = "out"
	stateDraining  = "draining"
	waitingMessage = "waiting for the gatherer ...\n"
)

// View implements tea.Model.
func (m Model) View() string {
	if m.received == 0 {
		return waitingMessage
	}
	var b strings.Builder
	m.writeLevel(&b)
	m.writeSignals(&b)
	m.writeRequests(&b)
	m.writeServers(&b)
	m.writeChanges(&b)
	b.WriteString(dimStyle.Render("q quits"))
	lines := strings.Split(b.String(), "\n")
	for i := range lines {
		lines[i] = lipgloss.NewStyle().MaxWidth(max(m.width, minimumWidth)).Render(lines[i])
	}
	return strings.Join(lines, "\n")
}

// writeLevel writes the degradation level, how long it has been active, and how long it stays pinned.
func (m Model) writeLevel(b *strings.Builder) {
	state := m.state
	fmt.Fprintf(b, "%s %s for %s   %d searches open   %s\n", boldStyle.Render("level"), levelStyle(state.Rank).Render(state.Level),
		formatSeconds(state.LevelSeconds), state.OpenRequests, dimStyle.Render(state.At.Format(clockFormat)))
	if state.PinSecondsLeft > 0 {
		fmt.Fprintf(b, "%s for %s more\n", errorStyle.Render("pinned"), formatSeconds(state.PinSecondsLeft))
	}
	fmt.Fprintf(b, "%s\n", dimStyle.Render("levels: "+strings.Join(state.Levels, " > ")))
}

// levelStyle returns the style of a level by its rank, 0 being full service.
func levelStyle(rank int) lipgloss.Style {
	switch {
	case rank > 1:
		return errorStyle
	case rank > 0:
		return warningStyle
	}
	return okStyle
}

// writeSignals writes the signals that determine the level, and the segments that have a level of their own.
func (m Model) writeSignals(b *strings.Builder) {
	b.WriteString("\n" + boldStyle.Render("signals") + "\n")
	for _, signal := range m.state.Signals {
		value := dimStyle.Render("not known")
		if signal.Known {
			value = fmt.Sprintf("%9.3f", signal.Value)
		}
		fmt.Fprintf(b, "  %-13s %-9s %s\n", signal.Name, value, sparkline.Line(m.history[signalSeries(signal.Name)]))
	}
	for _, segment := range m.state.Segments {
		fmt.Fprintf(b, "  segment %d: %s\n", segment.Segment, warningStyle.Render(segment.Level))
	}
}

// writeRequests writes the requests served and shed per second, by query type and customer.
func (m Model) writeRequests(b *strings.Builder) {
	b.WriteString("\n" + boldStyle.Render("searches per second") + dimStyle.Render("  served   shed by level") + "\n")
	for _, queryType := range m.state.Types {
		fmt.Fprintf(b, "  %-*s share %.2f\n", nameWidth, truncate(queryType.Name, nameWidth), queryType.Share)
		for _, customer := range queryType.Customers {
			served, shed := m.rates(queryType.Name, customer)
			line := fmt.Sprintf("    %-*s %8.1f %8.1f", customerWidth, truncate(customer.Name, customerWidth), served, shed)
			if shed > 0 {
				line = warningStyle.Render(line)
			}
			b.WriteString(line + "\n")
		}
	}
}

// writeServers writes the shard servers by zone, as many as fit on the terminal, and the number of those left out.
func (m Model) writeServers(b *strings.Builder) {
	b.WriteString("\n" + boldStyle.Render("servers") + "\n")
	changes := min(len(m.state.Changes), changesShown)
	zone := ""
	for i, server := range m.state.Servers {
		if server.Zone != zone {
			zone = server.Zone
			fmt.Fprintf(b, "  zone %s: %s\n", zone, zoneSummary(m.state.Servers, zone))
		}
		if m.height-strings.Count(b.String(), "\n")-footerLines-changes < 1 {
			fmt.Fprintf(b, "    %s\n", dimStyle.Render(fmt.Sprintf("and %d more", len(m.state.Servers)-i)))
			return
		}
		m.writeServer(b, server)
	}
}

func (m Model) writeServer(b *strings.Builder, server admin.Server) {
	style := errorStyle
	if server.State == stateReady {
		style = okStyle
	}
	fmt.Fprintf(b, "    %-*s %s out %3d  %7.1f ms  failing %.2f  %s\n", hostWidth, truncate(server.Host, hostWidth),
		style.Render(fmt.Sprintf("%-8s", server.State)), server.InFlight, server.LatencyMillis, server.FailureRatio,
		sparkline.Line(m.history[serverSeries(server.Host)]))
}

// zoneSummary counts a zone's servers by state.
func zoneSummary(servers []admin.Server, zone string) string {
	counts := map[string]int{}
	for _, server := range servers {
		if server.Zone == zone {
			counts[server.State]++
		}
	}
	var parts []string
	for _, state := range []string{stateReady, stateCold, stateOut, stateDraining} {
		if counts[state] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", counts[state], state))
		}
	}
	return strings.Join(parts, ", ")
}

// writeChanges writes the newest changes of the level with their reasons.
func (m Model) writeChanges(b *strings.Builder) {
	changes := m.state.Changes
	for _, change := range changes[max(0, len(changes)-changesShown):] {
		line := fmt.Sprintf("%s %s > %s: %s", change.At.Format(clockFormat), change.From, change.To, change.Reason)
		b.WriteString(dimStyle.Render(line) + "\n")
	}
}

// formatSeconds formats a duration given in seconds, to a tenth.
func formatSeconds(seconds float64) string {
	return (time.Duration(seconds*10) * 100 * time.Millisecond).String()
}

// truncate shortens a text to a number of characters. The last character of a shortened text is an ellipsis.
func truncate(text string, width int) string {
	if runes := []rune(text); len(runes) > width {
		return string(runes[:width-1]) + "…"
	}
	return text
}
