package operatorconfig

import (
	"os"
	"strings"
	"time"
)

// File is the contents of an operator's file. A section that is absent is nil.
type File struct {
	Path        string
	Merging     *Merging // nil = no section allows a merge
	Connections *Connections
	Memory      *Memory
	Store       *Store
	Levels      *Levels
	Fleet       *Fleet

	fleetLine int
}

// Load reads and checks a file. The error of a file that can be read but not used is a ConfigError.
func Load(path string) (*File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parse(path, raw)
}

// Store is the section [store], on the store that survives restarts.
type Store struct {
	Path           string        // directory
	MaxMirrorBytes int64         // bytes of the files of one mirror
	CommitDelay    time.Duration // how long a commit waits for others to share its write
	SlowAfter      time.Duration // a write that takes longer is given up
	Retention      time.Duration // how long the outcome of a request is kept beyond its client's timeout
	MaxRequests    int           // requests whose outcome is kept
	MaxAnswerBytes int64         // bytes of the kept answers
	KeyHeader      string        // header with the client's idempotency key
}

const day = 24 * time.Hour

func (p *parser) parseStore() *Store {
	s := p.section("store")
	if s == nil {
		return nil
	}
	store := &Store{
		MaxMirrorBytes: s.count("size", 256<<20, 1<<20, 1<<50),
		CommitDelay:    s.duration("linger", 0, 0, 100*time.Millisecond),
		SlowAfter:      s.duration("slow", 250*time.Millisecond, time.Millisecond, time.Minute),
		Retention:      s.duration("keep", day, time.Second, 30*day),
		MaxRequests:    int(s.count("searches", 100_000, 10, 10_000_000)),
		MaxAnswerBytes: s.count("answers", 8<<20, 64<<10, 1<<40),
		KeyHeader:      "Idempotency-Key",
	}
	if name, given := s.text("key_header"); given {
		store.KeyHeader = name
	}
	if store.KeyHeader == "" || strings.ContainsAny(store.KeyHeader, " :\t") {
		s.addKeyProblem("key_header", "%.40q is no header's name", store.KeyHeader)
	}
	path, given := s.text("path")
	if given {
		store.Path = p.resolve(path)
	}
	if path == "" {
		s.addKeyProblem("path", "is missing: the directory that holds the store")
	}
	s.rejectUnknownKeys()
	return store
}

// Connections is the section [connections], on clients' connections.
type Connections struct {
	ReleaseIdle bool          // idle connections release their goroutines and buffers
	IdleTimeout time.Duration // an idle connection is closed after this time; 0 = never
	MaxActive   int           // connections active at the same time; 0 = as memory allows

	MinHeaderRate   int64         // least rate of a client's request header, in bytes a second; 0 = none
	MinBodyRate     int64         // of its request body
	MinResponseRate int64         // at which it must take the response
	RateGrace       time.Duration // how long each may take before its rate is checked
	KeepAlive       time.Duration // interval of three probes of a silent peer; 0 = the system's default
	SendBuffer      int           // bytes of the system's send buffer; 0 = the system's default
	IdleThreshold   int           // idle connections above which one is closed after its first request;
	// 0 = a twelfth of the clients' descriptors
}

// Unlimited is a number of connections that is never reached.
const Unlimited = 1 << 30

func (p *parser) parseConnections() *Connections {
	s := p.section("connections")
	if s == nil {
		return nil
	}
	c := &Connections{
		ReleaseIdle:     s.boolean("park", true),
		IdleTimeout:     s.duration("idle", 0, time.Second, 7*day),
		MaxActive:       int(s.count("awake", 0, 1, 1<<30)),
		MinHeaderRate:   s.count("head_rate", 0, 1, 1<<30),
		MinBodyRate:     s.count("body_rate", 0, 1, 1<<30),
		MinResponseRate: s.count("answer_rate", 0, 1, 1<<30),
		RateGrace:       s.duration("grace", time.Second, 100*time.Millisecond, 30*time.Second),
		KeepAlive:       s.duration("keep_alive", 0, time.Second, time.Hour),
		SendBuffer:      int(s.count("send_buffer", 0, 4<<10, 16<<20)),
		IdleThreshold:   s.idleThreshold(),
	}
	s.rejectUnknownKeys()
	return c
}

// idleThreshold reads a number of connections, or off.
func (s *section) idleThreshold() int {
	if text, _ := s.text("crowd"); text == "off" {
		return Unlimited
	}
	return int(s.count("crowd", 0, 1, Unlimited))
}

// Memory is the section [memory], on memory as a whole.
type Memory struct {
	Limit          int64         // bytes that all work may reserve; 0 = as the platform's memory allows
	ReportInterval time.Duration // how often the reserved memory is logged; 0 = only when the pressure changes
}

func (p *parser) parseMemory() *Memory {
	s := p.section("memory")
	if s == nil {
		return nil
	}
	m := &Memory{
		Limit:          s.count("limit", 0, 1<<20, 1<<50),
		ReportInterval: s.duration("report", 0, 100*time.Millisecond, day),
	}
	s.rejectUnknownKeys()
	return m
}
