package simcluster

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers of the protocol between clients, gateways, servers and controllers.
const (
	attemptIDHeader        = "X-Attempt-Id"
	deadlineHeader         = "X-Deadline-Remaining" // milliseconds
	basedOnHeader          = "X-Based-On-Version"
	instanceHeader         = "X-Instance-Id"
	expectedInstanceHeader = "X-Expected-Instance"
	serverSealHeader       = "X-Server-Seal"   // "INSTANCE.SERVICE.REQUEST-ID"
	partSealsHeader        = "X-Part-Seals"    // seals of the gathered parts, separated by commas
	missingPartsHeader     = "X-Missing-Parts" // number of parts that were not gathered
)

const (
	clientConnectTimeout = time.Second
	controlCallTimeout   = time.Second
)

// configurationDocument is the name of the configuration among the documents that operators replace.
const configurationDocument = "configuration"

// httpClient returns a client that calls from an IP address and opens a new connection for each call.
func (c *Cluster) httpClient(ip string, timeout time.Duration) *http.Client {
	host := c.networkOf(ip)
	dial := func(_ context.Context, _, address string) (net.Conn, error) {
		return host.Dial(address, clientConnectTimeout)
	}
	return &http.Client{
		Timeout:   timeout,
		Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial},
	}
}

// post sends a POST request with a body and returns the status; 0 means that there was no response.
func post(ctx context.Context, client *http.Client, address, path string, body []byte, headers http.Header) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(string(body)))
	if err != nil {
		return 0
	}
	for name, values := range headers {
		request.Header[name] = values
	}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// ReplaceConfiguration sends a configuration that replaces version basedOn to one controller and returns the status; 0 means
// that there was no response, so that the outcome is unknown.
func (c *Cluster) ReplaceConfiguration(to *ControllerNode, basedOn uint64, body []byte) int {
	return c.ReplaceDocument(to, configurationDocument, basedOn, body)
}

// ReplaceDocument sends a document, such as the configuration or the tenants, that replaces version basedOn to one controller
// and returns the status; 0 means that there was no response, so that the outcome is unknown.
func (c *Cluster) ReplaceDocument(to *ControllerNode, name string, basedOn uint64, body []byte) int {
	client := c.httpClient(operatorIP, controlCallTimeout)
	defer client.CloseIdleConnections()
	headers := http.Header{basedOnHeader: {strconv.FormatUint(basedOn, 10)}}
	return post(context.Background(), client, to.ControlAddress(), "/-/"+name+"/replace", body, headers)
}

// ReadResource reads a resource of one controller. It returns nil unless the response has status 200.
func (c *Cluster) ReadResource(from *ControllerNode, path string) []byte {
	client := c.httpClient(operatorIP, controlCallTimeout)
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + from.ControlAddress() + path)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return nil
	}
	return body
}

// ReadConfiguration reads the current configuration from one controller. It returns nil unless the response has status 200.
func (c *Cluster) ReadConfiguration(from *ControllerNode) []byte {
	return c.ReadResource(from, "/-/configuration/read")
}

// Response is the response to a client's request.
type Response struct {
	Status  int // 0: no response
	Header  http.Header
	Body    []byte
	Elapsed time.Duration // from sending the request to the end of the response or the failure
}

// SendRequest sends one request to a gateway and waits for the response until the timeout, which is also sent as the
// request's deadline.
func (c *Cluster) SendRequest(to *GatewayNode, method, host, path, requestID string, timeout time.Duration) Response {
	client := c.httpClient(clientIP, timeout)
	defer client.CloseIdleConnections()
	request, err := http.NewRequest(method, "http://"+to.PublicAddress()+path, nil)
	if err != nil {
		return Response{}
	}
	request.Host = host
	request.Header.Set(attemptIDHeader, requestID)
	request.Header.Set(deadlineHeader, strconv.FormatInt(timeout.Milliseconds(), 10))
	start := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return Response{Elapsed: time.Since(start)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Response{Elapsed: time.Since(start)}
	}
	return Response{Status: response.StatusCode, Header: response.Header, Body: body, Elapsed: time.Since(start)}
}
