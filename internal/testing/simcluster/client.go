package simcluster

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// httpClient makes HTTP calls from a machine. Each call is given up after a second.
func (c *Cluster) httpClient(ip string) *http.Client {
	host := c.networkOf(ip)
	return &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(_ context.Context, _, addr string) (net.Conn, error) { return host.Dial(addr, time.Second) }}}
}

func (c *Cluster) post(ctx context.Context, client *http.Client, to, path, body string, headers ...string) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// ReplaceConfiguration sends a configuration to one hive. 0 = no clear answer.
func (c *Cluster) ReplaceConfiguration(to *ControllerNode, basedOn uint64, body []byte) int {
	client := c.httpClient("10.0.9.9")
	defer client.CloseIdleConnections()
	return c.post(context.Background(), client, to.ControlAddress(), "/-/configuration/replace", string(body),
		"X-Based-On-Version", strconv.FormatUint(basedOn, 10))
}

// ReplaceDocument sends a document that stands beside the configuration to one hive. 0 = no clear answer.
func (c *Cluster) ReplaceDocument(to *ControllerNode, name string, basedOn uint64, body []byte) int {
	client := c.httpClient("10.0.9.9")
	defer client.CloseIdleConnections()
	return c.post(context.Background(), client, to.ControlAddress(), "/-/"+name+"/replace", string(body),
		"X-Based-On-Version", strconv.FormatUint(basedOn, 10))
}

// ReadResource asks one hive for a resource. nil = no answer.
func (c *Cluster) ReadResource(from *ControllerNode, path string) []byte {
	client := c.httpClient("10.0.9.9")
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + from.ControlAddress() + path)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return nil
	}
	return body
}

// ReadConfiguration asks one hive for the newest configuration. nil = no answer.
func (c *Cluster) ReadConfiguration(from *ControllerNode) []byte {
	return c.ReadResource(from, "/-/configuration/read")
}

// Response is what a client got.
type Response struct {
	Status  int // 0 = none
	Header  http.Header
	Body    []byte
	Elapsed time.Duration
}

// SendRequest sends one request to a forager.
func (c *Cluster) SendRequest(to *GatewayNode, method, host, path, requestID string, timeout time.Duration) Response {
	source := c.networkOf("10.0.9.8")
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(_ context.Context, _, addr string) (net.Conn, error) { return source.Dial(addr, time.Second) }}}
	defer client.CloseIdleConnections()
	req, err := http.NewRequest(method, "http://"+to.PublicAddress()+path, nil)
	if err != nil {
		return Response{}
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", requestID)
	req.Header.Set("X-Deadline-Remaining", strconv.FormatInt(timeout.Milliseconds(), 10))
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return Response{Elapsed: time.Since(start)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Response{Elapsed: time.Since(start)}
	}
	return Response{resp.StatusCode, resp.Header, body, time.Since(start)}
}

// CheckGathered tells what is wrong with a success to a gathered request, "" = nothing. Sets are the sets of services that
// configurations named, least the least share of parts.
func CheckGathered(response Response, requestID string, serviceSets [][]string, recordCount, top int, minimumShare float64) string {
	var services []string
	for _, stamp := range strings.Split(response.Header.Get("X-Part-Seals"), ",") {
		fields := strings.Split(strings.TrimSpace(stamp), ".")
		if len(fields) != 3 || fields[2] != requestID {
			return fmt.Sprintf("MIXED: the stamp %q is not one for request %s", stamp, requestID)
		}
		if slices.Contains(services, fields[1]) {
			return "MIXED: two stamps of service " + fields[1]
		}
		services = append(services, fields[1])
	}
	missing, err := strconv.Atoi(response.Header.Get("X-Missing-Parts"))
	if err != nil {
		return "MIXED: X-Missing-Parts is not a number"
	}
	matches := slices.ContainsFunc(serviceSets, func(set []string) bool {
		return len(set) == len(services)+missing && float64(len(services)) >= minimumShare*float64(len(set)) &&
			!slices.ContainsFunc(services, func(s string) bool { return !slices.Contains(set, s) })
	})
	if !matches {
		return fmt.Sprintf("MIXED: parts of %v with %d missing are no set of one configuration", services, missing)
	}
	var all []string
	for _, s := range services {
		shard := ExpectedRecords(s, requestID, recordCount)
		for len(shard) >= 16 {
			all, shard = append(all, string(shard[:16])), shard[16:]
		}
	}
	slices.SortFunc(all, func(response, b string) int { return strings.Compare(b, response) })
	if string(response.Body) != strings.Join(all[:min(top, len(all))], "") {
		return "MIXED: the body is not the greatest records of the named parts"
	}
	return ""
}
