package operatorconfig

import (
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gopkg.in/ini.v1"

	"oxbowspan/merge"
)

// parser parses one file and collects its problems.
type parser struct {
	path     string
	problems *ConfigError
	ini      *ini.File
	lines    map[string]int // line of each section and key, by sectionLabel and keyLabel
	schemas  map[string]*merge.Schema
}

func sectionLabel(section string) string  { return "[" + section + "]" }
func keyLabel(section, key string) string { return "[" + section + "] " + key }

// Kinds of sections: [KIND] for the unnamed ones, [KIND NAME] for the named ones.
var (
	unnamedSections = []string{"merging", "connections", "memory", "store", "levels", "fleet"}
	namedSections   = []string{"level", "schema", "merge"}
)

// parse parses the contents of a file. Every error that it returns is a ConfigError.
func parse(path string, raw []byte) (*File, error) {
	p := &parser{path: path, problems: &ConfigError{Path: path}, schemas: map[string]*merge.Schema{}}
	p.indexLines(raw)
	var err error
	p.ini, err = ini.LoadSources(ini.LoadOptions{IgnoreContinuation: true, SpaceBeforeInlineComment: true,
		KeyValueDelimiters: "=", SkipUnrecognizableLines: true}, raw)
	if err != nil {
		if len(p.problems.Problems) == 0 { // otherwise the problems found by indexLines are more precise
			p.problems.add(1, "%s", strings.TrimSpace(err.Error()))
		}
		return nil, p.problems
	}
	p.checkSections()
	f := &File{Path: path, fleetLine: p.lines[sectionLabel("fleet")]}
	f.Merging = p.parseMerging()
	f.Connections = p.parseConnections()
	f.Levels = p.parseLevels()
	f.Fleet = p.parseFleet()
	f.Store = p.parseStore()
	f.Memory = p.parseMemory()
	if len(p.problems.Problems) > 0 {
		p.problems.sort()
		return nil, p.problems
	}
	return f, nil
}

// indexLines records the line of each section and key. It reports lines that are neither, and repeated sections and keys.
func (p *parser) indexLines(raw []byte) {
	p.lines = map[string]int{}
	section := ""
	for i, line := range strings.Split(string(raw), "\n") {
		number := i + 1
		line = strings.TrimSpace(line)
		key, _, assigned := strings.Cut(line, "=")
		label := ""
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
			continue
		case line[0] == '[':
			end := strings.IndexByte(line, ']')
			if end < 0 {
				p.problems.add(number, "a section's name has no ]")
				continue
			}
			section = strings.TrimSpace(line[1:end])
			label = sectionLabel(section)
		case !assigned:
			p.problems.add(number, "%.60q is neither a section nor NAME = VALUE", line)
			continue
		default:
			label = keyLabel(section, strings.TrimSpace(key))
		}
		if first := p.lines[label]; first > 0 {
			p.problems.add(number, "%s stands in line %d already", label, first)
			continue
		}
		p.lines[label] = number
	}
}

// checkSections reports unknown sections, and keys before the first section.
func (p *parser) checkSections() {
	for _, s := range p.ini.Sections() {
		if s.Name() == ini.DefaultSection {
			for _, k := range s.Keys() {
				p.problems.add(p.lines[keyLabel("", k.Name())], "%q stands before any section", k.Name())
			}
			continue
		}
		kind, name, _ := strings.Cut(s.Name(), " ")
		if name == "" && !slices.Contains(unnamedSections, kind) || name != "" && !slices.Contains(namedSections, kind) {
			p.problems.add(p.lines[sectionLabel(s.Name())], "section [%s] is not known: [connections], [fleet], [levels], [level NAME], "+
				"[memory], [store], [merging], [schema NAME] and [merge QUERY-TYPE] are", s.Name())
		}
	}
}

// section returns the section of this name, or nil if the file has none.
func (p *parser) section(name string) *section {
	if s, err := p.ini.GetSection(name); err == nil {
		return &section{parser: p, ini: s}
	}
	return nil
}

// sectionsOf calls do for each named section of a kind, in the order of the file.
func (p *parser) sectionsOf(kind string, do func(name string, s *section)) {
	for _, s := range p.ini.Sections() {
		if name, found := strings.CutPrefix(s.Name(), kind+" "); found {
			do(name, &section{parser: p, ini: s})
		}
	}
}

// resolve returns the path of a file that is named in the operator's file. Relative paths are relative to the directory of that file.
func (p *parser) resolve(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(p.path), path)
}

func (p *parser) readFile(path string) ([]byte, error) { return os.ReadFile(p.resolve(path)) }
