package controlapi

// HistoryEntry is a version of the configuration that the newest value remembers.
type HistoryEntry struct {
	Version uint64 `json:"version"`
	BasedOn uint64 `json:"based_on"`
	Digest  string `json:"digest"` // SHA-256, in hexadecimal
}

// MembershipStatus is who votes, and which losses are tolerated now, as one controller sees it.
type MembershipStatus struct {
	Controller       string         `json:"hive"` // its address
	Slot             uint64         `json:"turn"`
	Version          uint64         `json:"version"`
	HasQuorum        bool           `json:"settled"`       // it is in contact with a majority
	Stable           bool           `json:"whole"`         // no change of the members is in progress
	TolerableLosses  int            `json:"bears"`         // disks whose loss leaves a majority in contact that holds the newest value
	TolerableZones   int            `json:"bears_zones"`   // zones whose loss, whichever they are, leaves a majority of the members
	TolerableRegions int            `json:"bears_regions"` // as TolerableZones
	Members          []MemberStatus `json:"members"`
}

// MemberStatus is an acceptor that votes.
type MemberStatus struct {
	Identity      string  `json:"identity"` // in hexadecimal
	Address       string  `json:"address"`
	Zone          string  `json:"zone"`     // "" = not known
	SilentSeconds float64 `json:"silent_s"` // since the controller last saw it
	Complete      bool    `json:"complete"` // its disk is known to hold the newest value
}

// GatewayStatus is a gateway, as one controller sees it.
type GatewayStatus struct {
	Address     string  `json:"address"`
	Zone        string  `json:"zone"`
	Incarnation string  `json:"life"`           // in hexadecimal
	AgeSeconds  float64 `json:"heard_s_ago"`    // since its last poll
	PollsHere   bool    `json:"asks_this_hive"` // it polls this controller
	Slot        uint64  `json:"turn"`           // in force there, if it polls this controller
	UpToDate    bool    `json:"newest"`         // that slot is the newest
}

// ServerStatus is a server, as one controller sees it.
type ServerStatus struct {
	Instance         string  `json:"instance"`
	Service          string  `json:"service"`
	Address          string  `json:"address"`
	Zone             string  `json:"zone"`
	Version          string  `json:"version"`
	Slots            int     `json:"capacity_slots"` // requests that it handles at once
	State            string  `json:"state"`
	Unresponsive     bool    `json:"silent"`      // it is not to be used
	HeartbeatMissed  bool    `json:"unheard"`     // its heartbeats stay away
	AgeSeconds       float64 `json:"heard_s_ago"` // since its last heartbeat
	SlowStartSeconds float64 `json:"cold_for_s"`  // remaining
}
