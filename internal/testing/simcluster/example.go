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

// What the example configuration asks for, and what its servers give.
const (
	ExampleRecordCount  = 20 // of a server's answer
	exampleTopRecords   = 30
	exampleMinimumShare = 0.5
)

// ExampleServices are the services of the example configuration; FirstSharding and SecondSharding are two ways to cut its index.
var (
	ExampleServices               = []string{"a0", "a1", "a2", "b0", "b1", "one", "once"}
	FirstSharding, SecondSharding = []string{"a0", "a1", "a2"}, []string{"b0", "b1"}
)

// ExampleConfiguration is a configuration with a gathered, a single and a non-retryable route.
func ExampleConfiguration(version uint64, shards []string) []byte {
	configuration := config.Configuration{Version: version, Limits: config.Limits{HeaderBytes: 16384, BodyBytes: 1 << 18, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000}}
	for _, s := range ExampleServices {
		configuration.Services = append(configuration.Services, config.Service{Name: s, HealthPath: "/health", ConnectionLimit: 60, Protocol: "h1"})
	}
	configuration.Routes = []config.Route{
		{Name: "all", Hostname: "h.example", PathPrefix: "/all/", RouteKind: config.Retryable, TimeoutMS: 1200, TargetMS: 120, GatheredServices: shards, Attempts: 2, TopRecords: exampleTopRecords, MinimumShare: exampleMinimumShare},
		{Name: "one", Hostname: "h.example", PathPrefix: "/one/", RouteKind: config.Retryable, TimeoutMS: 3000, TargetMS: 300, Service: "one", Attempts: 2},
		{Name: "once", Hostname: "h.example", PathPrefix: "/once/", RouteKind: config.NonRetryable, TimeoutMS: 3000, TargetMS: 300, Service: "once", Attempts: 3},
	}
	text, _ := json.Marshal(configuration)
	return text
}

// SendExample sends a forager a request of one of the example's kinds, by number, and checks what comes back. It tells whether the
// request was served, and which rule was broken, "" = none.
func (c *Cluster) SendExample(gateway *GatewayNode, kind int, requestID string) (served bool, violation string) {
	switch kind % 3 {
	case 0:
		c.RequestLog.RecordRequest(slices.Concat(FirstSharding, SecondSharding)...) // whichever is in force
		response := c.SendRequest(gateway, "GET", "h.example", "/all/x", requestID, time.Second)
		if response.Status != http.StatusOK {
			return false, ""
		}
		return true, CheckGathered(response, requestID, [][]string{FirstSharding, SecondSharding}, ExampleRecordCount, exampleTopRecords, exampleMinimumShare)
	case 1:
		c.RequestLog.RecordRequest("one")
		response := c.SendRequest(gateway, "GET", "h.example", "/one/x", requestID, time.Second)
		if response.Status == http.StatusOK && !bytes.Equal(response.Body, ExpectedRecords("one", requestID, ExampleRecordCount)) {
			return false, "MIXED: not the server's body"
		}
		return response.Status == http.StatusOK, ""
	}
	c.RequestLog.RecordRequest("once")
	response := c.SendRequest(gateway, "POST", "h.example", "/once/x", requestID, time.Second)
	switch executions := c.RequestLog.Executions("once", requestID); {
	case executions > 1:
		return false, fmt.Sprintf("TWICE: request %s ran %d times", requestID, executions)
	case executions > 0 && (response.Status == http.StatusServiceUnavailable || response.Status == http.StatusTooManyRequests):
		return false, fmt.Sprintf("REFUSED: request %s ran and was answered %d", requestID, response.Status)
	}
	return response.Status == http.StatusOK, ""
}
