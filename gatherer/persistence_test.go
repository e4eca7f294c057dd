package gatherer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"oxbowspan/internal/testing/standin"
)

// writeStoreFile writes an operator's file with a store in the same directory and further lines. It returns the paths of
// the file and of the store.
func writeStoreFile(t *testing.T, lines string) (file, dir string) {
	t.Helper()
	dir = t.TempDir()
	file = filepath.Join(dir, "operator.ini")
	if err := os.WriteFile(file, []byte("[store]\npath = kept\n"+lines), 0o600); err != nil {
		t.Fatal(err)
	}
	return file, filepath.Join(dir, "kept")
}

// postKeyed sends a post with an idempotency key, which may be empty, and reports a failure to the test.
func postKeyed(t *testing.T, p *program, id, key, text string) (status int, body string, retryAfter string) {
	t.Helper()
	r, err := sendKeyedPost(context.Background(), p.addr, id, key, text)
	if err != nil {
		t.Error(err)
		return 0, "", ""
	}
	return r.status, r.body, r.retryAfter
}

// postUntilAdmitted repeats a post, with changing ids, until it is not shed: on a loaded machine the first one may arrive
// before the program has a connection to its server.
func postUntilAdmitted(t *testing.T, p *program, id, key, text string) (status int, body string) {
	t.Helper()
	for try, end := 0, time.Now().Add(testTimeout); time.Now().Before(end); try++ {
		if status, body, _ = postKeyed(t, p, id+strings.Repeat("0", try%8), key, text); status != http.StatusServiceUnavailable {
			return status, body
		}
	}
	return status, body
}

// keyedResponse is the response to a post with an idempotency key.
type keyedResponse struct {
	status           int
	body, retryAfter string
}

var keyedClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testTimeout}

// sendKeyedPost sends a post with an idempotency key, which may be empty.
func sendKeyedPost(ctx context.Context, addr, id, key, text string) (keyedResponse, error) {
	return sendKeyedPostWithDeadline(ctx, addr, id, key, text, "1500")
}

// sendKeyedPostWithDeadline sends a post with an idempotency key, which may be empty, and a deadline in milliseconds.
func sendKeyedPostWithDeadline(ctx context.Context, addr, id, key, text, deadline string) (keyedResponse, error) {
	s := standin.Request{ID: id, QueryType: "post", Customer: "acme", Shards: []int{2}, Statement: text}
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/post", strings.NewReader(string(s.Body())))
	for k, v := range map[string]string{"Req-Id": id, "Req-Kind": "post", "Req-Owner": "acme", "Req-Deadline-Ms": deadline, "Idempotency-Key": key} {
		if v != "" {
			r.Header.Set(k, v)
		}
	}
	res, err := keyedClient.Do(r)
	if err != nil {
		return keyedResponse{}, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return keyedResponse{res.StatusCode, string(b), res.Header.Get("Retry-After")}, err
}

// openPost sends a post that the shard server never answers, and waits until the server has it. The post is sent again while it is shed,
// which may happen before the program has a connection to the server: it has not run then.
func openPost(t *testing.T, p *program, server *standin.ShardServer, id, key, text string) {
	t.Helper()
	ctx := t.Context()
	go func() {
		for ctx.Err() == nil {
			r, err := sendKeyedPostWithDeadline(ctx, p.addr, id, key, text, longDeadline)
			if err != nil || r.status != http.StatusServiceUnavailable {
				return
			}
		}
	}()
	await(t, server.Received, func(received string) bool { return strings.HasPrefix(received, id) })
}

// runCounter counts how often shard servers ran each statement.
type runCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

func (r *runCounter) add(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[text]++
}

func (r *runCounter) count(text string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[text]
}

// After a crash, the retry of an answered post gets the stored answer, and the retry of an open one, whether it is
// identified by its key or by its id, gets an error: it may have run and must not run again.
func TestRetryAfterCrashFindsOutcome(t *testing.T) {
	runs := &runCounter{counts: map[string]int{}}
	a := startShard(t, "s-a", func(c *standin.ShardConn, p standin.ShardCall) {
		runs.add(string(p.Query))
		if !strings.HasPrefix(string(p.Query), "dead") { // these run and are never answered
			c.Respond(p.ID, "served", "paid "+string(p.Query))
		}
	})
	l := startDiscovery(t, a)
	file, _ := writeStoreFile(t, "")
	p := startProgram(t, l, withoutTimeLimits, "--operator", file) // the posts stay open until the program crashes
	status, answered := postUntilAdmitted(t, p, "a1", "key-1", "c0ffee01")
	if status != 200 {
		t.Fatalf("a post: %d %s", status, answered)
	}
	if status, body, _ := postKeyed(t, p, "a2", "key-1", "c0ffee01"); status != 200 || body != answered {
		t.Errorf("its retry: %d %s", status, body)
	}
	if status, _, _ := postKeyed(t, p, "a3", "key-1", "c0ffee02"); status != http.StatusUnprocessableEntity {
		t.Errorf("another request with its key: %d", status)
	}
	// These posts are open when the program crashes, one with a key and one without.
	for _, key := range []string{"key-2", ""} {
		openPost(t, p, a, "b"+fmt.Sprint(len(key)), key, "dead"+fmt.Sprint(len(key)))
	}
	if status, _, _ := postKeyed(t, p, "c1", "key-2", "dead5"); status != http.StatusConflict {
		t.Errorf("a retry of an open request: %d", status)
	}
	p.run.Kill()
	<-p.run.Exited

	p = startProgram(t, l, nil, "--operator", file)
	if status, body, _ := postKeyed(t, p, "d1", "key-1", "c0ffee01"); status != 200 || body != answered {
		t.Errorf("after the crash, the retry of an answered post: %d %s", status, body)
	}
	for _, key := range []string{"key-2", ""} {
		began := time.Now()
		status, body, retryAfter := postKeyed(t, p, "b"+fmt.Sprint(len(key)), key, "dead"+fmt.Sprint(len(key)))
		if status != http.StatusGatewayTimeout || retryAfter != "" {
			t.Errorf("after the crash, the retry of one that may have run: %d %s, Retry-After %q", status, body, retryAfter)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("that took %s", took)
		}
	}
	if status, _, _ := postKeyed(t, p, "e1", "key-3", "c0ffee03"); status != 200 {
		t.Errorf("a new post: %d", status)
	}
	for _, text := range []string{"c0ffee01", "dead5", "dead0", "c0ffee03"} {
		if n := runs.count(text); n != 1 {
			t.Errorf("%s ran %d times", text, n)
		}
	}
	// The program must end without an error, so that the store is closed properly.
	if err := p.run.Drain(testTimeout); err != nil {
		t.Error(err)
	}
}

// A post that is known not to have run may be retried with its key.
func TestRequestThatNeverRanMayBeRetried(t *testing.T) {
	a := startShard(t, "s-a", nil)
	l := startDiscovery(t, a)
	file, _ := writeStoreFile(t, "")
	p := startProgram(t, l, nil, "--operator", file)
	a.Stop() // connections are refused: it never ran
	if status, _, _ := postKeyed(t, p, "a1", "key-1", "c0ffee01"); status != http.StatusServiceUnavailable {
		t.Fatalf("with no server: %d", status)
	}
	b := startShard(t, "s-b", nil)
	l.Update(b.Entry())
	for end := time.Now().Add(testTimeout); ; {
		status, _, _ := postKeyed(t, p, "a2", "key-1", "c0ffee01")
		if status == 200 {
			break
		}
		if status != http.StatusServiceUnavailable || time.Now().After(end) {
			t.Fatalf("with a server again: %d", status)
		}
	}
}

// expectShed checks that a response is that of a shed post, which means that nothing ran.
func expectShed(t *testing.T, r keyedResponse) {
	t.Helper()
	if r.status != http.StatusServiceUnavailable {
		t.Fatalf("one post was shed, but another got %d %s", r.status, r.body)
	}
}

// SIGTERM while many intents are being written: each post gets its result, the program ends without an error, and after a
// restart no retry runs again.
func TestShutdownDuringGroupCommit(t *testing.T) {
	runs := &runCounter{counts: map[string]int{}}
	a := startShard(t, "s-a", func(c *standin.ShardConn, p standin.ShardCall) {
		runs.add(string(p.Query))
		c.Respond(p.ID, "served", "paid")
	})
	l := startDiscovery(t, a)
	file, _ := writeStoreFile(t, "linger = 50ms\n")
	p := startProgram(t, l, nil, "--operator", file)
	const n = 8 // as many as the limit admits for one server
	results := make(chan keyedResponse, n)
	// On a loaded machine all posts may be shed before any intent is written. The SIGTERM would then test nothing, so all are
	// sent again.
	var first keyedResponse
	for try, end := 0, time.Now().Add(testTimeout); first.status != http.StatusOK; try++ {
		if time.Now().After(end) {
			t.Fatalf("timeout: the posts are not admitted: %d %s", first.status, first.body)
		}
		if try > 0 {
			expectShed(t, first)
			for range n - 1 {
				expectShed(t, <-results)
			}
		}
		for i := range n {
			go func() {
				r, _ := sendKeyedPost(t.Context(), p.addr, fmt.Sprintf("%x", 0x1000*(try+1)+i), fmt.Sprint("k", i), fmt.Sprintf("%04x", i))
				results <- r
			}()
		}
		first = <-results // the others are in the same group commit or the next
	}
	p.cmd.Process.Signal(syscall.SIGTERM)
	byStatus := map[int]int{first.status: 1}
	for range n - 1 {
		byStatus[(<-results).status]++
	}
	if byStatus[200] != n {
		t.Errorf("responses by status: %v, the first is %q", byStatus, first.body)
	}
	select {
	case err := <-p.exit:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testTimeout):
		t.Fatal("the program does not end")
	}
	p = startProgram(t, l, nil, "--operator", file)
	for i := range n {
		if status, _, _ := postKeyed(t, p, fmt.Sprintf("%x", 0x500+i), fmt.Sprint("k", i), fmt.Sprintf("%04x", i)); status != 200 {
			t.Errorf("post %d after the restart: %d", i, status)
		}
		if got := runs.count(fmt.Sprintf("%04x", i)); got != 1 {
			t.Errorf("post %d ran %d times", i, got)
		}
	}
}

// When the store is full posts are shed immediately with a Retry-After, lookups are served, and stored answers are still
// sent.
func TestFullStoreShedsWritesOnly(t *testing.T) {
	a := startShard(t, "s-a", nil)
	l := startDiscovery(t, a)
	file, _ := writeStoreFile(t, "size = 1MiB\nsearches = 10\n")
	p := startProgram(t, l, nil, "--operator", file)
	shed := 0
	for i := range 14 {
		status, _, retryAfter := postKeyed(t, p, fmt.Sprintf("%x", i+1), fmt.Sprint("k", i), "c0ffee01")
		switch {
		case status == http.StatusServiceUnavailable && retryAfter != "":
			shed++
		case status != 200:
			t.Errorf("post %d: %d", i, status)
		}
	}
	if shed != 4 {
		t.Errorf("%d of 14 posts were shed, the store has capacity for ten", shed)
	}
	client := &http.Client{Timeout: testTimeout}
	s := standin.Request{ID: "ff", QueryType: "lookup", Customer: "acme",
		Timeout: time.Second, Shards: []int{1}, Statement: "c41e77d0"}
	if r, err := s.Send(t.Context(), client, p.addr); err != nil || r.Status != 200 {
		t.Errorf("a lookup: %d, %v", r.Status, err)
	}
	// The stored answers of the ten admitted posts must still be sent.
	if status, _, _ := postKeyed(t, p, "fe", "k3", "c0ffee01"); status != 200 {
		t.Errorf("a retry: %d", status)
	}
}

// A directory that another gatherer uses, or that is not a store, makes the program exit with code 1 and one message.
func TestUnusableStoreIsReported(t *testing.T) {
	a := startShard(t, "s-a", nil)
	l := startDiscovery(t, a)
	file, dir := writeStoreFile(t, "")
	first := startProgram(t, l, nil, "--operator", file)
	expectStartError := func(words string) {
		t.Helper()
		_, err := standin.StartProgram(newServeCommand(first, file), nil)
		if err == nil || !strings.Contains(err.Error(), words) {
			t.Errorf("got %v, want %q", err, words)
		}
	}
	expectStartError("in use by another process")
	if err := first.run.Drain(testTimeout); err != nil {
		t.Error(err)
	}
	os.RemoveAll(dir)
	os.MkdirAll(dir, 0o700)
	os.WriteFile(filepath.Join(dir, "letters.txt"), nil, 0o600)
	expectStartError("letters.txt lies in it")
	os.RemoveAll(dir)
	os.WriteFile(dir, nil, 0o600)
	expectStartError("not a directory")
}

// The last server list and the records of servers survive a restart without the discovery service.
func TestServerListSurvivesRestart(t *testing.T) {
	a := startShard(t, "s-a", nil)
	l := startDiscovery(t, a)
	file, _ := writeStoreFile(t, "")
	p := startProgram(t, l, nil, "--operator", file)
	if status, _, _ := postKeyed(t, p, "a0", "key-0", "c0ffee00"); status != 200 {
		t.Fatalf("a post: %d", status)
	}
	if err := p.run.Drain(testTimeout); err != nil {
		t.Fatal(err)
	}
	l.Stop()
	p = startProgram(t, l, nil, "--operator", file) // it becomes ready only if it has a server
	p.awaitLogLine("event=stored_list ", "hosts=1")
	p.awaitLogLine("event=learned_recalled", "servers=1")
	if status, _, _ := postKeyed(t, p, "a1", "key-1", "c0ffee01"); status != 200 {
		t.Errorf("without the discovery service: %d", status)
	}
}

// The program crashes during a retry of a post at a second server. The post may have run there, so its retries are neither
// sent again nor shed.
func TestCrashDuringRetry(t *testing.T) {
	runs := &runCounter{counts: map[string]int{}}
	a := startShard(t, "s-a", func(c *standin.ShardConn, p standin.ShardCall) { c.Respond(p.ID, "skipped", "") })
	b := startShard(t, "s-b", func(c *standin.ShardConn, p standin.ShardCall) { runs.add(string(p.Query)) })
	l := startDiscovery(t, a, b)
	file, _ := writeStoreFile(t, "")
	p := startProgram(t, l, nil, "--operator", file)
	go sendKeyedPost(t.Context(), p.addr, "a1", "key-1", "c0ffee01")
	await(t, b.Received, func(id string) bool { return strings.HasPrefix(id, "a1") })
	p.run.Kill()
	<-p.run.Exited
	p = startProgram(t, l, nil, "--operator", file)
	for i := range 3 {
		if status, _, retryAfter := postKeyed(t, p, fmt.Sprint("b", i), "key-1", "c0ffee01"); status != http.StatusGatewayTimeout || retryAfter != "" {
			t.Errorf("its retry: %d, Retry-After %q", status, retryAfter)
		}
	}
	if n := runs.count("c0ffee01"); n != 1 {
		t.Errorf("it ran %d times", n)
	}
}
