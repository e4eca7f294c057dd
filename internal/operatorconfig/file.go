// Package operatorconfig reads the operator's own file, in INI: what is allowed and how much of it, beyond what the platform's
// configuration says. It decides nothing; it checks the file strictly and names every fault at once, with its line.
//
// Without such a file nothing that it could switch on is on.
package operatorconfig

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"oxbowspan/internal/keyring"
	"oxbowspan/merge"
)

// File is what an operator's file says.
type File struct {
	Path        string
	Merging     *Merging     // nil = no section allows a merge
	Connections *Connections // nil = no such section
	Memory      *Memory      // nil = no such section
	Store       *Store       // nil = no such section
	Levels      *Levels      // nil = no such section
	Fleet       *Fleet       // nil = no such section

	fleetLine int
}

// Store is what the section on the store says.
type Store struct {
	Path           string        // a directory
	MaxLaneBytes   int64         // bytes of one lane's files
	Linger         time.Duration // a commit waits so long for others to go with it
	SlowAfter      time.Duration // a write that takes longer is given up
	Retention      time.Duration // what became of a search is kept so long beyond its client timeout
	MaxRequests    int           // that are kept
	MaxAnswerBytes int64         // bytes of their answers
	KeyHeader      string        // where clients name a search that must not run twice
}

// Connections is what the section on clients' connections says.
type Connections struct {
	ReleaseIdle bool          // idle connections give up their goroutines and buffers
	IdleTimeout time.Duration // a parked connection is closed after so long; 0 = never
	MaxActive   int           // connections awake at once; 0 = as memory allows

	MinHeaderRate, MinBodyRate, MinResponseRate int64         // least rates of clients in bytes a second; 0 = none
	RateGrace                                   time.Duration // what a client is granted at the beginning of each
	KeepAlive                                   time.Duration // a silent peer is asked after so long whether it is there, three times; 0 = the system's way
	SendBuffer                                  int           // bytes of an answer that the system holds for a connection; 0 = the system's way
	IdleThreshold                               int           // idle connections from which on one that asked once is closed behind its answer; 0 = a twelfth of the clients' descriptors
}

// Memory is what the section on memory in sum says.
type Memory struct {
	Limit          int64         // bytes that all work may hold; 0 = as the configured memory allows
	ReportInterval time.Duration // how often what is held is logged; 0 = only where pressure changes
}

// Merging is what the sections on merging say.
type Merging struct {
	MaxBytes, MaxRows, MaxOpen int64 // of all open merges together
	Keys                       *keyring.Ring
	CursorLifetime             time.Duration
	MaxCursorBytes             int // bytes
	Types                      map[string]*merge.Allowance
	Lines                      map[string]int // of the query types' sections
}

// Problem is one thing wrong with a file.
type Problem struct {
	Line int
	Text string
}

// ConfigError is all that is wrong with a file, by line.
type ConfigError struct {
	Path     string
	Problems []Problem
}

func (f *ConfigError) Error() string {
	var b strings.Builder
	for i, x := range f.Problems {
		if i > 0 {
			b.WriteByte('\n')
		}
		fmt.Fprintf(&b, "%s:%d: %s", f.Path, x.Line, x.Text)
	}
	return b.String()
}

// Load reads and checks a file. Its errors, where the file can be read at all, are Faults.
func Load(path string) (*File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parse(path, raw, func(name string) ([]byte, error) {
		if !filepath.IsAbs(name) {
			name = filepath.Join(filepath.Dir(path), name)
		}
		return os.ReadFile(name)
	})
}

// parser is a file while it is read.
type parser struct {
	result   *ConfigError
	ini      *ini.File
	lines    map[string]int // of "[section]" and of "[section] key"
	readFile func(name string) ([]byte, error)
	schemas  map[string]*merge.Schema
}

func parse(path string, raw []byte, open func(string) ([]byte, error)) (*File, error) {
	r := &parser{result: &ConfigError{Path: path}, readFile: open, schemas: map[string]*merge.Schema{}}
	r.indexLines(raw)
	var err error
	r.ini, err = ini.LoadSources(ini.LoadOptions{IgnoreContinuation: true, SpaceBeforeInlineComment: true,
		KeyValueDelimiters: "=", SkipUnrecognizableLines: true}, raw)
	if err != nil { // the lines have been looked at before, and say more
		if len(r.result.Problems) == 0 {
			r.addProblem(1, "%s", strings.TrimSpace(err.Error()))
		}
		return nil, r.result
	}
	f := &File{Path: path}
	for _, s := range r.ini.Sections() {
		kind, name, _ := strings.Cut(s.Name(), " ")
		switch {
		case s.Name() == ini.DefaultSection:
			for _, k := range s.Keys() {
				r.addProblem(r.lines["[] "+k.Name()], "%q stands before any section", k.Name())
			}
		case (kind == "merging" || kind == "connections" || kind == "memory" || kind == "store" || kind == "levels" || kind == "fleet") && name == "", kind == "level" && name != "", kind == "schema" && name != "", kind == "merge" && name != "":
		default:
			r.addProblem(r.lines["["+s.Name()+"]"], "section [%s] is not known: [connections], [fleet], [levels], [level NAME], [memory], [store], [merging], [schema NAME] and [merge QUERY-TYPE] are", s.Name())
		}
	}
	f.Merging = r.parseMerging()
	if s := r.section("connections"); s != nil {
		f.Connections = &Connections{ReleaseIdle: s.boolean("park", true), IdleTimeout: s.duration("idle", 0, time.Second, 7*24*time.Hour),
			MaxActive:     int(s.count("awake", 0, 1, 1<<30)),
			MinHeaderRate: s.count("head_rate", 0, 1, 1<<30), MinBodyRate: s.count("body_rate", 0, 1, 1<<30), MinResponseRate: s.count("answer_rate", 0, 1, 1<<30),
			RateGrace: s.duration("grace", time.Second, 100*time.Millisecond, 30*time.Second), KeepAlive: s.duration("keep_alive", 0, time.Second, time.Hour),
			SendBuffer: int(s.count("send_buffer", 0, 4<<10, 16<<20)), IdleThreshold: s.idleThreshold()}
		s.rejectUnknownKeys()
	}
	f.Levels = r.parseLevels(path)
	f.Fleet, f.fleetLine = r.parseFleet(path), r.lines["[fleet]"]
	if s := r.section("store"); s != nil {
		f.Store = &Store{MaxLaneBytes: s.count("size", 256<<20, 1<<20, 1<<50), Linger: s.duration("linger", 0, 0, 100*time.Millisecond),
			SlowAfter: s.duration("slow", 250*time.Millisecond, time.Millisecond, time.Minute), Retention: s.duration("keep", 24*time.Hour, time.Second, 30*24*time.Hour),
			MaxRequests: int(s.count("searches", 100_000, 10, 10_000_000)), MaxAnswerBytes: s.count("answers", 8<<20, 64<<10, 1<<40), KeyHeader: "Idempotency-Key"}
		if name, given := s.text("key_header"); given {
			f.Store.KeyHeader = name
		}
		if f.Store.KeyHeader == "" || strings.ContainsAny(f.Store.KeyHeader, " :\t") {
			s.addKeyProblem("key_header", "%.40q is no header's name", f.Store.KeyHeader)
		}
		path, given := s.text("path")
		if f.Store.Path = path; given && !filepath.IsAbs(path) {
			f.Store.Path = filepath.Join(filepath.Dir(f.Path), path)
		}
		if path == "" {
			s.addKeyProblem("path", "is missing: the directory that holds the store")
		}
		s.rejectUnknownKeys()
	}
	if s := r.section("memory"); s != nil {
		f.Memory = &Memory{Limit: s.count("limit", 0, 1<<20, 1<<50), ReportInterval: s.duration("report", 0, 100*time.Millisecond, 24*time.Hour)}
		s.rejectUnknownKeys()
	}
	if len(r.result.Problems) > 0 {
		slices.SortStableFunc(r.result.Problems, func(a, b Problem) int { return a.Line - b.Line })
		return nil, r.result
	}
	return f, nil
}

// indexLines notes where each section and key stands, and what stands twice or is neither.
func (r *parser) indexLines(raw []byte) {
	r.lines = map[string]int{}
	section := ""
	for n, line := range strings.Split(string(raw), "\n") {
		line = strings.TrimSpace(line)
		key, _, assigned := strings.Cut(line, "=")
		at := ""
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
			continue
		case line[0] == '[':
			end := strings.IndexByte(line, ']')
			if end < 0 {
				r.addProblem(n+1, "a section's name has no ]")
				continue
			}
			section = strings.TrimSpace(line[1:end])
			at = "[" + section + "]"
		case !assigned:
			r.addProblem(n+1, "%.60q is neither a section nor NAME = VALUE", line)
			continue
		default:
			at = "[" + section + "] " + strings.TrimSpace(key)
		}
		if was := r.lines[at]; was > 0 {
			r.addProblem(n+1, "%s stands in line %d already", at, was)
			continue
		}
		r.lines[at] = n + 1
	}
}

func (r *parser) addProblem(line int, form string, args ...any) {
	r.result.Problems = append(r.result.Problems, Problem{line, fmt.Sprintf(form, args...)})
}

// section is one section while it is read; keys that nobody asked for are faults.
type section struct {
	*parser
	s     *ini.Section
	known []string
}

func (r *parser) section(name string) *section {
	if s, err := r.ini.GetSection(name); err == nil {
		return &section{parser: r, s: s}
	}
	return nil
}

func (s *section) line(key string) int {
	if n := s.lines["["+s.s.Name()+"] "+key]; n > 0 {
		return n
	}
	return s.lines["["+s.s.Name()+"]"]
}

func (s *section) addKeyProblem(key, form string, args ...any) {
	s.addProblem(s.line(key), "[%s] %s: %s", s.s.Name(), key, fmt.Sprintf(form, args...))
}

func (s *section) text(key string) (string, bool) {
	s.known = append(s.known, key)
	if !s.s.HasKey(key) {
		return "", false
	}
	return strings.TrimSpace(s.s.Key(key).String()), true
}

// count reads a whole number, with KiB, MiB or GiB behind it if it is one of bytes.
func (s *section) count(key string, absent, least, most int64) int64 {
	text, ok := s.text(key)
	if !ok {
		return absent
	}
	unit, number := int64(1), text
	for i, suffix := range []string{"KiB", "MiB", "GiB"} {
		if n, is := strings.CutSuffix(text, suffix); is {
			unit, number = 1<<(10*(i+1)), strings.TrimSpace(n)
		}
	}
	v, err := strconv.ParseInt(number, 10, 64)
	switch {
	case err != nil:
		s.addKeyProblem(key, "%.40q is not a whole number", text)
	case v < 0 || v > most/unit || v*unit < least:
		s.addKeyProblem(key, "%s is not from %d to %d", text, least, most)
	default:
		return v * unit
	}
	return absent
}

// Unlimited is a number of connections that is never reached.
const Unlimited = 1 << 30

// idleThreshold reads a number of connections, or off.
func (s *section) idleThreshold() int {
	if text, _ := s.text("crowd"); text == "off" {
		return Unlimited
	}
	return int(s.count("crowd", 0, 1, Unlimited))
}

func (s *section) duration(key string, absent, least, most time.Duration) time.Duration {
	text, ok := s.text(key)
	if !ok {
		return absent
	}
	v, err := time.ParseDuration(text)
	switch {
	case err != nil:
		s.addKeyProblem(key, "%.40q is not a time such as 90s or 15m", text)
	case v < least || v > most:
		s.addKeyProblem(key, "%s is not from %s to %s", text, least, most)
	default:
		return v
	}
	return absent
}

func (s *section) boolean(key string, absent bool) bool {
	switch text, ok := s.text(key); {
	case !ok:
	case text == "yes", text == "no":
		return text == "yes"
	default:
		s.addKeyProblem(key, "%.40q is neither yes nor no", text)
	}
	return absent
}

func (s *section) fields(key string) []string {
	text, _ := s.text(key)
	return strings.Fields(text)
}

// rejectUnknownKeys names the keys that are not known.
func (s *section) rejectUnknownKeys() {
	for _, k := range s.s.Keys() {
		if !slices.Contains(s.known, k.Name()) {
			s.addKeyProblem(k.Name(), "is not known here: %s are", strings.Join(s.known, ", "))
		}
	}
}

// parseMerging reads the sections on merging.
func (r *parser) parseMerging() *Merging {
	m := &Merging{Types: map[string]*merge.Allowance{}, Lines: map[string]int{}}
	for _, one := range r.ini.Sections() {
		if name, is := strings.CutPrefix(one.Name(), "schema "); is {
			r.schemas[name] = r.parseSchema(&section{parser: r, s: one}, name)
		}
	}
	paged := false
	for _, one := range r.ini.Sections() {
		if name, is := strings.CutPrefix(one.Name(), "merge "); is {
			a := r.parseAllowance(&section{parser: r, s: one})
			m.Types[name], m.Lines[name] = a, r.lines["["+one.Name()+"]"]
			paged = paged || slices.Contains(a.Kinds, merge.Paged)
		}
	}
	s := r.section("merging")
	if s == nil {
		if len(m.Types) > 0 {
			for _, n := range m.Lines {
				r.addProblem(n, "a [merge] section needs a section [merging] with what all merges together may hold")
				break
			}
		}
		return nil
	}
	m.MaxBytes = s.count("memory", 16<<20, 64<<10, 1<<40)
	m.MaxRows = s.count("rows", 200_000, 100, 1<<40)
	m.MaxOpen = s.count("open", 1000, 1, 1<<30)
	m.CursorLifetime = s.duration("cursor_life", 15*time.Minute, time.Second, 30*24*time.Hour)
	m.MaxCursorBytes = int(s.count("cursor_bytes", 8<<10, 256, 48<<10))
	keys, given := s.text("cursor_keys")
	s.rejectUnknownKeys()
	switch {
	case given:
		raw, err := r.readFile(keys)
		if err == nil {
			m.Keys, err = keyring.Parse(string(raw))
		}
		if err != nil {
			s.addKeyProblem("cursor_keys", "%v", err)
		}
	case paged:
		s.addKeyProblem("cursor_keys", "is missing, and paged merges need it: 'oxbowspan keys new' makes a line of such a file")
	}
	if len(m.Types) == 0 {
		return nil
	}
	return m
}

func (r *parser) parseSchema(s *section, name string) *merge.Schema {
	c := &merge.Schema{Name: name, Row: -1}
	before := len(r.result.Problems)
	for _, word := range s.fields("columns") {
		col, err := merge.ParseColumn(word)
		if err != nil {
			s.addKeyProblem("columns", "%v", err)
			continue
		}
		c.Columns = append(c.Columns, col)
	}
	account, _ := s.text("account")
	c.Account = c.Place(account)
	if row, given := s.text("row"); given {
		if c.Row = c.Place(row); c.Row < 0 {
			s.addKeyProblem("row", "%.60q is no column", row)
		}
	}
	c.Digits = int(s.count("digits", 28, 1, merge.MostDigits))
	s.rejectUnknownKeys()
	if len(r.result.Problems) == before {
		if err := c.Check(); err != nil {
			s.addKeyProblem("columns", "%v", err)
		}
	}
	return c
}

func (r *parser) parseAllowance(s *section) *merge.Allowance {
	a := &merge.Allowance{Kinds: s.fields("kinds"), Orders: s.fields("order"), Groups: s.fields("group"), Figures: s.fields("figures"),
		MostRows: int(s.count("limit", 100, 1, 100_000)), MostOffset: int(s.count("offset", 0, 0, 1_000_000)),
		MostGroups: int(s.count("groups", 1000, 1, 100_000)), MostParts: int(s.count("part_bytes", 64<<10, 1<<10, 64<<10)),
		MostAnswer: int(s.count("answer_bytes", 60<<10, 1<<10, 16<<20))}
	name, _ := s.text("schema")
	a.Schema = r.schemas[name]
	s.rejectUnknownKeys()
	if len(a.Kinds) == 0 {
		s.addKeyProblem("kinds", "is missing: ranked, paged and aggregated are known")
	}
	for _, k := range a.Kinds {
		if k != merge.Ranked && k != merge.Paged && k != merge.Aggregated {
			s.addKeyProblem("kinds", "%.40q is not known: ranked, paged and aggregated are", k)
		}
	}
	if a.Schema == nil {
		s.addKeyProblem("schema", "there is no section [schema %.60s]", name)
		return a
	}
	for _, list := range []struct {
		key  string
		cols []string
	}{{"order", a.Orders}, {"group", a.Groups}} {
		for _, c := range list.cols {
			if a.Schema.Place(c) < 0 {
				s.addKeyProblem(list.key, "%.60q is no column of schema %s", c, name)
			}
		}
	}
	for _, f := range a.Figures {
		if err := a.Schema.CheckFigure(f); err != nil {
			s.addKeyProblem("figures", "%v", err)
		}
	}
	lists := slices.Contains(a.Kinds, merge.Ranked) || slices.Contains(a.Kinds, merge.Paged)
	if lists && len(a.Orders) == 0 {
		s.addKeyProblem("order", "is missing: lists need columns to be ordered by")
	}
	return a
}

// QueryTypeError makes a fault of a query type's section, for what only the configuration can tell.
func (f *File) QueryTypeError(name, text string) error {
	line := 0
	if f.Merging != nil {
		line = f.Merging.Lines[name]
	}
	return &ConfigError{f.Path, []Problem{{line, fmt.Sprintf("[merge %s]: %s", name, text)}}}
}

// JoinErrors makes one error of several Faults, in the order of their lines.
func JoinErrors(errs ...error) error {
	var all *ConfigError
	for _, err := range errs {
		var f *ConfigError
		switch {
		case err == nil:
		case !errors.As(err, &f):
			return errors.Join(errs...)
		case all == nil:
			all = &ConfigError{f.Path, slices.Clone(f.Problems)}
		default:
			all.Problems = append(all.Problems, f.Problems...)
		}
	}
	if all == nil {
		return nil
	}
	slices.SortStableFunc(all.Problems, func(a, b Problem) int { return a.Line - b.Line })
	return all
}
