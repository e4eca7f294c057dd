package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
)

// Health of a server, as the list service states it.
const (
	Up       = "up"
	Draining = "draining"
	Removed  = "removed"
)

// maxStartedMillis bounds the start times of servers: the year 33658.
const maxStartedMillis = 1e15

// maxLoggedEntry is how much of an invalid entry is logged, in bytes.
const maxLoggedEntry = 200

// Errors of lists and their entries.
var (
	ErrNoVersion = errors.New("list has no seq")
	ErrNoHost    = errors.New("entry has no host")
)

// Server is one shard server of the list. Fields of the list that are not needed here are ignored.
type Server struct {
	Host          string  `json:"host"` // its name
	Address       string  `json:"dial"` // host:port
	Zone          string  `json:"site"`
	Cell          int     `json:"block"`
	Health        string  `json:"health"`
	StartedMillis float64 `json:"born_ms"` // Unix time of its latest start in milliseconds; 0 = long ago
}

// ServerList is a complete list of servers, or the entries that changed.
type ServerList struct {
	Version  uint64   `json:"seq"`
	Complete bool     `json:"whole"`
	Servers  []Server `json:"hosts"`
}

// Parse parses a list. Invalid entries are logged and skipped, as are those for which accept returns an error; nil =
// all valid entries are accepted.
func Parse(raw []byte, accept func(Server) error) (ServerList, error) {
	var list struct {
		Version  *uint64           `json:"seq"`
		Complete bool              `json:"whole"`
		Servers  []json.RawMessage `json:"hosts"`
	}
	if err := json.Unmarshal(raw, &list); err != nil {
		return ServerList{}, fmt.Errorf("parse list: %w", err)
	}
	if list.Version == nil {
		return ServerList{}, ErrNoVersion
	}
	out := ServerList{Version: *list.Version, Complete: list.Complete}
	for _, entry := range list.Servers {
		s, err := parseServer(entry)
		if err == nil && accept != nil {
			err = accept(s)
		}
		if err != nil {
			slog.Warn("list_entry_left_out", "seq", out.Version, "error", err,
				"entry", string(entry[:min(len(entry), maxLoggedEntry)]))
			continue
		}
		out.Servers = append(out.Servers, s)
	}
	return out, nil
}

func parseServer(raw json.RawMessage) (s Server, err error) {
	if err := json.Unmarshal(raw, &s); err != nil {
		return Server{}, err
	}
	return s, s.validate()
}

func (s Server) validate() error {
	switch s.Health {
	case Up, Draining:
		if _, _, err := net.SplitHostPort(s.Address); err != nil {
			return fmt.Errorf("dial: %w", err)
		}
	case Removed:
	default:
		return fmt.Errorf("health %.20q is unknown", s.Health)
	}
	if s.Host == "" {
		return ErrNoHost
	}
	if !(s.StartedMillis >= 0 && s.StartedMillis < maxStartedMillis) {
		return fmt.Errorf("born_ms %v is out of range", s.StartedMillis)
	}
	return nil
}
