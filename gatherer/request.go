package gatherer

import (
	"time"

	"oxbowspan/balancer"
	"oxbowspan/idempotency"
	"oxbowspan/memorybudget"
	"oxbowspan/merge"
)

// clientRequest is one request of a client.
type clientRequest struct {
	// The transport sets these.
	wireID    string // its Req-Id
	text      []byte // sent with each call
	queryType balancer.QueryType
	customer  balancer.CustomerIndex
	timeout   balancer.Time
	retry     bool
	callSpecs []callSpec
	result    chan result  // has room for the one result
	query     *merge.Query // nil = the values are passed on as they are

	// The dispatcher's goroutine owns the rest.
	id         balancer.RequestID
	calls      []*shardCall
	merge      *merge.Merge       // nil = no query; closed with the answer made of it, or else by the dispatcher
	finished   bool               // it has a result, or its client is gone
	clientGone bool               // before a result was sent
	reserved   memorybudget.Bytes // in the account Requests
	inUse      memorybudget.Bytes // of that, by the request itself and the values received
	admittedAt balancer.Time      // 0 = it does not count for degradation

	// Of a request that must not run twice, if there is a store.
	key           idempotency.Key // "" = it may run twice
	digest        idempotency.Digest
	intentPending bool // its intent is being written
	intentDurable bool // its intent is written, or it mayHaveRun
	mayHaveRun    bool // an earlier request with its key may have run
	intentAt      balancer.Time
	intentTimer   *time.Timer
}

// callSpec is a call as the client specifies it.
type callSpec struct {
	shard  balancer.ShardIndex
	weight float64
	size   float64 // expected work in milliseconds; 0 = unknown
}

// shardCall is one call of a request.
type shardCall struct {
	request  *clientRequest
	id       balancer.ShardCallID
	shard    balancer.ShardIndex
	wireID   string
	attempts []*server // by number, the server of each; nil = the attempt has ended
	inFlight int       // attempts
	value    string
	answered bool
}

// result is the one result of a request.
type result struct {
	kind       resultKind
	complete   bool
	retryAfter balancer.Time      // of resultShed; 0 = none
	values     []shardValue       // of resultAnswer
	merge      *merge.Merge       // of resultMerged; the receiver closes it
	text       []byte             // the encoded answer; nil = it is made of values
	reserved   memorybudget.Bytes // in the account Answers, until the answer is written
}

// resultKind is the kind of a result.
type resultKind uint8

const (
	resultAnswer resultKind = iota
	resultMerged
	resultShed
	resultFailed
	resultDuplicateID // another open request has its Req-Id
	resultStored      // the answer to an earlier request with its idempotency key
	resultKeyOpen     // a request with its idempotency key is open
	resultKeyMismatch // a different request has its idempotency key
)

// shardValue is the value of one call.
type shardValue struct {
	shard balancer.ShardIndex
	value string
}
