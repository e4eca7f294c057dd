// Package dashboard shows a running gatherer on a terminal: its degradation level with the signals and reasons behind it, the rates of
// requests served and shed by query type and customer, and the shard servers by zone with their health. It reads a stream of states and
// shows the latest one; it sends nothing to the gatherer.
package dashboard

import (
	tea "github.com/charmbracelet/bubbletea"

	"oxbowspan/internal/admin"
)

// Run shows the states of a source until the operator quits or the source ends. It returns the error that ended the source.
func Run(source admin.Source) error {
	final, err := tea.NewProgram(New(source), tea.WithAltScreen()).Run()
	if m, ok := final.(Model); ok && err == nil {
		err = m.err
	}
	return err
}

const (
	// historyLimit is the number of points in a sparkline.
	historyLimit = 40
	// Size of the terminal, in characters, that is assumed until the terminal reports it.
	defaultWidth  = 100
	defaultHeight = 40
)

// Model is the dashboard's state. It implements tea.Model.
type Model struct {
	source          admin.Source
	state, previous admin.State
	received        int                  // number of states received
	history         map[string][]float64 // latest values by series, oldest first; see signalSeries and serverSeries
	width, height   int                  // of the terminal, in characters
	err             error                // error that ended the source
}

// New returns a model that has received no state yet.
func New(source admin.Source) Model {
	return Model{source: source, history: map[string][]float64{}, width: defaultWidth, height: defaultHeight}
}

// Messages that the model's commands send to Update.
type (
	stateMsg       admin.State
	streamEndedMsg struct{ err error }
)

// Init implements tea.Model.
func (m Model) Init() tea.Cmd { return m.next }

// next waits for the next state; it is a tea.Cmd.
func (m Model) next() tea.Msg {
	state, err := m.source.Next()
	if err != nil {
		return streamEndedMsg{err}
	}
	return stateMsg(state)
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

// observe makes a state the current one and adds its values to the history. Series without a value in the state are removed.
func (m *Model) observe(state admin.State) {
	m.previous, m.state = m.state, state
	m.received++
	current := map[string]bool{}
	add := func(series string, value float64) {
		current[series] = true
		values := append(m.history[series], value)
		m.history[series] = values[max(0, len(values)-historyLimit):]
	}
	for _, signal := range state.Signals {
		if signal.Known {
			add(signalSeries(signal.Name), signal.Value)
		}
	}
	for _, server := range state.Servers {
		add(serverSeries(server.Host), server.LatencyMillis)
	}
	for series := range m.history {
		if !current[series] {
			delete(m.history, series)
		}
	}
}

// signalSeries and serverSeries return the keys of series in the history.
func signalSeries(name string) string { return "signal " + name }
func serverSeries(host string) string { return "server " + host }

// rates returns the requests of a customer that were served and shed per second between the last two states.
func (m Model) rates(queryType string, customer admin.Customer) (served, shed float64) {
	elapsed := m.state.At.Sub(m.previous.At).Seconds()
	if elapsed <= 0 || m.received < 2 {
		return 0, 0
	}
	before := findCustomer(m.previous.Types, queryType, customer.Name)
	return float64(customer.Served-before.Served) / elapsed, float64(customer.Shed-before.Shed) / elapsed
}

// findCustomer returns a customer's counters for a query type; they are zero if the customer is not found.
func findCustomer(types []admin.QueryType, queryType, name string) admin.Customer {
	for _, t := range types {
		if t.Name != queryType {
			continue
		}
		for _, customer := range t.Customers {
			if customer.Name == name {
				return customer
			}
		}
	}
	return admin.Customer{}
}
