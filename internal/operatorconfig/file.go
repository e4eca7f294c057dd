package operatorconfig

import (
	"os"
	"strings"
	"time"
)

// File holds the contents of an operator's file. The field of a section that the file does not have is nil.
type File struct {
	Path        string
	Merging     *Merging // nil = no query type may merge
	Connections *Connections
	Memory      *Memory
	Store       *Store
	Levels      *Levels
	Fleet       *Fleet

	fleetLine int // line of the section [fleet]
}

// Load reads and validates a file. If the file can be read but is invalid, the error is a ConfigError.
func Load(path string) (*File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parse(path, raw)
}

// Store holds the section [store], which configures the store that survives restarts.
type Store struct {
	Directory      string        // directory of the store's files
	MaxMirrorBytes int64         // limit on the files of one mirror, in bytes
	CommitDelay    time.Duration // how long a commit waits for other commits to be written together with it
	WriteTimeout   time.Duration // a request gives up on a write that takes longer; until the write ends no request that needs one is accepted
	Retention      time.Duration // how long the outcome of a request is stored after its client's timeout
	MaxOutcomes    int           // limit on the requests whose outcome is stored
	MaxAnswerBytes int64         // limit on the stored answers, in bytes
	KeyHeader      string        // name of the header with the client's idempotency key
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
		WriteTimeout:   s.duration("slow", 250*time.Millisecond, time.Millisecond, time.Minute),
		Retention:      s.duration("keep", day, time.Second, 30*day),
		MaxOutcomes:    int(s.count("searches", 100_000, 10, 10_000_000)),
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
		store.Directory = p.resolve(path)
	}
	if path == "" {
		s.addKeyProblem("path", "is missing: the directory that holds the store")
	}
	s.rejectUnknownKeys()
	return store
}

// Connections holds the section [connections], which configures the connections of clients.
type Connections struct {
	ReleaseIdle bool          // whether idle connections release their goroutines and buffers
	IdleTimeout time.Duration // an idle connection is closed after this time; 0 = never
	MaxActive   int           // limit on connections active at the same time; 0 = as many as memory allows

	MinHeaderRate         int64         // minimum rate at which a client sends a request header, in bytes per second; 0 = none
	MinBodyRate           int64         // minimum rate at which it sends a request body
	MinResponseRate       int64         // minimum rate at which it reads the response
	RateGrace             time.Duration // time from the start of each transfer in which its rate is not checked
	KeepAlive             time.Duration // interval between the three TCP keep-alive probes of a silent peer; 0 = the system's default
	SendBuffer            int           // size of the system's send buffer in bytes; 0 = the system's default
	OneShotCloseThreshold int           // number of idle connections above which one is closed after its first request;
	// 0 = a twelfth of the file descriptors for clients
}

// UnlimitedIdle is a value of OneShotCloseThreshold that is never reached, which disables that limit.
const UnlimitedIdle = 1 << 30

func (p *parser) parseConnections() *Connections {
	s := p.section("connections")
	if s == nil {
		return nil
	}
	c := &Connections{
		ReleaseIdle:           s.boolean("park", true),
		IdleTimeout:           s.duration("idle", 0, time.Second, 7*day),
		MaxActive:             int(s.count("awake", 0, 1, 1<<30)),
		MinHeaderRate:         s.count("head_rate", 0, 1, 1<<30),
		MinBodyRate:           s.count("body_rate", 0, 1, 1<<30),
		MinResponseRate:       s.count("answer_rate", 0, 1, 1<<30),
		RateGrace:             s.duration("grace", time.Second, 100*time.Millisecond, 30*time.Second),
		KeepAlive:             s.duration("keep_alive", 0, time.Second, time.Hour),
		SendBuffer:            int(s.count("send_buffer", 0, 4<<10, 16<<20)),
		OneShotCloseThreshold: s.idleThreshold(),
	}
	s.rejectUnknownKeys()
	return c
}

// idleThreshold reads a number of connections, or off, for which it returns UnlimitedIdle.
func (s *section) idleThreshold() int {
	if text, _ := s.text("crowd"); text == "off" {
		return UnlimitedIdle
	}
	return int(s.count("crowd", 0, 1, UnlimitedIdle))
}

// Memory holds the section [memory], which configures the memory budget shared by all work.
type Memory struct {
	Limit          int64         // bytes that all work together may reserve; 0 = derived from the platform's memory limit
	ReportInterval time.Duration // how often the reserved memory is logged; 0 = only when the memory pressure changes
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
