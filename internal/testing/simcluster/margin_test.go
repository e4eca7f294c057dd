package simcluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"
)

// The measured bounds, by their names in the settings.
const (
	applyMargin  = "config_apply_ms"
	drainMargin  = "drain_limit_ms"
	budgetMargin = "retry budget"
)

// marginRun is one seeded run of TestSafetyMargins.
type marginRun struct {
	cluster  *Cluster
	random   *rand.Rand
	version  uint64
	requests requestCounter
	margins  map[string]float64 // the highest share of each bound that was used
}

// TestSafetyMargins runs seeded scenarios under load in which a third of the responses are faulty, servers crash and drain,
// gateways restart and configurations change. It measures the highest used share of each bound; its log is the source of
// docs/measured/near-misses.md.
func TestSafetyMargins(t *testing.T) {
	margins := map[string]float64{}
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runCluster(t, 80+seed, 3, 5, func(t *testing.T, cluster *Cluster) {
				run := &marginRun{cluster: cluster, random: rand.New(rand.NewPCG(seed, 8)), version: 1, margins: margins}
				run.runSteps(t)
			})
		})
	}
	for bound, share := range margins {
		t.Logf("%s: %.3f of the bound", bound, share)
		if share > 1 {
			t.Errorf("%s: %.2f of the bound is used", bound, share)
		}
	}
	if margins[budgetMargin] < 0.05 {
		t.Error("there were too few retries to measure the use of their budget")
	}
}

func (m *marginRun) runSteps(t *testing.T) {
	const steps = 14
	commitFirstVersion(t, m.cluster)
	time.Sleep(3 * time.Second)
	for _, server := range m.cluster.Servers {
		server.setFaults(randomFault)
	}
	stopClients := m.startClients(t)
	defer stopClients() // also if a step ends the test
	for range steps {
		time.Sleep(time.Duration(500+m.random.IntN(1500)) * time.Millisecond)
		m.step(t)
	}
	stopClients()
	use, service := m.cluster.RequestLog.RetryBudgetUse(retryBudgetWindow, retryBudgetRatio, retryBudgetAllowance)
	t.Logf("%v requests are served; the highest use of the retry budget is %.2f, at service %s", &m.requests, use, service)
	m.record(budgetMargin, use)
	m.requests.expectServed(t, 50, "requests")
}

// randomFault makes a third of the responses faulty.
func randomFault() responseFault {
	switch fault := responseFault(rand.IntN(9)); fault {
	case faultTruncated, faultStatus, faultMismatchedReply:
		return fault
	}
	return noFault
}

// startClients starts ten clients that send the example's requests in turn, until the returned function is called.
func (m *marginRun) startClients(t *testing.T) (stop func()) {
	const clients = 10
	ctx, cancel := context.WithCancel(context.Background())
	var pending sync.WaitGroup
	for client := range clients {
		pending.Go(func() {
			for n := client; ctx.Err() == nil; n += clients {
				gateways := m.cluster.Gateways
				served, violation := m.cluster.SendExample(gateways[n%len(gateways)], n/len(gateways), fmt.Sprintf("m%d-%d", client, n))
				if violation != "" {
					t.Error(violation)
				}
				m.requests.record(served)
				time.Sleep(40 * time.Millisecond)
			}
		})
	}
	return func() {
		cancel()
		pending.Wait()
	}
}

// step performs one random event.
func (m *marginRun) step(t *testing.T) {
	t.Helper()
	switch m.random.IntN(4) {
	case 0:
		server := m.randomServer()
		server.Crash(m.random.IntN(2) == 0)
		requireNoError(t, server.Start())
	case 1:
		gateway := m.cluster.Gateways[m.random.IntN(len(m.cluster.Gateways))]
		gateway.Kill(false)
		gateway.Start()
		for gateway.Gateway.ActiveVersion() == 0 { // the platform sends no requests to a gateway that is not ready
			time.Sleep(10 * time.Millisecond)
		}
	case 2:
		m.changeConfiguration(t)
	case 3:
		m.drainServer(t)
	}
}

// changeConfiguration commits a change and measures the time until all gateways apply it.
func (m *marginRun) changeConfiguration(t *testing.T) {
	t.Helper()
	m.version++
	body := ExampleConfiguration(m.version, [][]string{ExampleSharding, ExampleResharding}[m.version%2])
	to := m.cluster.Controllers[m.random.IntN(len(m.cluster.Controllers))]
	status := m.cluster.ReplaceConfiguration(to, m.version-1, body)
	expectStatus(t, status, http.StatusOK, "version %d", m.version)
	acknowledgedAt := time.Now()
	awaitVersion(t, m.cluster, m.version, configurationApplyMax)
	m.record(applyMargin, float64(time.Since(acknowledgedAt))/float64(configurationApplyMax))
}

// drainServer drains a server, measures how long after the acknowledgement requests still reach it, and restarts it.
func (m *marginRun) drainServer(t *testing.T) {
	t.Helper()
	server := m.randomServer()
	acknowledgedAt := server.Drain()
	if acknowledgedAt.IsZero() {
		t.Error("a drain is not acknowledged")
	}
	time.Sleep(2 * time.Second)
	m.record(drainMargin, float64(server.lastRequest().Sub(acknowledgedAt))/float64(drainLimit))
	server.Crash(false)
	requireNoError(t, server.Start())
}

func (m *marginRun) randomServer() *Server {
	return m.cluster.Servers[m.random.IntN(len(m.cluster.Servers))]
}

func (m *marginRun) record(bound string, share float64) {
	m.margins[bound] = max(m.margins[bound], share)
}
