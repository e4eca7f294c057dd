package simcluster

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"testing"
	"time"

	"oxbowspan/config"
)

const (
	// catchUpTime is the time that the platform allows a restarted or new machine before others may be lost (catch_up_s).
	catchUpTime = 4 * time.Second
	// retryPause is the time between two attempts of an operator.
	retryPause = 300 * time.Millisecond
	// readAttempts is the maximum number of attempts of a read without a response.
	readAttempts = 10
	// initialAttempts is the maximum number of attempts to commit the first configuration while controllers start.
	initialAttempts = 30
)

// isDefinite reports whether a status determines the outcome of a change: committed or permanently rejected.
func isDefinite(status int) bool { return status == http.StatusOK || status/100 == 4 }

// replaceUntilDefinite sends a configuration to one controller after another until the outcome is definite, and returns the
// last status.
func replaceUntilDefinite(cluster *Cluster, basedOn uint64, body []byte, attempts int, target func(attempt int) *ControllerNode) (status int) {
	for attempt := range attempts {
		status = cluster.ReplaceConfiguration(target(attempt), basedOn, body)
		if isDefinite(status) {
			return status
		}
		time.Sleep(retryPause)
	}
	return status
}

// replaceWithRetry sends a configuration to all controllers in turn, whether they run or not, until the outcome is definite.
func replaceWithRetry(cluster *Cluster, basedOn uint64, body []byte, attempts int) (status int) {
	return replaceUntilDefinite(cluster, basedOn, body, attempts, func(attempt int) *ControllerNode {
		return cluster.Controllers[(int(basedOn)+attempt)%len(cluster.Controllers)]
	})
}

// replaceOnRunning sends a configuration to the running controllers in turn until the outcome is definite.
func replaceOnRunning(cluster *Cluster, basedOn uint64, body []byte, attempts int) (status int) {
	return replaceUntilDefinite(cluster, basedOn, body, attempts, func(attempt int) *ControllerNode {
		running := cluster.runningControllers()
		return running[attempt%len(running)]
	})
}

// commitFirstVersion commits version 1 of the example and waits until all gateways apply it.
func commitFirstVersion(t *testing.T, cluster *Cluster) {
	t.Helper()
	commitInitial(t, cluster, 1, ExampleConfiguration(1, ExampleSharding))
}

// commitInitial commits the first configuration of a cluster and waits until all gateways apply it.
func commitInitial(t *testing.T, cluster *Cluster, version uint64, body []byte) {
	t.Helper()
	requireStatus(t, replaceWithRetry(cluster, 0, body, initialAttempts), http.StatusOK, "first configuration")
	awaitVersion(t, cluster, version, configurationApplyMax)
}

// commitVersion commits a version of the example, based on version-1, at the running controllers.
func commitVersion(t *testing.T, cluster *Cluster, version uint64) {
	t.Helper()
	status := replaceOnRunning(cluster, version-1, ExampleConfiguration(version, ExampleSharding), 20)
	requireStatus(t, status, http.StatusOK, "version %d", version)
}

// replaceTenants replaces the tenants document. The first attempt must be acknowledged.
func replaceTenants(t *testing.T, cluster *Cluster, by *ControllerNode, basedOn uint64, document string) {
	t.Helper()
	status := cluster.ReplaceDocument(by, config.TenantsDocumentName, basedOn, []byte(document))
	requireStatus(t, status, http.StatusOK, "tenants on version %d", basedOn)
}

// awaitVersion waits until all running gateways apply a version or a later one.
func awaitVersion(t *testing.T, cluster *Cluster, version uint64, within time.Duration) {
	t.Helper()
	behind := ""
	applied := func() bool {
		behind = ""
		for _, gateway := range cluster.Gateways {
			if gateway.Gateway != nil && gateway.Gateway.ActiveVersion() < version {
				behind = gateway.IP
			}
		}
		return behind == ""
	}
	if !eventually(within, 20*time.Millisecond, applied) {
		t.Fatalf("gateway %s does not apply version %d %v after its acknowledgement", behind, version, within)
	}
}

// currentVersion reads the version of the configuration from the first controller that responds.
func currentVersion(t *testing.T, cluster *Cluster) uint64 {
	t.Helper()
	for range readAttempts {
		for _, controller := range cluster.Controllers {
			if text := cluster.ReadConfiguration(controller); text != nil {
				return parseVersion(t, text)
			}
		}
		time.Sleep(retryPause)
	}
	t.Fatal("no controller returns the configuration")
	return 0
}

func parseVersion(t *testing.T, text []byte) uint64 {
	t.Helper()
	configuration, err := config.Parse(text)
	requireNoError(t, err)
	return configuration.Version
}

// readWithRetry reads a resource of a controller, up to readAttempts times until there is a response. It returns nil if there
// is none.
func readWithRetry(cluster *Cluster, controller *ControllerNode, path string) (body []byte) {
	for range readAttempts {
		if body = cluster.ReadResource(controller, path); body != nil {
			return body
		}
		time.Sleep(retryPause)
	}
	return nil
}

// readJSON reads a resource of a controller into a value. The controller must respond to the first read.
func readJSON(t *testing.T, cluster *Cluster, controller *ControllerNode, path string, value any) {
	t.Helper()
	body := cluster.ReadResource(controller, path)
	if err := json.Unmarshal(body, value); err != nil {
		t.Fatalf("%s of %s is %q: %v", path, controller.IP, body, err)
	}
}

// checkReadBack checks that all running controllers return the wanted configuration. Only reads without a response are
// repeated: a response with another configuration fails the test.
func checkReadBack(t *testing.T, cluster *Cluster, want []byte) {
	t.Helper()
	for _, controller := range cluster.runningControllers() {
		expectRead(t, controller, readWithRetry(cluster, controller, "/-/configuration/read"), want)
	}
}

// checkFirstRead checks that all running controllers return the wanted configuration to the first read.
func checkFirstRead(t *testing.T, cluster *Cluster, want []byte) {
	t.Helper()
	for _, controller := range cluster.runningControllers() {
		expectRead(t, controller, cluster.ReadConfiguration(controller), want)
	}
}

// expectRead checks that a controller returned the wanted configuration.
func expectRead(t *testing.T, controller *ControllerNode, got, want []byte) {
	t.Helper()
	if !bytes.Equal(got, want) {
		t.Errorf("committed configuration is lost: %s returns %.60q", controller.IP, got)
	}
}

// runningControllers returns the controllers whose process runs.
func (c *Cluster) runningControllers() (running []*ControllerNode) {
	for _, controller := range c.Controllers {
		if controller.Controller != nil {
			running = append(running, controller)
		}
	}
	return running
}

func killAll(powerLoss bool, controllers ...*ControllerNode) {
	for _, controller := range controllers {
		controller.Kill(powerLoss)
	}
}

func startAll(t *testing.T, controllers ...*ControllerNode) {
	t.Helper()
	for _, controller := range controllers {
		requireNoError(t, controller.Start())
	}
}

// powerCycle cuts the power of all running controllers and starts them again.
func powerCycle(t *testing.T, cluster *Cluster) {
	t.Helper()
	running := cluster.runningControllers()
	killAll(true, running...)
	startAll(t, running...)
}

// setPartitioned partitions or restores the links between two machines in both directions.
func setPartitioned(cluster *Cluster, a, b string, partitioned bool) {
	cluster.Network.SetPartitioned(a, b, partitioned)
	cluster.Network.SetPartitioned(b, a, partitioned)
}

// setIsolated partitions or restores the links from a controller to all others and back.
func setIsolated(cluster *Cluster, isolated *ControllerNode, outgoing, incoming bool) {
	for _, other := range cluster.Controllers {
		if other != isolated {
			cluster.Network.SetPartitioned(isolated.IP, other.IP, outgoing)
			cluster.Network.SetPartitioned(other.IP, isolated.IP, incoming)
		}
	}
}

// isolate partitions a controller from all others in both directions.
func isolate(cluster *Cluster, controller *ControllerNode) {
	setIsolated(cluster, controller, true, true)
}

// serversOf returns the servers of services.
func serversOf(cluster *Cluster, services ...string) (servers []*Server) {
	for _, server := range cluster.Servers {
		if slices.Contains(services, server.Service) {
			servers = append(servers, server)
		}
	}
	return servers
}

// restartServers crashes servers, changes them and starts new instances.
func restartServers(t *testing.T, servers []*Server, change func(*Server)) {
	t.Helper()
	for _, server := range servers {
		server.Crash(false)
		change(server)
		requireNoError(t, server.Start())
	}
}

// rejectedConnections returns the number of connections that servers have closed because they exceeded their limits.
func rejectedConnections(servers []*Server) (count int) {
	for _, server := range servers {
		count += server.rejectedConnectionCount()
	}
	return count
}

// sendSingle sends a request on the example's route to a single service.
func sendSingle(cluster *Cluster, gateway *GatewayNode, requestID string) Response {
	return cluster.SendRequest(gateway, http.MethodGet, exampleHost, "/one/x", requestID, exampleRequestTimeout)
}

// sendGathered sends a request on the example's gathered route.
func sendGathered(cluster *Cluster, gateway *GatewayNode, requestID string) Response {
	return cluster.SendRequest(gateway, http.MethodGet, exampleHost, "/all/x", requestID, exampleRequestTimeout)
}

// checkGathered checks that a response has status 200 and is gathered from the given sharding.
func checkGathered(t *testing.T, response Response, requestID string, sharding []string) {
	t.Helper()
	violation := ExampleGathering(sharding).Check(response, requestID)
	if response.Status != http.StatusOK || violation != "" {
		t.Fatalf("gathered request %s: status %d, %s", requestID, response.Status, violation)
	}
}

// editConfiguration returns the text of a configuration with a change applied.
func editConfiguration(t *testing.T, text []byte, change func(*config.Configuration)) []byte {
	t.Helper()
	var configuration config.Configuration
	requireNoError(t, json.Unmarshal(text, &configuration))
	change(&configuration)
	edited, err := json.Marshal(configuration)
	requireNoError(t, err)
	return edited
}

// setConnectionLimit changes the connection limit of a service of a configuration.
func setConnectionLimit(configuration *config.Configuration, service string, limit int) {
	for i := range configuration.Services {
		if configuration.Services[i].Name == service {
			configuration.Services[i].ConnectionLimit = limit
		}
	}
}
