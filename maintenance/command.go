package maintenance

import (
	"encoding/json"
	"errors"
	"fmt"
)

// FormatVersion is the version of the encoding of commands and snapshots. A replica that reads a later version must
// stop: if it guessed the meaning, its state would diverge from that of the other replicas.
const FormatVersion = 1

// ErrNewerFormat is returned for a command or snapshot whose format version is later than FormatVersion.
var ErrNewerFormat = errors.New("written by a later version of the program")

// Command is one entry of the log. Exactly one of the fields after At is set.
type Command struct {
	V             int            `json:"v"`  // FormatVersion of the writer
	At            Time           `json:"at"` // time of the proposal, by the clock of the proposing leader
	Join          *Join          `json:"join,omitempty"`
	Renew         *Renew         `json:"renew,omitempty"`
	Leave         *Leave         `json:"leave,omitempty"`
	RequestPermit *RequestPermit `json:"ask,omitempty"`
	ReturnPermit  *ReturnPermit  `json:"return,omitempty"`
	RemoveMember  *Forget        `json:"forget,omitempty"`
	UpdateServers *UpdateServers `json:"listed,omitempty"`
	Limits        *Limits        `json:"limits,omitempty"`
	StartRelease  *Plan          `json:"start,omitempty"`
	HaltRelease   *HaltRelease   `json:"halt,omitempty"`
	ResumeRelease *ResumeRelease `json:"resume,omitempty"`
	RollBack      *RollBack      `json:"back,omitempty"`
	AdvanceTime   *AdvanceTime   `json:"turn,omitempty"`
}

type (
	// Join registers a gatherer as a member, or a new incarnation of an existing member.
	Join struct {
		Name        MemberName  `json:"name"`
		Zone        Zone        `json:"zone"`
		Version     Version     `json:"version"`
		Incarnation Incarnation `json:"incarnation"`
	}
	// Renew renews a gatherer's lease and reports its status, its counters and the members that it suspects.
	Renew struct {
		Name        MemberName    `json:"name"`
		Incarnation Incarnation   `json:"incarnation"`
		Status      Status        `json:"status"`
		Counts      RequestCounts `json:"figures"`
		Suspects    []MemberName  `json:"suspects,omitempty"`
	}
	// Leave announces that a member is shutting down.
	Leave struct {
		Name        MemberName  `json:"name"`
		Incarnation Incarnation `json:"incarnation"`
	}
	// RequestPermit requests a permit to be out. While the member holds a permit, a repeated request returns that permit.
	RequestPermit struct {
		Name        MemberName  `json:"name"`
		Incarnation Incarnation `json:"incarnation"` // 0 = the current one, for requests by an operator
		Reason      string      `json:"why"`
	}
	// ReturnPermit returns a permit because its holder is in service again.
	ReturnPermit struct {
		Name  MemberName `json:"name"`
		Epoch Epoch      `json:"epoch"`
	}
	// Forget removes a member that, according to an operator, will not come back.
	Forget struct {
		Name MemberName `json:"name"`
	}
	// UpdateServers carries the current server list. Servers that are not in it count as out.
	UpdateServers struct {
		Servers []ListedServer `json:"servers"`
	}
	// ListedServer is an entry of the server list.
	ListedServer struct {
		Name        MemberName  `json:"name"`
		Zone        Zone        `json:"zone"`
		Version     Version     `json:"version,omitempty"`
		Incarnation Incarnation `json:"incarnation"` // start time of the server
		Status      Status      `json:"status"`
		Segments    []Segment   `json:"segments"`
	}
	// HaltRelease halts a running release: it starts no changes and gives no orders until it is resumed or rolled back.
	HaltRelease struct {
		ID     ReleaseID `json:"id"`
		Reason string    `json:"why"`
	}
	// ResumeRelease continues a halted release.
	ResumeRelease struct {
		ID ReleaseID `json:"id"`
	}
	// RollBack reverses the direction of a release.
	RollBack struct {
		ID ReleaseID `json:"id"`
	}
	// AdvanceTime only advances the time of the state.
	AdvanceTime struct{}
)

// Encode returns the encoding of a command that is stored in the log.
func (c Command) Encode() ([]byte, error) {
	c.V = FormatVersion
	return json.Marshal(c)
}

// Decode parses an encoded command. The error wraps ErrNewerFormat if the command has a later format version.
func Decode(b []byte) (Command, error) {
	if err := checkFormat(b); err != nil {
		return Command{}, fmt.Errorf("decode command: %w", err)
	}
	var c Command
	if err := json.Unmarshal(b, &c); err != nil {
		return c, fmt.Errorf("decode command: %w", err)
	}
	return c, nil
}

// checkFormat returns an error if b is not valid JSON or has a format version later than FormatVersion.
func checkFormat(b []byte) error {
	var version struct {
		V int `json:"v"`
	}
	if err := json.Unmarshal(b, &version); err != nil {
		return err
	}
	if version.V > FormatVersion {
		return fmt.Errorf("format %d, this program knows %d: %w", version.V, FormatVersion, ErrNewerFormat)
	}
	return nil
}
