package parser

import (
	"strings"
	"sync"

	"github.com/fireflymoor/fireflymoor"
)

// memo is a parser that remembers the sections of the text that it read last.
// A change of a configuration leaves most of its sections as they were, and
// these are not read again. A text with any fault, or with what could make a
// section reach beyond the next section's head, is read as a whole.
type memo struct {
	whole parser

	lock     sync.Mutex
	sections map[string]content
}

// Parse implements fireflymoor.Parser.
func (m *memo) Parse(team, text string) (fireflymoor.Configuration, error) {
	if c, ok := m.parts(text); ok {
		return fireflymoor.NewConfiguration(team, c.services, c.routes, c.limits), nil
	}
	return m.whole.Parse(team, text)
}

// parts reads a text section by section. It reports false if the text must be
// read as a whole.
func (m *memo) parts(text string) (content, bool) {
	if len(text) > MaxText || strings.ContainsAny(text, "\\\"'`") {
		return content{}, false
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	all := newContent()
	seen := map[string]content{}
	names := map[string]bool{}
	for _, part := range split(text) {
		name, _, _ := strings.Cut(part, "\n")
		c, ok := m.sections[part]
		if !ok {
			c, ok = readPart(part)
		}
		if !ok || names[name] {
			return content{}, false
		}
		names[name] = true
		seen[part] = c
		all = all.with(c)
	}
	all.limitBodies()
	d := &Document{}
	all.checkReferences(d)
	if d.Err() != nil {
		return content{}, false
	}
	m.sections = seen
	return all, true
}

// split parts a text at its sections' heads. What stands before the first head
// is a part as well.
func split(text string) []string {
	var parts []string
	for len(text) > 0 {
		end := strings.Index(text[1:], "\n[")
		if end < 0 {
			return append(parts, text)
		}
		parts = append(parts, text[:end+2])
		text = text[end+2:]
	}
	return parts
}

// readPart reads one section. It reports false if there is any fault in it.
func readPart(part string) (content, bool) {
	d := NewDocument("", "", "", part)
	if d.file == nil || len(d.Sections()) != 1 {
		return content{}, false
	}
	c := readSections(d)
	return c, d.Err() == nil
}
