package colony

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

// client makes HTTP calls from a machine. Each call is given up after a second.
func (c *Colony) client(ip string) *http.Client {
	host := c.at(ip)
	return &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(_ context.Context, _, addr string) (net.Conn, error) { return host.Dial(addr, time.Second) }}}
}

func (c *Colony) post(ctx context.Context, client *http.Client, to, path, body string, headers ...string) int {
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

// Replace sends a configuration to one hive. 0 = no clear answer.
func (c *Colony) Replace(to *HiveMachine, basedOn uint64, body []byte) int {
	client := c.client("10.0.9.9")
	defer client.CloseIdleConnections()
	return c.post(context.Background(), client, to.Control(), "/-/configuration/replace", string(body),
		"X-Based-On-Version", strconv.FormatUint(basedOn, 10))
}

// ReplaceNote sends a document that stands beside the configuration to one hive. 0 = no clear answer.
func (c *Colony) ReplaceNote(to *HiveMachine, name string, basedOn uint64, body []byte) int {
	client := c.client("10.0.9.9")
	defer client.CloseIdleConnections()
	return c.post(context.Background(), client, to.Control(), "/-/"+name+"/replace", string(body),
		"X-Based-On-Version", strconv.FormatUint(basedOn, 10))
}

// Read asks one hive for a resource. nil = no answer.
func (c *Colony) Read(from *HiveMachine, path string) []byte {
	client := c.client("10.0.9.9")
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + from.Control() + path)
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

// ReadConfig asks one hive for the newest configuration. nil = no answer.
func (c *Colony) ReadConfig(from *HiveMachine) []byte { return c.Read(from, "/-/configuration/read") }

// Answer is what a client got.
type Answer struct {
	Status  int // 0 = none
	Header  http.Header
	Body    []byte
	Elapsed time.Duration
}

// Ask sends one request to a forager.
func (c *Colony) Ask(to *ForagerMachine, method, host, path, id string, patience time.Duration) Answer {
	h := c.at("10.0.9.8")
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(_ context.Context, _, addr string) (net.Conn, error) { return h.Dial(addr, time.Second) }}}
	defer client.CloseIdleConnections()
	req, err := http.NewRequest(method, "http://"+to.Front()+path, nil)
	if err != nil {
		return Answer{}
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Remaining", strconv.FormatInt(patience.Milliseconds(), 10))
	began := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return Answer{Elapsed: time.Since(began)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{Elapsed: time.Since(began)}
	}
	return Answer{resp.StatusCode, resp.Header, body, time.Since(began)}
}

// CheckGathered tells what is wrong with a success to a gathered request, "" = nothing. Sets are the sets of services that
// configurations named, least the least share of parts.
func CheckGathered(a Answer, id string, sets [][]string, records, top int, least float64) string {
	var services []string
	for _, seal := range strings.Split(a.Header.Get("X-Part-Seals"), ",") {
		fields := strings.Split(strings.TrimSpace(seal), ".")
		if len(fields) != 3 || fields[2] != id {
			return fmt.Sprintf("MIXED: the stamp %q is not one for request %s", seal, id)
		}
		if slices.Contains(services, fields[1]) {
			return "MIXED: two stamps of service " + fields[1]
		}
		services = append(services, fields[1])
	}
	missing, err := strconv.Atoi(a.Header.Get("X-Missing-Parts"))
	if err != nil {
		return "MIXED: X-Missing-Parts is not a number"
	}
	fits := slices.ContainsFunc(sets, func(set []string) bool {
		return len(set) == len(services)+missing && float64(len(services)) >= least*float64(len(set)) &&
			!slices.ContainsFunc(services, func(s string) bool { return !slices.Contains(set, s) })
	})
	if !fits {
		return fmt.Sprintf("MIXED: parts of %v with %d missing are no set of one configuration", services, missing)
	}
	var all []string
	for _, s := range services {
		part := Records(s, id, records)
		for len(part) >= 16 {
			all, part = append(all, string(part[:16])), part[16:]
		}
	}
	slices.SortFunc(all, func(a, b string) int { return strings.Compare(b, a) })
	if string(a.Body) != strings.Join(all[:min(top, len(all))], "") {
		return "MIXED: the body is not the greatest records of the named parts"
	}
	return ""
}
