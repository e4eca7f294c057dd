package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
)

// Values of Server.Health, as published by the discovery service.
const (
	Up       = "up"
	Draining = "draining"
	Removed  = "removed"
)

// maxStartedMillis is the exclusive upper bound of the start times of servers, which is in the year 33658.
const maxStartedMillis = 1e15

// maxLoggedEntryBytes is the maximum length of an invalid entry in the log, in bytes; longer ones are truncated.
const maxLoggedEntryBytes = 200

// Errors of lists and their entries.
var (
	ErrNoVersion = errors.New("list has no seq")
	ErrNoHost    = errors.New("entry has no host")
)

// Server is an entry of the list: one shard server. Fields that this program does not need are ignored.
type Server struct {
	Host          string  `json:"host"` // name of the server
	Address       string  `json:"dial"` // host:port
	Zone          string  `json:"site"`
	Cell          int     `json:"block"`
	Health        string  `json:"health"`
	StartedMillis float64 `json:"born_ms"` // Unix time of its latest start in milliseconds; 0 means long ago
}

// ServerList is a list of servers: the complete list, or only the entries that changed.
type ServerList struct {
	Version  uint64   `json:"seq"`
	Complete bool     `json:"whole"`
	Servers  []Server `json:"hosts"`
}

// Parse parses a list. Invalid entries are logged and skipped, and so are those for which accept returns an error. If
// accept is nil, all valid entries are accepted.
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
				"entry", string(entry[:min(len(entry), maxLoggedEntryBytes)]))
			continue
		}
		out.Servers = append(out.Servers, s)
	}
	return out, nil
}

// parseServer parses and validates an entry.
func parseServer(raw json.RawMessage) (s Server, err error) {
	if err := json.Unmarshal(raw, &s); err != nil {
		return Server{}, err
	}
	return s, s.validate()
}

// validate returns an error for an entry with an unknown health, without a host, without a valid address, which is not
// required of a removed server, or with a start time out of range.
func (s Server) validate() error {
	switch s.Health {
	case Up, Draining:
		if _, _, err := net.SplitHostPort(s.Address); err != nil {
			return fmt.Errorf("dial: %w", err)
		}
	case Removed:
	default:
		return fmt.Errorf("health %.20q is unknown: want %q, %q or %q", s.Health, Up, Draining, Removed)
	}
	if s.Host == "" {
		return ErrNoHost
	}
	if !(s.StartedMillis >= 0 && s.StartedMillis < maxStartedMillis) {
		return fmt.Errorf("born_ms %v is out of range: want at least 0 and less than %v", s.StartedMillis, maxStartedMillis)
	}
	return nil
}
