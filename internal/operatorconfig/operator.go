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
	Path      string        // a directory
	Size      int64         // bytes of one lane's files
	Linger    time.Duration // a commit waits so long for others to go with it
	Slow      time.Duration // a write that takes longer is given up
	Keep      time.Duration // what became of a search is kept so long beyond its client timeout
	Searches  int           // that are kept
	Answers   int64         // bytes of their answers
	KeyHeader string        // where clients name a search that must not run twice
}

// Connections is what the section on clients' connections says.
type Connections struct {
	Park  bool          // idle connections give up their goroutines and buffers
	Idle  time.Duration // a parked connection is closed after so long; 0 = never
	Awake int           // connections awake at once; 0 = as memory allows

	HeadRate, BodyRate, AnswerRate int64         // least rates of clients in bytes a second; 0 = none
	Grace                          time.Duration // what a client is granted at the beginning of each
	KeepAlive                      time.Duration // a silent peer is asked after so long whether it is there, three times; 0 = the system's way
	SendBuffer                     int           // bytes of an answer that the system holds for a connection; 0 = the system's way
	IdleThreshold                  int           // idle connections from which on one that asked once is closed behind its answer; 0 = a twelfth of the clients' descriptors
}

// Memory is what the section on memory in sum says.
type Memory struct {
	Limit  int64         // bytes that all work may hold; 0 = as the configured memory allows
	Report time.Duration // how often what is held is logged; 0 = only where pressure changes
}

// Merging is what the sections on merging say.
type Merging struct {
	MostBytes, MostRows, MostOpen int64 // of all open merges together
	Keys                          *keyring.Ring
	CursorLife                    time.Duration
	MostCursor                    int // bytes
	Types                         map[string]*merge.Allowance
	Lines                         map[string]int // of the query types' sections
}

// Fault is one thing wrong with a file.
type Fault struct {
	Line int
	Text string
}

// Faults is all that is wrong with a file, by line.
type Faults struct {
	Path string
	All  []Fault
}

func (f *Faults) Error() string {
	var b strings.Builder
	for i, x := range f.All {
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

// reading is a file while it is read.
type reading struct {
	faults  *Faults
	ini     *ini.File
	lines   map[string]int // of "[section]" and of "[section] key"
	open    func(name string) ([]byte, error)
	schemas map[string]*merge.Schema
}

func parse(path string, raw []byte, open func(string) ([]byte, error)) (*File, error) {
	r := &reading{faults: &Faults{Path: path}, open: open, schemas: map[string]*merge.Schema{}}
	r.index(raw)
	var err error
	r.ini, err = ini.LoadSources(ini.LoadOptions{IgnoreContinuation: true, SpaceBeforeInlineComment: true,
		KeyValueDelimiters: "=", SkipUnrecognizableLines: true}, raw)
	if err != nil { // the lines have been looked at before, and say more
		if len(r.faults.All) == 0 {
			r.fault(1, "%s", strings.TrimSpace(err.Error()))
		}
		return nil, r.faults
	}
	f := &File{Path: path}
	for _, s := range r.ini.Sections() {
		kind, name, _ := strings.Cut(s.Name(), " ")
		switch {
		case s.Name() == ini.DefaultSection:
			for _, k := range s.Keys() {
				r.fault(r.lines["[] "+k.Name()], "%q stands before any section", k.Name())
			}
		case (kind == "merging" || kind == "connections" || kind == "memory" || kind == "store" || kind == "levels" || kind == "fleet") && name == "", kind == "level" && name != "", kind == "schema" && name != "", kind == "merge" && name != "":
		default:
			r.fault(r.lines["["+s.Name()+"]"], "section [%s] is not known: [connections], [fleet], [levels], [level NAME], [memory], [store], [merging], [schema NAME] and [merge QUERY-TYPE] are", s.Name())
		}
	}
	f.Merging = r.merging()
	if s := r.section("connections"); s != nil {
		f.Connections = &Connections{Park: s.flag("park", true), Idle: s.span("idle", 0, time.Second, 7*24*time.Hour),
			Awake:    int(s.count("awake", 0, 1, 1<<30)),
			HeadRate: s.count("head_rate", 0, 1, 1<<30), BodyRate: s.count("body_rate", 0, 1, 1<<30), AnswerRate: s.count("answer_rate", 0, 1, 1<<30),
			Grace: s.span("grace", time.Second, 100*time.Millisecond, 30*time.Second), KeepAlive: s.span("keep_alive", 0, time.Second, time.Hour),
			SendBuffer: int(s.count("send_buffer", 0, 4<<10, 16<<20)), IdleThreshold: s.idleThreshold()}
		s.done()
	}
	f.Levels = r.levels(path)
	f.Fleet, f.fleetLine = r.fleet(path), r.lines["[fleet]"]
	if s := r.section("store"); s != nil {
		f.Store = &Store{Size: s.count("size", 256<<20, 1<<20, 1<<50), Linger: s.span("linger", 0, 0, 100*time.Millisecond),
			Slow: s.span("slow", 250*time.Millisecond, time.Millisecond, time.Minute), Keep: s.span("keep", 24*time.Hour, time.Second, 30*24*time.Hour),
			Searches: int(s.count("searches", 100_000, 10, 10_000_000)), Answers: s.count("answers", 8<<20, 64<<10, 1<<40), KeyHeader: "Idempotency-Key"}
		if name, given := s.text("key_header"); given {
			f.Store.KeyHeader = name
		}
		if f.Store.KeyHeader == "" || strings.ContainsAny(f.Store.KeyHeader, " :\t") {
			s.wrong("key_header", "%.40q is no header's name", f.Store.KeyHeader)
		}
		path, given := s.text("path")
		if f.Store.Path = path; given && !filepath.IsAbs(path) {
			f.Store.Path = filepath.Join(filepath.Dir(f.Path), path)
		}
		if path == "" {
			s.wrong("path", "is missing: the directory that holds the store")
		}
		s.done()
	}
	if s := r.section("memory"); s != nil {
		f.Memory = &Memory{Limit: s.count("limit", 0, 1<<20, 1<<50), Report: s.span("report", 0, 100*time.Millisecond, 24*time.Hour)}
		s.done()
	}
	if len(r.faults.All) > 0 {
		slices.SortStableFunc(r.faults.All, func(a, b Fault) int { return a.Line - b.Line })
		return nil, r.faults
	}
	return f, nil
}

// index notes where each section and key stands, and what stands twice or is neither.
func (r *reading) index(raw []byte) {
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
				r.fault(n+1, "a section's name has no ]")
				continue
			}
			section = strings.TrimSpace(line[1:end])
			at = "[" + section + "]"
		case !assigned:
			r.fault(n+1, "%.60q is neither a section nor NAME = VALUE", line)
			continue
		default:
			at = "[" + section + "] " + strings.TrimSpace(key)
		}
		if was := r.lines[at]; was > 0 {
			r.fault(n+1, "%s stands in line %d already", at, was)
			continue
		}
		r.lines[at] = n + 1
	}
}

func (r *reading) fault(line int, form string, args ...any) {
	r.faults.All = append(r.faults.All, Fault{line, fmt.Sprintf(form, args...)})
}

// section is one section while it is read; keys that nobody asked for are faults.
type section struct {
	*reading
	s     *ini.Section
	asked []string
}

func (r *reading) section(name string) *section {
	if s, err := r.ini.GetSection(name); err == nil {
		return &section{reading: r, s: s}
	}
	return nil
}

func (s *section) line(key string) int {
	if n := s.lines["["+s.s.Name()+"] "+key]; n > 0 {
		return n
	}
	return s.lines["["+s.s.Name()+"]"]
}

func (s *section) wrong(key, form string, args ...any) {
	s.fault(s.line(key), "[%s] %s: %s", s.s.Name(), key, fmt.Sprintf(form, args...))
}

func (s *section) text(key string) (string, bool) {
	s.asked = append(s.asked, key)
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
		s.wrong(key, "%.40q is not a whole number", text)
	case v < 0 || v > most/unit || v*unit < least:
		s.wrong(key, "%s is not from %d to %d", text, least, most)
	default:
		return v * unit
	}
	return absent
}

// Never is a number of connections that is never reached.
const Never = 1 << 30

// idleThreshold reads a number of connections, or off.
func (s *section) idleThreshold() int {
	if text, _ := s.text("crowd"); text == "off" {
		return Never
	}
	return int(s.count("crowd", 0, 1, Never))
}

func (s *section) span(key string, absent, least, most time.Duration) time.Duration {
	text, ok := s.text(key)
	if !ok {
		return absent
	}
	v, err := time.ParseDuration(text)
	switch {
	case err != nil:
		s.wrong(key, "%.40q is not a time such as 90s or 15m", text)
	case v < least || v > most:
		s.wrong(key, "%s is not from %s to %s", text, least, most)
	default:
		return v
	}
	return absent
}

func (s *section) flag(key string, absent bool) bool {
	switch text, ok := s.text(key); {
	case !ok:
	case text == "yes", text == "no":
		return text == "yes"
	default:
		s.wrong(key, "%.40q is neither yes nor no", text)
	}
	return absent
}

func (s *section) words(key string) []string {
	text, _ := s.text(key)
	return strings.Fields(text)
}

// done names the keys that are not known.
func (s *section) done() {
	for _, k := range s.s.Keys() {
		if !slices.Contains(s.asked, k.Name()) {
			s.wrong(k.Name(), "is not known here: %s are", strings.Join(s.asked, ", "))
		}
	}
}

// merging reads the sections on merging.
func (r *reading) merging() *Merging {
	m := &Merging{Types: map[string]*merge.Allowance{}, Lines: map[string]int{}}
	for _, one := range r.ini.Sections() {
		if name, is := strings.CutPrefix(one.Name(), "schema "); is {
			r.schemas[name] = r.schema(&section{reading: r, s: one}, name)
		}
	}
	paged := false
	for _, one := range r.ini.Sections() {
		if name, is := strings.CutPrefix(one.Name(), "merge "); is {
			a := r.allowance(&section{reading: r, s: one})
			m.Types[name], m.Lines[name] = a, r.lines["["+one.Name()+"]"]
			paged = paged || slices.Contains(a.Kinds, merge.Paged)
		}
	}
	s := r.section("merging")
	if s == nil {
		if len(m.Types) > 0 {
			for _, n := range m.Lines {
				r.fault(n, "a [merge] section needs a section [merging] with what all merges together may hold")
				break
			}
		}
		return nil
	}
	m.MostBytes = s.count("memory", 16<<20, 64<<10, 1<<40)
	m.MostRows = s.count("rows", 200_000, 100, 1<<40)
	m.MostOpen = s.count("open", 1000, 1, 1<<30)
	m.CursorLife = s.span("cursor_life", 15*time.Minute, time.Second, 30*24*time.Hour)
	m.MostCursor = int(s.count("cursor_bytes", 8<<10, 256, 48<<10))
	keys, given := s.text("cursor_keys")
	s.done()
	switch {
	case given:
		raw, err := r.open(keys)
		if err == nil {
			m.Keys, err = keyring.Parse(string(raw))
		}
		if err != nil {
			s.wrong("cursor_keys", "%v", err)
		}
	case paged:
		s.wrong("cursor_keys", "is missing, and paged merges need it: 'oxbowspan keys new' makes a line of such a file")
	}
	if len(m.Types) == 0 {
		return nil
	}
	return m
}

func (r *reading) schema(s *section, name string) *merge.Schema {
	c := &merge.Schema{Name: name, Row: -1}
	before := len(r.faults.All)
	for _, word := range s.words("columns") {
		col, err := merge.ParseColumn(word)
		if err != nil {
			s.wrong("columns", "%v", err)
			continue
		}
		c.Columns = append(c.Columns, col)
	}
	account, _ := s.text("account")
	c.Account = c.Place(account)
	if row, given := s.text("row"); given {
		if c.Row = c.Place(row); c.Row < 0 {
			s.wrong("row", "%.60q is no column", row)
		}
	}
	c.Digits = int(s.count("digits", 28, 1, merge.MostDigits))
	s.done()
	if len(r.faults.All) == before {
		if err := c.Check(); err != nil {
			s.wrong("columns", "%v", err)
		}
	}
	return c
}

func (r *reading) allowance(s *section) *merge.Allowance {
	a := &merge.Allowance{Kinds: s.words("kinds"), Orders: s.words("order"), Groups: s.words("group"), Figures: s.words("figures"),
		MostRows: int(s.count("limit", 100, 1, 100_000)), MostOffset: int(s.count("offset", 0, 0, 1_000_000)),
		MostGroups: int(s.count("groups", 1000, 1, 100_000)), MostParts: int(s.count("part_bytes", 64<<10, 1<<10, 64<<10)),
		MostAnswer: int(s.count("answer_bytes", 60<<10, 1<<10, 16<<20))}
	name, _ := s.text("schema")
	a.Schema = r.schemas[name]
	s.done()
	if len(a.Kinds) == 0 {
		s.wrong("kinds", "is missing: ranked, paged and aggregated are known")
	}
	for _, k := range a.Kinds {
		if k != merge.Ranked && k != merge.Paged && k != merge.Aggregated {
			s.wrong("kinds", "%.40q is not known: ranked, paged and aggregated are", k)
		}
	}
	if a.Schema == nil {
		s.wrong("schema", "there is no section [schema %.60s]", name)
		return a
	}
	for _, list := range []struct {
		key  string
		cols []string
	}{{"order", a.Orders}, {"group", a.Groups}} {
		for _, c := range list.cols {
			if a.Schema.Place(c) < 0 {
				s.wrong(list.key, "%.60q is no column of schema %s", c, name)
			}
		}
	}
	for _, f := range a.Figures {
		if err := a.Schema.CheckFigure(f); err != nil {
			s.wrong("figures", "%v", err)
		}
	}
	lists := slices.Contains(a.Kinds, merge.Ranked) || slices.Contains(a.Kinds, merge.Paged)
	if lists && len(a.Orders) == 0 {
		s.wrong("order", "is missing: lists need columns to be ordered by")
	}
	return a
}

// TypeFault makes a fault of a query type's section, for what only the configuration can tell.
func (f *File) TypeFault(name, text string) error {
	line := 0
	if f.Merging != nil {
		line = f.Merging.Lines[name]
	}
	return &Faults{f.Path, []Fault{{line, fmt.Sprintf("[merge %s]: %s", name, text)}}}
}

// Join makes one error of several Faults, in the order of their lines.
func Join(errs ...error) error {
	var all *Faults
	for _, err := range errs {
		var f *Faults
		switch {
		case err == nil:
		case !errors.As(err, &f):
			return errors.Join(errs...)
		case all == nil:
			all = &Faults{f.Path, slices.Clone(f.All)}
		default:
			all.All = append(all.All, f.All...)
		}
	}
	if all == nil {
		return nil
	}
	slices.SortStableFunc(all.All, func(a, b Fault) int { return a.Line - b.Line })
	return all
}
