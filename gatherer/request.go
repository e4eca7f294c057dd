package gatherer

import (
	"time"

	"oxbowspan/balancer"
	"oxbowspan/idempotency"
	"oxbowspan/memorybudget"
	"oxbowspan/merge"
)

// clientRequest is a request of a client.
type clientRequest struct {
	// Set by the transport.
	wireID    string // the Req-Id
	text      []byte // the statement, sent with each call
	queryType balancer.QueryType
	customer  balancer.CustomerIndex
	timeout   balancer.Time
	retry     bool
	callSpecs []callSpec
	result    chan result  // buffered, for the only result
	query     *merge.Query // nil = the values are not merged

	// The other fields belong to the dispatcher's goroutine.
	id                 balancer.RequestID
	calls              []*shardCall
	merge              *merge.Merge       // nil = no query; closed by the receiver of the result, or else by the dispatcher
	finished           bool               // it has a result, or its client has disconnected
	clientDisconnected bool               // the client disconnected before it received the result
	reserved           memorybudget.Bytes // bytes reserved in the account Requests
	inUse              memorybudget.Bytes // bytes of reserved that the request and the values received use
	admittedAt         balancer.Time      // 0 = it does not count for degradation

	// Set for a request that must not run twice, if there is a store.
	key           idempotency.Key // "" = it may run twice, or there is no store
	digest        idempotency.Digest
	intentPending bool // its intent is being written
	intentDurable bool // its intent is written, or mayHaveRun is set
	mayHaveRun    bool // an earlier request with its key may have run
	intentAt      balancer.Time
	intentTimer   *time.Timer
}

// callSpec is a call as specified by the client.
type callSpec struct {
	shard  balancer.ShardIndex
	weight float64
	size   float64 // expected work in milliseconds; 0 = unknown
}

// shardCall is a call of a request to a shard.
type shardCall struct {
	request  *clientRequest
	id       balancer.ShardCallID
	shard    balancer.ShardIndex
	wireID   string
	attempts []*server // the server of each attempt, by attempt number; nil = the attempt has ended
	inFlight int       // number of attempts in flight
	value    string
	answered bool
}

// result is the result of a request. Each request has exactly one.
type result struct {
	kind       resultKind
	complete   bool
	retryAfter balancer.Time      // for resultShed; 0 = none
	values     []shardValue       // for resultAnswer
	merge      *merge.Merge       // for resultMerged; the receiver closes it
	text       []byte             // the encoded answer; nil = it is encoded from values
	reserved   memorybudget.Bytes // bytes reserved in the account Answers until the answer is written
}

// resultKind is the kind of a result.
type resultKind uint8

const (
	resultAnswer resultKind = iota
	resultMerged
	resultShed
	resultFailed
	resultDuplicateID   // another open request has the same Req-Id
	resultStored        // the stored answer to an earlier request with the same idempotency key
	resultKeyInProgress // another request with the same idempotency key is open
	resultKeyMismatch   // an earlier request with the same idempotency key had a different body
)

// shardValue is the value that a shard returned for a call.
type shardValue struct {
	shard balancer.ShardIndex
	value string
}
