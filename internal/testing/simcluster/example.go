package simcluster

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"oxbowspan/config"
)

// ExampleRecordCount is the number of records in a response of an example server.
const ExampleRecordCount = 20

const (
	exampleHost           = "h.example"
	exampleTopRecords     = 30  // records of a gathered response
	exampleMinimumShare   = 0.5 // share of the parts that a gathered response must contain
	exampleRequestTimeout = time.Second
)

// Services of the example's routes to a single service.
const (
	singleService       = "one"  // of the retryable route
	nonRetryableService = "once" // of the non-retryable route
)

// ExampleServices are the services of the example configuration.
var ExampleServices = []string{"a0", "a1", "a2", "b0", "b1", singleService, nonRetryableService}

// ExampleSharding names the services of the example that hold the shards of its index.
var ExampleSharding = []string{"a0", "a1", "a2"}

// ExampleResharding names the services that hold the same index, divided into other shards.
var ExampleResharding = []string{"b0", "b1"}

// ExampleConfiguration returns a configuration with a gathered route over shards, a retryable route to a single service and
// a non-retryable route.
func ExampleConfiguration(version uint64, shards []string) []byte {
	configuration := config.Configuration{
		Version: version,
		Limits:  config.Limits{HeaderBytes: 16384, BodyBytes: 1 << 18, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
	}
	for _, name := range ExampleServices {
		service := config.Service{Name: name, HealthPath: healthPath, ConnectionLimit: 60, Protocol: "h1"}
		configuration.Services = append(configuration.Services, service)
	}
	configuration.Routes = []config.Route{
		{
			Name: "all", Hostname: exampleHost, PathPrefix: "/all/", RouteKind: config.Retryable,
			TimeoutMS: 1200, TargetMS: 120, Attempts: 2,
			GatheredServices: shards, TopRecords: exampleTopRecords, MinimumShare: exampleMinimumShare,
		},
		{
			Name: "one", Hostname: exampleHost, PathPrefix: "/one/", RouteKind: config.Retryable,
			TimeoutMS: 3000, TargetMS: 300, Attempts: 2, Service: singleService,
		},
		{
			Name: "once", Hostname: exampleHost, PathPrefix: "/once/", RouteKind: config.NonRetryable,
			TimeoutMS: 3000, TargetMS: 300, Attempts: 3, Service: nonRetryableService,
		},
	}
	text, _ := json.Marshal(configuration) // a struct of plain values always marshals
	return text
}

// SendExample sends a request on one of the example's three routes, selected by number modulo 3, and checks the response. It
// returns whether the request was served and which guarantee was violated, if any.
func (c *Cluster) SendExample(gateway *GatewayNode, number int, requestID string) (served bool, violation Violation) {
	switch number % 3 {
	case 0:
		return c.sendGatheredExample(gateway, requestID)
	case 1:
		return c.sendSingleExample(gateway, requestID)
	default:
		return c.sendNonRetryableExample(gateway, requestID)
	}
}

func (c *Cluster) sendGatheredExample(gateway *GatewayNode, requestID string) (served bool, violation Violation) {
	c.RequestLog.RecordRequest(slices.Concat(ExampleSharding, ExampleResharding)...) // either sharding may be applied
	response := c.SendRequest(gateway, http.MethodGet, exampleHost, "/all/x", requestID, exampleRequestTimeout)
	if response.Status != http.StatusOK {
		return false, checkNotDenied(requestID, response.Status)
	}
	return true, ExampleGathering(ExampleSharding, ExampleResharding).Check(response, requestID)
}

func (c *Cluster) sendSingleExample(gateway *GatewayNode, requestID string) (served bool, violation Violation) {
	c.RequestLog.RecordRequest(singleService)
	response := c.SendRequest(gateway, http.MethodGet, exampleHost, "/one/x", requestID, exampleRequestTimeout)
	if response.Status != http.StatusOK {
		return false, checkNotDenied(requestID, response.Status)
	}
	if !bytes.Equal(response.Body, ExpectedRecords(singleService, requestID, ExampleRecordCount)) {
		return false, mixedResponse("request %s got another body than its server sent", requestID)
	}
	return true, ""
}

func (c *Cluster) sendNonRetryableExample(gateway *GatewayNode, requestID string) (served bool, violation Violation) {
	c.RequestLog.RecordRequest(nonRetryableService)
	response := c.SendRequest(gateway, http.MethodPost, exampleHost, "/once/x", requestID, exampleRequestTimeout)
	executions := c.RequestLog.Executions(nonRetryableService, requestID)
	if violation := checkNonRetryable(requestID, executions, response.Status); violation != "" {
		return false, violation
	}
	return response.Status == http.StatusOK, checkNotDenied(requestID, response.Status)
}

// checkNotDenied checks that a valid request on a route that every version has is not answered with a redirect or a client
// error. The statuses 408, 421 and 429 are allowed.
func checkNotDenied(requestID string, status int) Violation {
	switch {
	case status < http.StatusMultipleChoices || status >= http.StatusInternalServerError:
	case status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest || status == http.StatusTooManyRequests:
	default:
		return deniedRequest("request %s is valid and was answered %d", requestID, status)
	}
	return ""
}

// checkNonRetryable checks that a non-retryable request was executed at most once, and not at all if its status is 503 or 429.
func checkNonRetryable(requestID string, executions, status int) Violation {
	rejected := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	switch {
	case executions > 1:
		return Violation(fmt.Sprintf("duplicate execution: request %s was executed %d times", requestID, executions))
	case executions > 0 && rejected:
		return Violation(fmt.Sprintf("false rejection: request %s was executed and answered with %d", requestID, status))
	}
	return ""
}

// ExampleGathering returns the expectation of gathered responses of the example while one of the shardings is applied.
func ExampleGathering(shardings ...[]string) GatheredExpectation {
	return GatheredExpectation{
		ServiceSets:  shardings,
		RecordCount:  ExampleRecordCount,
		TopRecords:   exampleTopRecords,
		MinimumShare: exampleMinimumShare,
	}
}
