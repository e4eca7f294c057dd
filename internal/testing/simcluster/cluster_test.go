package simcluster

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"time"

	"oxbowspan/config"
)

// TestEndToEnd runs a complete system without faults: a configuration, servers, gathered and single responses, a change of
// the sharding, and a graceful shutdown.
func TestEndToEnd(t *testing.T) {
	runCluster(t, 1, 3, 2, func(t *testing.T, cluster *Cluster) {
		commitInitial(t, cluster, 3, ExampleConfiguration(3, ExampleSharding))
		time.Sleep(3 * time.Second)
		for i := range 20 {
			checkAllRoutes(t, cluster, cluster.Gateways[i%len(cluster.Gateways)], fmt.Sprintf("w%d", i))
		}
		status := replaceWithRetry(cluster, 3, ExampleConfiguration(4, ExampleResharding), 5)
		requireStatus(t, status, http.StatusOK, "another sharding")
		awaitVersion(t, cluster, 4, time.Second)
		checkGathered(t, sendGathered(cluster, cluster.Gateways[0], "z"), "z", ExampleResharding)
		for _, gateway := range cluster.Gateways {
			gateway.Shutdown()
		}
		for _, controller := range cluster.Controllers {
			controller.Shutdown()
		}
	})
}

// checkAllRoutes sends a request on each route of the example, and one that matches no route.
func checkAllRoutes(t *testing.T, cluster *Cluster, gateway *GatewayNode, requestID string) {
	t.Helper()
	response := cluster.SendRequest(gateway, http.MethodGet, exampleHost, "/all/x?y=1", requestID, time.Second)
	checkGathered(t, response, requestID, ExampleSharding)
	if missing := response.Header.Get(missingPartsHeader); missing != "0" {
		t.Fatalf("gathered request %s: %s parts are missing", requestID, missing)
	}

	response = sendSingle(cluster, gateway, requestID)
	requireStatus(t, response.Status, http.StatusOK, "single request %s", requestID)
	if !bytes.Equal(response.Body, ExpectedRecords(singleService, requestID, ExampleRecordCount)) {
		t.Fatalf("single request %s: the body is not the server's", requestID)
	}

	response = cluster.SendRequest(gateway, http.MethodPost, exampleHost, "/once/x", requestID, time.Second)
	requireStatus(t, response.Status, http.StatusOK, "non-retryable request %s", requestID)
	if executions := cluster.RequestLog.Executions(nonRetryableService, requestID); executions != 1 {
		t.Fatalf("non-retryable request %s: executed %d times", requestID, executions)
	}

	response = cluster.SendRequest(gateway, http.MethodGet, exampleHost, "/none/x", requestID, time.Second)
	requireStatus(t, response.Status, http.StatusNotFound, "request %s without a route", requestID)
}

// TestReplaceConfigurationStatus checks the status of invalid, conflicting and repeated changes at every controller.
func TestReplaceConfigurationStatus(t *testing.T) {
	runCluster(t, 2, 3, 1, func(t *testing.T, cluster *Cluster) {
		first, second := ExampleConfiguration(3, ExampleSharding), ExampleConfiguration(7, ExampleSharding)
		requireStatus(t, replaceWithRetry(cluster, 0, first, initialAttempts), http.StatusOK, "first configuration")
		requireStatus(t, replaceWithRetry(cluster, 3, second, 5), http.StatusOK, "second configuration")
		edited := func(change func(*config.Configuration)) []byte {
			return editConfiguration(t, ExampleConfiguration(9, ExampleSharding), change)
		}
		for _, test := range []struct {
			name    string
			basedOn uint64
			body    []byte
			want    int
		}{
			{"current one repeated", 3, second, http.StatusOK},
			{"older one repeated", 0, first, http.StatusOK},
			{"another configuration on the same base", 3, ExampleConfiguration(8, ExampleResharding), http.StatusPreconditionFailed},
			{"version not above the current one", 7, ExampleConfiguration(7, ExampleResharding), http.StatusBadRequest},
			{"truncated", 7, ExampleConfiguration(9, ExampleSharding)[:200], http.StatusBadRequest},
			{"unknown service", 7, edited(func(c *config.Configuration) {
				c.Routes[1].Service = "nowhere"
			}), http.StatusBadRequest},
			{"same host and prefix twice", 7, edited(func(c *config.Configuration) {
				c.Routes[1].PathPrefix = "/all/"
			}), http.StatusBadRequest},
			{"time-out of 0", 7, edited(func(c *config.Configuration) {
				c.Routes[0].TimeoutMS = 0
			}), http.StatusBadRequest},
			{"weights of 0", 7, edited(func(c *config.Configuration) {
				c.Routes[1].Service = ""
				c.Routes[1].WeightedServices = []config.WeightedService{{Service: singleService}, {Service: nonRetryableService}}
			}), http.StatusBadRequest},
		} {
			for _, controller := range cluster.Controllers {
				got := cluster.ReplaceConfiguration(controller, test.basedOn, test.body)
				expectStatus(t, got, test.want, "%s at %s", test.name, controller.IP)
			}
		}
		checkFirstRead(t, cluster, second)
	})
}

// TestGatewayStartBesidePoweredOffController starts a gateway while the controller that it calls first has no power. Packets to
// such a machine are lost: a gateway that waited a second for this dial would have no configuration within the bound.
func TestGatewayStartBesidePoweredOffController(t *testing.T) {
	const bound = 900 * time.Millisecond
	runCluster(t, 3, 3, 3, func(t *testing.T, cluster *Cluster) {
		commitFirstVersion(t, cluster)
		for i, gateway := range cluster.Gateways {
			cluster.Controllers[i].Kill(true)
			gateway.Kill(false)
			gateway.Start()
			time.Sleep(bound)
			if version := gateway.Gateway.ActiveVersion(); version != 1 {
				t.Errorf("%s applies version %d %v after its start next to a controller without power", gateway.IP, version, bound)
			}
			requireNoError(t, cluster.Controllers[i].Start())
			time.Sleep(catchUpTime)
		}
	})
}

// TestRoutesAddedLaterAreServed adds forty routes to a running system. Each gateway must serve requests on them like those on
// the first routes as soon as it applies the version.
func TestRoutesAddedLaterAreServed(t *testing.T) {
	const added = 40
	runCluster(t, 97, 3, 3, func(t *testing.T, cluster *Cluster) {
		commitFirstVersion(t, cluster)
		time.Sleep(3 * time.Second)
		more := editConfiguration(t, ExampleConfiguration(2, ExampleSharding), func(c *config.Configuration) {
			for i := range added {
				route := c.Routes[i%2] // a gathered one and a single one in turn
				route.Name, route.PathPrefix = fmt.Sprint("added-", i), fmt.Sprintf("/added-%d/", i)
				c.Routes = append(c.Routes, route)
			}
		})
		requireStatus(t, replaceWithRetry(cluster, 1, more, 5), http.StatusOK, "version with further routes")
		awaitVersion(t, cluster, 2, configurationApplyMax)
		for _, gateway := range cluster.Gateways {
			for i := range added {
				path := fmt.Sprintf("/added-%d/x", i)
				response := cluster.SendRequest(gateway, http.MethodGet, exampleHost, path, fmt.Sprint(gateway.IP, "-", i), exampleRequestTimeout)
				expectStatus(t, response.Status, http.StatusOK, "%s on a route added later", path)
			}
		}
	})
}
