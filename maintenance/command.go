package maintenance

import (
	"encoding/json"
	"errors"
	"fmt"
)

// FormatVersion is that of commands and snapshots. A steward that meets a newer one must stop: to guess would part its state from
// the others'.
const FormatVersion = 1

// ErrNewerFormat says that something was written by a later version of the program.
var ErrNewerFormat = errors.New("it was written by a later version of the program")

// Command is one entry of the log. At is the time by the clock of the steward that put it there. Exactly one of the others is set.
type Command struct {
	V             int            `json:"v"`
	At            Time           `json:"at"`
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
	// Join makes a member, or a new run of one.
	Join struct {
		Name        MemberName  `json:"name"`
		Zone        Zone        `json:"zone"`
		Version     Version     `json:"version"`
		Incarnation Incarnation `json:"incarnation"`
	}
	// Renew keeps a gatherer's lease, and says how it does and whom it holds for dead.
	Renew struct {
		Name        MemberName    `json:"name"`
		Incarnation Incarnation   `json:"incarnation"`
		Status      Status        `json:"status"`
		Counts      RequestCounts `json:"figures"`
		Suspects    []MemberName  `json:"suspects,omitempty"`
	}
	// Leave says that a member ends on purpose.
	Leave struct {
		Name        MemberName  `json:"name"`
		Incarnation Incarnation `json:"incarnation"`
	}
	// RequestPermit asks for a permit to be out. Asked again by the same run it gives the same permit.
	RequestPermit struct {
		Name        MemberName  `json:"name"`
		Incarnation Incarnation `json:"incarnation"` // 0 = whatever runs, for an operator's word on a server
		Reason      string      `json:"why"`
	}
	// ReturnPermit gives a permit back: its holder is in again.
	ReturnPermit struct {
		Name  MemberName `json:"name"`
		Epoch Epoch      `json:"epoch"`
	}
	// Forget is an operator's word that a member will not come back.
	Forget struct {
		Name MemberName `json:"name"`
	}
	// UpdateServers is the list of servers as a steward holds it. Servers that it does not name have gone.
	UpdateServers struct {
		Servers []ListedServer `json:"servers"`
	}
	// ListedServer is one server of the list.
	ListedServer struct {
		Name        MemberName  `json:"name"`
		Zone        Zone        `json:"zone"`
		Version     Version     `json:"version,omitempty"`
		Incarnation Incarnation `json:"incarnation"` // its birth
		Status      Status      `json:"status"`
		Segments    []Segment   `json:"segments"`
	}
	// HaltRelease stops a release where it is.
	HaltRelease struct {
		ID     ReleaseID `json:"id"`
		Reason string    `json:"why"`
	}
	// ResumeRelease lets a halted release go on.
	ResumeRelease struct {
		ID ReleaseID `json:"id"`
	}
	// RollBack turns a release round.
	RollBack struct {
		ID ReleaseID `json:"id"`
	}
	// AdvanceTime lets time pass.
	AdvanceTime struct{}
)

// Encode writes a command for the log.
func (c Command) Encode() ([]byte, error) {
	c.V = FormatVersion
	return json.Marshal(c)
}

// Decode reads a command. ErrNewerFormat is for one of a later version; another error is for one that is none.
func Decode(b []byte) (Command, error) {
	var c Command
	var v struct {
		V int `json:"v"`
	}
	if err := json.Unmarshal(b, &v); err != nil {
		return c, fmt.Errorf("a command cannot be read: %w", err)
	}
	if v.V > FormatVersion {
		return c, fmt.Errorf("a command has the format %d, this program knows %d: %w", v.V, FormatVersion, ErrNewerFormat)
	}
	if err := json.Unmarshal(b, &c); err != nil {
		return c, fmt.Errorf("a command cannot be read: %w", err)
	}
	return c, nil
}
