package maintenance

import (
	"encoding/json"
	"errors"
	"fmt"
)

// FormatVersion is that of commands and snapshots. A steward that meets a newer one must stop: to guess would part its state from
// the others'.
const FormatVersion = 1

// ErrNewer says that something was written by a later version of the program.
var ErrNewer = errors.New("it was written by a later version of the program")

// Command is one entry of the log. At is the time by the clock of the steward that put it there. Exactly one of the others is set.
type Command struct {
	V      int     `json:"v"`
	At     Moment  `json:"at"`
	Join   *Join   `json:"join,omitempty"`
	Renew  *Renew  `json:"renew,omitempty"`
	Leave  *Leave  `json:"leave,omitempty"`
	Ask    *Ask    `json:"ask,omitempty"`
	Return *Return `json:"return,omitempty"`
	Forget *Forget `json:"forget,omitempty"`
	Listed *Listed `json:"listed,omitempty"`
	Limits *Limits `json:"limits,omitempty"`
	Start  *Plan   `json:"start,omitempty"`
	Halt   *Halt   `json:"halt,omitempty"`
	Resume *Resume `json:"resume,omitempty"`
	Back   *Back   `json:"back,omitempty"`
	Turn   *Turn   `json:"turn,omitempty"`
}

type (
	// Join makes a member, or a new run of one.
	Join struct {
		Name        Name        `json:"name"`
		Zone        Zone        `json:"zone"`
		Version     Version     `json:"version"`
		Incarnation Incarnation `json:"incarnation"`
	}
	// Renew keeps a gatherer's lease, and says how it does and whom it holds for dead.
	Renew struct {
		Name        Name        `json:"name"`
		Incarnation Incarnation `json:"incarnation"`
		Status      Status      `json:"status"`
		Figures     Figures     `json:"figures"`
		Suspects    []Name      `json:"suspects,omitempty"`
	}
	// Leave says that a member ends on purpose.
	Leave struct {
		Name        Name        `json:"name"`
		Incarnation Incarnation `json:"incarnation"`
	}
	// Ask asks for a permit to be out. Asked again by the same run it gives the same permit.
	Ask struct {
		Name        Name        `json:"name"`
		Incarnation Incarnation `json:"incarnation"` // 0 = whatever runs, for an operator's word on a server
		Why         string      `json:"why"`
	}
	// Return gives a permit back: its holder is in again.
	Return struct {
		Name  Name  `json:"name"`
		Epoch Epoch `json:"epoch"`
	}
	// Forget is an operator's word that a member will not come back.
	Forget struct {
		Name Name `json:"name"`
	}
	// Listed is the list of servers as a steward holds it. Servers that it does not name have gone.
	Listed struct {
		Servers []ListedServer `json:"servers"`
	}
	// ListedServer is one server of the list.
	ListedServer struct {
		Name        Name        `json:"name"`
		Zone        Zone        `json:"zone"`
		Version     Version     `json:"version,omitempty"`
		Incarnation Incarnation `json:"incarnation"` // its birth
		Status      Status      `json:"status"`
		Segments    []Segment   `json:"segments"`
	}
	// Halt stops a release where it is.
	Halt struct {
		ID  ReleaseID `json:"id"`
		Why string    `json:"why"`
	}
	// Resume lets a halted release go on.
	Resume struct {
		ID ReleaseID `json:"id"`
	}
	// Back turns a release round.
	Back struct {
		ID ReleaseID `json:"id"`
	}
	// Turn lets time pass.
	Turn struct{}
)

// Encode writes a command for the log.
func (c Command) Encode() ([]byte, error) {
	c.V = FormatVersion
	return json.Marshal(c)
}

// Decode reads a command. ErrNewer is for one of a later version; another error is for one that is none.
func Decode(b []byte) (Command, error) {
	var c Command
	var v struct {
		V int `json:"v"`
	}
	if err := json.Unmarshal(b, &v); err != nil {
		return c, fmt.Errorf("a command cannot be read: %w", err)
	}
	if v.V > FormatVersion {
		return c, fmt.Errorf("a command has the format %d, this program knows %d: %w", v.V, FormatVersion, ErrNewer)
	}
	if err := json.Unmarshal(b, &c); err != nil {
		return c, fmt.Errorf("a command cannot be read: %w", err)
	}
	return c, nil
}
