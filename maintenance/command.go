package maintenance

import (
	"encoding/json"
	"errors"
	"fmt"
)

// FormatVersion is the version of the encoding of commands and snapshots. A replica that meets a newer one must stop: guessing would
// make its state differ from the others'.
const FormatVersion = 1

// ErrNewerFormat is returned for a command or snapshot that a later version of the program wrote.
var ErrNewerFormat = errors.New("written by a later version of the program")

// Command is one entry of the log. Exactly one of the fields after At is set.
type Command struct {
	V             int            `json:"v"`  // FormatVersion of the writer
	At            Time           `json:"at"` // by the clock of the replica that proposed it
	Join          *Join          `json:"join,omitempty"`
	Renew         *Renew         `json:"renew,omitempty"`
	Leave         *Leave         `json:"leave,omitempty"`
	RequestPermit *RequestPermit `json:"ask,omitempty"`
	ReturnPermit  *ReturnPermit  `json:"return,omitempty"`
	Forget        *Forget        `json:"forget,omitempty"`
	UpdateServers *UpdateServers `json:"listed,omitempty"`
	Limits        *Limits        `json:"limits,omitempty"`
	StartRelease  *Plan          `json:"start,omitempty"`
	HaltRelease   *HaltRelease   `json:"halt,omitempty"`
	ResumeRelease *ResumeRelease `json:"resume,omitempty"`
	RollBack      *RollBack      `json:"back,omitempty"`
	AdvanceTime   *AdvanceTime   `json:"turn,omitempty"`
}

type (
	// Join makes a gatherer a member, or announces a new incarnation of one.
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
	// Leave announces that a member shuts down.
	Leave struct {
		Name        MemberName  `json:"name"`
		Incarnation Incarnation `json:"incarnation"`
	}
	// RequestPermit requests a permit to be out. Repeated by the same incarnation it returns the same permit.
	RequestPermit struct {
		Name        MemberName  `json:"name"`
		Incarnation Incarnation `json:"incarnation"` // 0 = the current one, for a request by an operator
		Reason      string      `json:"why"`
	}
	// ReturnPermit returns a permit: its holder is in again.
	ReturnPermit struct {
		Name  MemberName `json:"name"`
		Epoch Epoch      `json:"epoch"`
	}
	// Forget is an operator's statement that a member will not come back.
	Forget struct {
		Name MemberName `json:"name"`
	}
	// UpdateServers is the current server list. Servers that it does not name have gone.
	UpdateServers struct {
		Servers []ListedServer `json:"servers"`
	}
	// ListedServer is a server of the list.
	ListedServer struct {
		Name        MemberName  `json:"name"`
		Zone        Zone        `json:"zone"`
		Version     Version     `json:"version,omitempty"`
		Incarnation Incarnation `json:"incarnation"` // when it started
		Status      Status      `json:"status"`
		Segments    []Segment   `json:"segments"`
	}
	// HaltRelease halts a release where it is.
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
	// AdvanceTime changes nothing but the time.
	AdvanceTime struct{}
)

// Encode returns a command's form in the log.
func (c Command) Encode() ([]byte, error) {
	c.V = FormatVersion
	return json.Marshal(c)
}

// Decode parses an encoded command. The error is ErrNewerFormat for one of a later version.
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

// checkFormat rejects what is not JSON, and what has a later format than this program's.
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
