package consensus

// fault is a fault that is injected into the model's own code. The model's checks must detect it.
type fault int

const (
	noFault fault = iota

	replyBeforeStore            // a reply is sent before the state is on the disk
	wipedDiskKeepsIdentity      // an acceptor whose disk was wiped accepts under its old identity
	ballotsReused               // a restarted proposer reuses the ballots of its earlier incarnation
	promiseForgotten            // an acceptor accepts below the ballot that it promised
	prepareReplyOmitsAccepted   // a prepare reply omits the accepted value
	membersWithoutPriorMajority // members change without a majority of the prior members
	membersRemovedAtOnce        // all members but one are removed in one slot, without a majority of the prior members
	acceptTakenAsDecided        // an accepted value is treated as decided
	prepareTakenAsDecided       // the value chosen from a majority's prepare replies is treated as decided without Accepts
	replyFromOtherDisk          // a reply from another disk counts as one from the acceptor that the request was sent to
	lowerBallotWins             // of two accepted values the one with the lower ballot is treated as the newest
	conflictBeforeHistory       // a repeated request is compared with the newest version before it is looked up
	revisionsDropped            // a new configuration drops the earlier revisions

	rejectBeforeDecision       // a request is rejected because of a value that may not be decided
	rejectBelowHorizon         // a request older than all listed revisions is rejected
	rejectAboveNewest          // a request based on a version that is not committed yet is rejected while a copy is in flight
	rejectMissingFromHistory   // a request older than all listed revisions is rejected if the history does not contain it
	historyFromAccepts         // the history is filled from accepted values
	historyIgnoresDigest       // the history is searched for a version without comparing the digest
	valueIgnoresDigest         // the value is searched for a version without comparing the digest
	compatibilityBeforeOutcome // a document is checked against the known configuration before it is looked up
)

// protocolFaults lists the faults that runModel must detect.
var protocolFaults = []fault{
	replyBeforeStore,
	wipedDiskKeepsIdentity,
	ballotsReused,
	promiseForgotten,
	prepareReplyOmitsAccepted,
	membersWithoutPriorMajority,
	membersRemovedAtOnce,
	acceptTakenAsDecided,
	prepareTakenAsDecided,
	replyFromOtherDisk,
	lowerBallotWins,
	conflictBeforeHistory,
	revisionsDropped,
}

// requestFaults lists the faults that runRequestModel must detect.
var requestFaults = []fault{
	rejectBeforeDecision,
	rejectBelowHorizon,
	rejectAboveNewest,
	rejectMissingFromHistory,
	historyFromAccepts,
	historyIgnoresDigest,
	valueIgnoresDigest,
	compatibilityBeforeOutcome,
}

// String returns the fault's name, which is used as the name of its subtest.
func (f fault) String() string {
	return map[fault]string{
		noFault:                     "none",
		replyBeforeStore:            "reply before store",
		wipedDiskKeepsIdentity:      "wiped disk keeps its identity",
		ballotsReused:               "ballots reused",
		promiseForgotten:            "promise forgotten",
		prepareReplyOmitsAccepted:   "prepare reply omits the accepted value",
		membersWithoutPriorMajority: "member change without the prior majority",
		membersRemovedAtOnce:        "members removed at once",
		acceptTakenAsDecided:        "accepted value taken as decided",
		prepareTakenAsDecided:       "prepared value taken as decided",
		replyFromOtherDisk:          "reply from another disk",
		lowerBallotWins:             "lower ballot wins",
		conflictBeforeHistory:       "conflict before lookup",
		revisionsDropped:            "revisions dropped",
		rejectBeforeDecision:        "rejected before the decision",
		rejectBelowHorizon:          "rejected below the horizon",
		rejectAboveNewest:           "rejected above the newest",
		rejectMissingFromHistory:    "rejected when missing from the history",
		historyFromAccepts:          "history filled from accepted values",
		historyIgnoresDigest:        "history ignores digests",
		valueIgnoresDigest:          "listed revisions ignore digests",
		compatibilityBeforeOutcome:  "compatibility checked before lookup",
	}[f]
}
