package operatorconfig

import (
	"net"
	"strings"
	"time"

	"oxbowspan/internal/keyring"
	"oxbowspan/maintenance"
)

// Fleet holds the section [fleet], which configures the maintenance of a fleet of gatherers.
type Fleet struct {
	Zone         string        // this gatherer's failure domain
	Listen       string        // HOST:PORT on which it serves the fleet; set only for a voter
	LogDirectory string        // directory of the replicated log; set only for a voter
	Voters       []Voter       // key stewards; in the same order in the files of all gatherers
	Keys         *keyring.Ring // authenticate the fleet's messages
	Hook         string        // program that carries out the changes of a release; "" = none
	DrainTimeout time.Duration // longest wait for a permit before a shutdown
	Limits       maintenance.Limits
}

// Voter is a gatherer that stores a replica of the fleet's log and votes on its entries.
type Voter struct {
	Name string // gatherer name
	Addr string // HOST:PORT
}

// HasVoter reports whether the gatherer of this name is a voter.
func (f *Fleet) HasVoter(name string) bool {
	for _, v := range f.Voters {
		if v.Name == name {
			return true
		}
	}
	return false
}

func (p *parser) parseFleet() *Fleet {
	s := p.section("fleet")
	if s == nil {
		return nil
	}
	f := &Fleet{DrainTimeout: s.duration("wait", 10*time.Second, 0, 10*time.Minute)}
	f.Zone, _ = s.text("zone")
	f.Listen, _ = s.text("listen")
	f.Hook, _ = s.text("hook")
	f.Voters = s.voters()
	f.Keys = s.fleetKeys()
	if f.LogDirectory, _ = s.text("path"); f.LogDirectory != "" {
		f.LogDirectory = p.resolve(f.LogDirectory)
	}
	if f.Hook != "" {
		f.Hook = p.resolve(f.Hook)
	}
	f.Limits = s.fleetLimits()
	s.rejectUnknownKeys()
	return f
}

func (s *section) voters() (voters []Voter) {
	const key = "stewards"
	seen := map[string]bool{}
	for _, field := range s.fields(key) {
		name, addr, found := strings.Cut(field, "=")
		if _, _, err := net.SplitHostPort(addr); !found || name == "" || err != nil || seen[name] || seen[addr] {
			s.addKeyProblem(key, "%.60q is no NAME=HOST:PORT, or its name or address is listed twice", field)
			continue
		}
		seen[name], seen[addr] = true, true
		voters = append(voters, Voter{name, addr})
	}
	if n := len(voters); n != 1 && n != 3 && n != 5 {
		s.addKeyProblem(key, "names %d; use 3 or 5, which form a majority best, or 1 for a trial", n)
	}
	return voters
}

func (s *section) fleetKeys() *keyring.Ring {
	const key = "keys"
	path, given := s.text(key)
	if !given {
		s.addKeyProblem(key, "is missing: a file with the keys that authenticate the fleet's messages; 'oxbowspan keys new' prints a line for it")
		return nil
	}
	return s.readKeys(key, path)
}

// readKeys reads the key file whose path is the value of a key of this section, and records a problem if that fails.
func (s *section) readKeys(key, path string) *keyring.Ring {
	raw, err := s.readFile(path)
	if err != nil {
		s.addKeyProblem(key, "%v", err)
		return nil
	}
	keys, err := keyring.Parse(string(raw))
	if err != nil {
		s.addKeyProblem(key, "%v", err)
	}
	return keys
}

func (s *section) fleetLimits() maintenance.Limits {
	memberCount := func(key string) int { return int(s.count(key, 0, 1, 1<<20)) }
	milliseconds := func(key string, defaultValue, minimum, maximum time.Duration) maintenance.Duration {
		return maintenance.Duration(s.duration(key, defaultValue, minimum, maximum).Milliseconds())
	}
	l := maintenance.Limits{
		MaxGatherers:        memberCount("most_gatherers"),
		MaxGathererShare:    s.share("share_gatherers"),
		MaxGatherersPerZone: memberCount("most_gatherers_zone"),
		MaxServers:          memberCount("most_servers"),
		MaxServersPerZone:   memberCount("most_servers_zone"),
		MinReplicas:         memberCount("least_replicas"),
		SuspicionShare:      s.share("suspected_by"),
		LeaseDuration:       milliseconds("lease", 6*time.Second, 3*time.Second, time.Minute),
		RemoveAfter:         milliseconds("forget", time.Hour, time.Minute, 30*day),
	}
	if l.MaxGatherers == 0 && l.MaxGathererShare == 0 {
		s.addKeyProblem("most_gatherers", "is missing, and so is share_gatherers: without either all may be out of service at once")
	}
	return l
}
