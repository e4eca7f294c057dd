package controlapi

// HistoryEntry is a version of the configuration that the newest value lists.
type HistoryEntry struct {
	Version uint64 `json:"version"`
	BasedOn uint64 `json:"based_on"`
	Digest  string `json:"digest"` // SHA-256 in hexadecimal
}

// MembershipStatus describes the voting members and the losses that are currently tolerated, as observed by one controller.
type MembershipStatus struct {
	Controller       string         `json:"hive"` // address of the controller
	Slot             uint64         `json:"turn"`
	Version          uint64         `json:"version"`
	HasQuorum        bool           `json:"settled"`       // the controller is in contact with a majority
	Stable           bool           `json:"whole"`         // no change of the members is in progress
	TolerableLosses  int            `json:"bears"`         // number of disks that may be lost so that a majority in contact still holds the newest value
	TolerableZones   int            `json:"bears_zones"`   // number of zones, whichever they are, that may be lost so that a majority of the members remains
	TolerableRegions int            `json:"bears_regions"` // the same for regions
	Members          []MemberStatus `json:"members"`
}

// MemberStatus describes a voting member.
type MemberStatus struct {
	Identity      string  `json:"identity"` // in hexadecimal
	Address       string  `json:"address"`
	Zone          string  `json:"zone"`     // "" = unknown
	SilentSeconds float64 `json:"silent_s"` // time since the controller last saw it
	Complete      bool    `json:"complete"` // its disk is known to hold the newest value
}

// GatewayStatus describes a gateway, as observed by one controller.
type GatewayStatus struct {
	Address     string  `json:"address"`
	Zone        string  `json:"zone"`
	Incarnation string  `json:"life"`           // in hexadecimal
	AgeSeconds  float64 `json:"heard_s_ago"`    // time since its last poll
	PollsHere   bool    `json:"asks_this_hive"` // it polls this controller
	Slot        uint64  `json:"turn"`           // slot that is active there, if it polls this controller
	UpToDate    bool    `json:"newest"`         // that slot is the newest one
}

// ServerStatus describes a server, as observed by one controller.
type ServerStatus struct {
	Instance         string  `json:"instance"`
	Service          string  `json:"service"`
	Address          string  `json:"address"`
	Zone             string  `json:"zone"`
	Version          string  `json:"version"`
	Slots            int     `json:"capacity_slots"` // number of requests that it handles concurrently
	State            string  `json:"state"`
	Unresponsive     bool    `json:"silent"`      // it must not receive requests
	HeartbeatMissed  bool    `json:"unheard"`     // it has missed heartbeats
	AgeSeconds       float64 `json:"heard_s_ago"` // time since its last heartbeat
	SlowStartSeconds float64 `json:"cold_for_s"`  // remaining time of its slow start
}
