package operatorconfig

import (
	"slices"
	"time"

	"oxbowspan/internal/keyring"
	"oxbowspan/merge"
)

// Merging holds the sections [merging], [schema NAME] and [merge QUERY-TYPE], which configure merged answers.
type Merging struct {
	MaxBytes       int64         // limit on the memory of all open merges together, in bytes
	MaxRows        int64         // limit on the rows of all open merges together
	MaxOpenMerges  int64         // limit on merges open at the same time
	Keys           *keyring.Ring // sign the cursors of paged merges; nil = not configured, as no merge is paged
	CursorLifetime time.Duration
	MaxCursorBytes int                      // limit on the size of one cursor
	Types          map[string]*merge.Policy // by query type
	SectionLines   map[string]int           // line of each query type's section [merge QUERY-TYPE]
}

// parseMerging reads all sections on merging. It returns nil if no query type may merge.
func (p *parser) parseMerging() *Merging {
	m := &Merging{Types: map[string]*merge.Policy{}, SectionLines: map[string]int{}}
	p.sectionsOf("schema", func(name string, s *section) { p.schemas[name] = s.parseSchema(name) })
	paged := false
	p.sectionsOf("merge", func(name string, s *section) {
		policy := s.parsePolicy()
		m.Types[name], m.SectionLines[name] = policy, p.lines[sectionLabel(s.ini.Name())]
		paged = paged || slices.Contains(policy.Kinds, merge.Paged)
	})
	s := p.section("merging")
	if s == nil {
		for _, line := range m.SectionLines {
			p.problems.add(line, "a [merge] section needs a section [merging] with the limits on all merges together")
			break
		}
		return nil
	}
	m.MaxBytes = s.count("memory", 16<<20, 64<<10, 1<<40)
	m.MaxRows = s.count("rows", 200_000, 100, 1<<40)
	m.MaxOpenMerges = s.count("open", 1000, 1, 1<<30)
	m.CursorLifetime = s.duration("cursor_life", 15*time.Minute, time.Second, 30*day)
	m.MaxCursorBytes = int(s.count("cursor_bytes", 8<<10, 256, 48<<10))
	keys, given := s.text("cursor_keys")
	s.rejectUnknownKeys()
	switch {
	case given:
		m.Keys = s.readKeys("cursor_keys", keys)
	case paged:
		s.addKeyProblem("cursor_keys", "is missing, and paged merges need it: 'oxbowspan keys new' prints a line for such a file")
	}
	if len(m.Types) == 0 {
		return nil
	}
	return m
}

// parseSchema reads a section [schema NAME].
func (s *section) parseSchema(name string) *merge.Schema {
	schema := &merge.Schema{Name: name, Row: -1}
	problemsBefore := len(s.problems.Problems)
	for _, definition := range s.fields("columns") {
		column, err := merge.ParseColumn(definition)
		if err != nil {
			s.addKeyProblem("columns", "%v", err)
			continue
		}
		schema.Columns = append(schema.Columns, column)
	}
	account, _ := s.text("account")
	schema.Account = schema.ColumnIndex(account)
	if row, given := s.text("row"); given {
		if schema.Row = schema.ColumnIndex(row); schema.Row < 0 {
			s.addKeyProblem("row", "%.60q is no column", row)
		}
	}
	schema.Digits = int(s.count("digits", 28, 1, merge.MaxDigits))
	s.rejectUnknownKeys()
	if len(s.problems.Problems) == problemsBefore {
		if err := schema.Check(); err != nil {
			s.addKeyProblem("columns", "%v", err)
		}
	}
	return schema
}

// parsePolicy reads a section [merge QUERY-TYPE], which defines the merges that requests of a query type may use.
func (s *section) parsePolicy() *merge.Policy {
	policy := &merge.Policy{
		Kinds:            s.fields("kinds"),
		Orders:           s.fields("order"),
		Groups:           s.fields("group"),
		Aggregates:       s.fields("figures"),
		MaxRows:          int(s.count("limit", 100, 1, 100_000)),
		MaxOffset:        int(s.count("offset", 0, 0, 1_000_000)),
		MaxGroups:        int(s.count("groups", 1000, 1, 100_000)),
		MaxResponseBytes: int(s.count("part_bytes", 64<<10, 1<<10, 64<<10)),
		MaxResultBytes:   int(s.count("answer_bytes", 60<<10, 1<<10, 16<<20)),
	}
	schema, _ := s.text("schema")
	policy.Schema = s.schemas[schema]
	s.rejectUnknownKeys()
	if len(policy.Kinds) == 0 {
		s.addKeyProblem("kinds", "is missing: ranked, paged and aggregated are known")
	}
	for _, kind := range policy.Kinds {
		if kind != merge.Ranked && kind != merge.Paged && kind != merge.Aggregated {
			s.addKeyProblem("kinds", "%.40q is not known: ranked, paged and aggregated are", kind)
		}
	}
	if policy.Schema == nil {
		s.addKeyProblem("schema", "there is no section [schema %.60s]", schema)
		return policy
	}
	s.checkColumns("order", policy.Orders, policy.Schema)
	s.checkColumns("group", policy.Groups, policy.Schema)
	for _, aggregate := range policy.Aggregates {
		if err := policy.Schema.CheckAggregate(aggregate); err != nil {
			s.addKeyProblem("figures", "%v", err)
		}
	}
	ordered := slices.Contains(policy.Kinds, merge.Ranked) || slices.Contains(policy.Kinds, merge.Paged)
	if ordered && len(policy.Orders) == 0 {
		s.addKeyProblem("order", "is missing: lists need columns to be ordered by")
	}
	return policy
}

// checkColumns reports the names in the value of a key that are not columns of a schema.
func (s *section) checkColumns(key string, columns []string, schema *merge.Schema) {
	for _, column := range columns {
		if schema.ColumnIndex(column) < 0 {
			s.addKeyProblem(key, "%.60q is no column of schema %s", column, schema.Name)
		}
	}
}
