package operatorconfig

import (
	"net"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"oxbowspan/internal/keyring"
	"oxbowspan/internal/raftnode"
	"oxbowspan/maintenance"
)

// Fleet is what the section on the fleet says. Its name and version are the program's to fill in.
type Fleet = raftnode.Options

// parseFleet reads the section; nil = there is none.
func (r *parser) parseFleet(path string) *Fleet {
	s := r.section("fleet")
	if s == nil {
		return nil
	}
	f := &Fleet{DrainTimeout: s.duration("wait", 10*time.Second, 0, 10*time.Minute)}
	f.Zone, _ = s.text("zone")
	f.Listen, _ = s.text("listen")
	f.Hook, _ = s.text("hook")
	seen := map[string]bool{}
	for _, word := range s.fields("stewards") {
		name, addr, is := strings.Cut(word, "=")
		if _, _, err := net.SplitHostPort(addr); !is || name == "" || err != nil || seen[name] || seen[addr] {
			s.addKeyProblem("stewards", "%.60q is no NAME=HOST:PORT, or stands twice", word)
			continue
		}
		seen[name], seen[addr] = true, true
		f.Voters = append(f.Voters, raftnode.Voter{Name: name, Addr: addr})
	}
	if n := len(f.Voters); n != 1 && n != 3 && n != 5 {
		s.addKeyProblem("stewards", "names %d, and a majority is had best of 3 or 5; 1 is for a trial", n)
	}
	keys, given := s.text("keys")
	if !given {
		s.addKeyProblem("keys", "is missing: a file with the keys that gatherers know each other by; 'oxbowspan keys new' makes a line of it")
	} else if raw, err := r.readFile(keys); err != nil {
		s.addKeyProblem("keys", "%v", err)
	} else if f.Keys, err = keyring.Parse(string(raw)); err != nil {
		s.addKeyProblem("keys", "%v", err)
	}
	if f.Path, _ = s.text("path"); f.Path != "" && !filepath.IsAbs(f.Path) {
		f.Path = filepath.Join(filepath.Dir(path), f.Path)
	}
	if f.Hook != "" && !filepath.IsAbs(f.Hook) {
		f.Hook = filepath.Join(filepath.Dir(path), f.Hook)
	}
	most := func(key string) int { return int(s.count(key, 0, 1, 1<<20)) }
	f.Limits = maintenance.Limits{MaxGatherers: most("most_gatherers"), MaxGathererShare: s.share("share_gatherers"), MaxGatherersPerZone: most("most_gatherers_zone"),
		MaxServers: most("most_servers"), MaxServersPerZone: most("most_servers_zone"), MinReplicas: most("least_replicas"),
		SuspicionShare: s.share("suspected_by"), LeaseDuration: maintenance.Duration(s.duration("lease", 6*time.Second, 3*time.Second, time.Minute).Milliseconds()),
		ForgetAfter: maintenance.Duration(s.duration("forget", time.Hour, time.Minute, 30*24*time.Hour).Milliseconds())}
	if f.Limits.MaxGatherers == 0 && f.Limits.MaxGathererShare == 0 {
		s.addKeyProblem("most_gatherers", "is missing, and so is share_gatherers: without either all may be out at once")
	}
	s.rejectUnknownKeys()
	return f
}

// share reads a share from above 0 to 1; absent it is 0.
func (s *section) share(key string) float64 {
	text, ok := s.text(key)
	if !ok {
		return 0
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v > 0 && v <= 1) {
		s.addKeyProblem(key, "%.40q is no share above 0 and up to 1", text)
		return 0
	}
	return v
}

// FleetError makes a fault of the section on the fleet, for what only the configuration can tell.
func (f *File) FleetError(text string) error {
	return &ConfigError{f.Path, []Problem{{f.fleetLine, "[fleet]: " + text}}}
}
