package consensus

// fault is injected into the model's own part of the work, to show that its checks detect it.
type fault int

const (
	noFault fault = iota

	replyBeforeStore            // a reply is sent before the state is on the disk
	wipedDiskKeepsIdentity      // an empty disk accepts under its old identity
	ballotsReused               // a proposer that starts again uses the ballots of its earlier incarnation
	promiseForgotten            // an acceptor accepts below the ballot that it promised
	prepareReplyOmitsAccepted   // a prepare reply omits the accepted value
	membersWithoutPriorMajority // members change without a majority of those before
	twoMembersAtOnce            // two members are replaced in one slot, without a majority of those before
	acceptTakenAsDecided        // an accepted value is taken as decided
	prepareTakenAsDecided       // the value of a majority's prepare replies is taken as decided without Accepts
	replyFromOtherDisk          // a reply from another disk counts as from the acceptor that was asked
	lowerBallotWins             // of two accepted values that with the lower ballot is taken as the newest
	conflictBeforeHistory       // a repeated request is compared with the version in place before it is looked up
	revisionsDropped            // a new configuration drops the revisions before it

	rejectBeforeDecision       // a request is rejected because of a value that may still lose
	rejectBelowHorizon         // a request older than all listed revisions is rejected
	rejectAboveNewest          // a request based on a version that is not in place yet is rejected, with a copy still in flight
	rejectMissingFromHistory   // a request older than all listed revisions is rejected where the history lacks it
	historyFromAccepts         // the history is filled from accepted values
	historyIgnoresDigest       // the history is asked for a version without its digest
	valueIgnoresDigest         // the value is asked for a version without its digest
	compatibilityBeforeOutcome // a document is checked against the known configuration before it is looked up
)

// protocolFaults are those that runModel must detect.
var protocolFaults = []fault{
	replyBeforeStore,
	wipedDiskKeepsIdentity,
	ballotsReused,
	promiseForgotten,
	prepareReplyOmitsAccepted,
	membersWithoutPriorMajority,
	twoMembersAtOnce,
	acceptTakenAsDecided,
	prepareTakenAsDecided,
	replyFromOtherDisk,
	lowerBallotWins,
	conflictBeforeHistory,
	revisionsDropped,
}

// requestFaults are those that runRequestModel must detect.
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

// String returns the fault's name, for subtests.
func (f fault) String() string {
	return map[fault]string{
		noFault:                     "none",
		replyBeforeStore:            "reply before store",
		wipedDiskKeepsIdentity:      "wiped disk keeps its identity",
		ballotsReused:               "ballots reused",
		promiseForgotten:            "promise forgotten",
		prepareReplyOmitsAccepted:   "prepare reply omits the accepted value",
		membersWithoutPriorMajority: "member change without the prior majority",
		twoMembersAtOnce:            "two members at once",
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
