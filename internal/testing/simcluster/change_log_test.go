package simcluster

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"

	"oxbowspan/config"
	"oxbowspan/controlapi"
)

// changeDocuments lists the documents that operators change. The configuration is changed as often as the others together.
var changeDocuments = []string{
	configurationDocument, configurationDocument, config.TenantsDocumentName, config.PinsDocumentName,
}

// changeRequest is an operator's change of a document.
type changeRequest struct {
	document         string
	version, basedOn uint64
	body             []byte
}

// versionKey identifies a version of a document.
type versionKey struct {
	document string
	version  uint64
}

// changeKey identifies a change independently of when and to which controller it is sent.
type changeKey struct {
	versionKey
	basedOn uint64
	digest  string // SHA-256 of the body, in hexadecimal
}

func (r *changeRequest) key() changeKey {
	sum := sha256.Sum256(r.body)
	return changeKey{versionKey{r.document, r.version}, r.basedOn, hex.EncodeToString(sum[:])}
}

func (r *changeRequest) send(cluster *Cluster, to *ControllerNode) (status int) {
	return cluster.ReplaceDocument(to, r.document, r.basedOn, r.body)
}

// newChangeRequest returns a change whose body differs from those of all changes with another bodyID. The version of tenants
// and pins is always basedOn+1.
func newChangeRequest(t *testing.T, document string, version, basedOn uint64, bodyID int) *changeRequest {
	t.Helper()
	request := &changeRequest{document: document, version: basedOn + 1, basedOn: basedOn}
	switch document {
	case configurationDocument:
		request.version = version
		request.body = editConfiguration(t, ExampleConfiguration(version, ExampleSharding), func(c *config.Configuration) {
			c.Routes[0].TargetMS = float64(100 + bodyID)
		})
	case config.TenantsDocumentName:
		const format = `{"tenants":[{"name":"t%d","floor":40,"routes":[{"hostname":"h.example","path_prefix":"/"}]}]}`
		request.body = fmt.Appendf(nil, format, bodyID)
	case config.PinsDocumentName:
		const format = `{"pins":[{"instance":"i-%d","stance":"out","for_s":4,"why":"a test"}]}`
		request.body = fmt.Appendf(nil, format, bodyID)
	}
	return request
}

// changeLog checks every response to a change against all other responses and against the versions that are known to be
// committed. Its methods are safe for concurrent use.
type changeLog struct {
	mu            sync.Mutex
	requests      []*changeRequest
	acknowledged  map[changeKey]int
	rejected      map[changeKey]int
	indeterminate int                      // responses that leave the outcome open
	successors    map[versionKey]changeKey // the acknowledged change based on each version
	committed     map[versionKey]changeKey // as read from controllers
	newest        map[string]uint64        // newest version of each document that operators know
	violations    []string
}

func newChangeLog() *changeLog {
	return &changeLog{
		acknowledged: map[changeKey]int{},
		rejected:     map[changeKey]int{},
		successors:   map[versionKey]changeKey{},
		committed:    map[versionKey]changeKey{},
		newest:       map[string]uint64{},
	}
}

// addViolation records a violation. The caller holds the lock.
func (l *changeLog) addViolation(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

func (l *changeLog) recordSent(request *changeRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, request)
}

// send sends a change to a controller and records the response.
func (l *changeLog) send(cluster *Cluster, request *changeRequest, to *ControllerNode) (status int) {
	status = request.send(cluster, to)
	l.recordResponse(request, status, to.IP)
	return status
}

// recordResponse records a response and checks it against all other responses.
func (l *changeLog) recordResponse(request *changeRequest, status int, by string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := request.key()
	switch {
	case status == http.StatusOK:
		base := versionKey{key.document, key.basedOn}
		if other, found := l.successors[base]; found && other != key {
			l.addViolation("two changes on %s version %d are acknowledged: version %d and version %d, by %s",
				key.document, key.basedOn, other.version, key.version, by)
		}
		l.acknowledged[key]++
		l.successors[base] = key
		l.newest[key.document] = max(l.newest[key.document], key.version)
	case isRejection(status):
		l.rejected[key]++
	default:
		l.indeterminate++
	}
	if l.acknowledged[key] > 0 && l.rejected[key] > 0 {
		l.addViolation("%s version %d on %d is acknowledged, and rejected with %d, by %s",
			key.document, key.version, key.basedOn, status, by)
	}
	l.checkCommitted(key)
}

// isRejection reports whether a status rejects a change permanently.
func isRejection(status int) bool {
	return status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

// checkCommitted compares the responses to a change with the committed change of the same version. The caller holds the lock.
func (l *changeLog) checkCommitted(key changeKey) {
	committed, known := l.committed[key.versionKey]
	switch {
	case known && committed != key && l.acknowledged[key] > 0:
		l.addViolation("%s version %d is acknowledged, and another is committed under its number", key.document, key.version)
	case known && committed == key && l.rejected[key] > 0:
		l.addViolation("%s version %d is rejected, and committed", key.document, key.version)
	}
}

// observeHistory records the versions of the configuration that a controller reports as committed, if it responds.
func (l *changeLog) observeHistory(cluster *Cluster, controller *ControllerNode) {
	l.recordHistory(cluster.ReadResource(controller, "/-/configuration/history"))
}

// awaitHistory is like observeHistory, but repeats the read until there is a response and fails the test if there is none.
func (l *changeLog) awaitHistory(t *testing.T, cluster *Cluster, controller *ControllerNode) {
	t.Helper()
	if !l.recordHistory(readWithRetry(cluster, controller, "/-/configuration/history")) {
		t.Fatalf("%s does not return its history", controller.IP)
	}
}

// recordHistory records a controller's history and reports whether the text is a valid history.
func (l *changeLog) recordHistory(text []byte) bool {
	var history []controlapi.HistoryEntry
	if json.Unmarshal(text, &history) != nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, entry := range history {
		key := changeKey{versionKey{configurationDocument, entry.Version}, entry.BasedOn, entry.Digest}
		if before, known := l.committed[key.versionKey]; known && before != key {
			l.addViolation("two configurations are committed under number %d", key.version)
		}
		l.committed[key.versionKey] = key
		l.newest[key.document] = max(l.newest[key.document], key.version)
		l.checkCommitted(key)
	}
	return true
}

// committedChain follows the committed configurations from the newest back to the first. It returns their number and whether
// one of them is unknown, where it stops.
func (l *changeLog) committedChain() (count int, gap bool) {
	for version := l.newest[configurationDocument]; version > 0; count++ {
		key, known := l.committed[versionKey{configurationDocument, version}]
		if !known {
			return count, true
		}
		version = key.basedOn
	}
	return count, false
}

// nextRequest returns a random next change of an operator: usually a new one based on the newest version, sometimes based on an
// older version or on one that does not exist yet, or a repetition of an earlier change.
func (l *changeLog) nextRequest(t *testing.T, random *rand.Rand, bodyID int) *changeRequest {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.requests) > 0 && random.IntN(5) < 2 {
		if random.IntN(2) == 0 {
			return l.requests[max(0, len(l.requests)-1-random.IntN(8))]
		}
		return l.requests[random.IntN(len(l.requests))]
	}
	document := changeDocuments[random.IntN(len(changeDocuments))]
	basedOn := l.newest[document]
	switch random.IntN(12) {
	case 0:
		basedOn -= min(basedOn, uint64(random.IntN(50)))
	case 1:
		basedOn += uint64(1 + random.IntN(2))
	}
	request := newChangeRequest(t, document, basedOn+1+uint64(random.IntN(2)), basedOn, bodyID)
	l.requests = append(l.requests, request)
	return request
}

// newestVersion returns the newest version of a document that is known to operators.
func (l *changeLog) newestVersion(document string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newest[document]
}

// skipVersion records that the next version of a document was used by a change whose response was lost.
func (l *changeLog) skipVersion(document string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newest[document]++
}
