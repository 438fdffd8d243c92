package parser

import (
	"strings"
	"sync"

	"github.com/fireflymoor/fireflymoor"
)

// cachingParser is a parser that caches the sections of the text that it parsed
// last. A change of a configuration leaves most sections unchanged, and these are
// not parsed again. A text is parsed as a whole if it has any fault, or any
// character that could extend a section beyond the next section header, such as
// a quote or a line continuation.
type cachingParser struct {
	full parser

	mu sync.Mutex
	// sections holds the content of each section, by the section's text.
	sections map[string]content
}

// Parse implements fireflymoor.Parser.
func (p *cachingParser) Parse(team, text string) (fireflymoor.Configuration, error) {
	if c, ok := p.parseSections(text); ok {
		return c.configuration(team), nil
	}
	return p.full.Parse(team, text)
}

// parseSections parses a text section by section. It reports false if the text
// must be parsed as a whole.
func (p *cachingParser) parseSections(text string) (content, bool) {
	if len(text) > MaxText || strings.ContainsAny(text, "\\\"'`") {
		return content{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	all := newContent()
	current := map[string]content{}
	names := map[string]bool{}
	for _, part := range splitSections(text) {
		name, _, _ := strings.Cut(part, "\n")
		c, ok := p.sections[part]
		if !ok {
			c, ok = readSection(part)
		}
		if !ok || names[name] {
			return content{}, false
		}
		names[name] = true
		current[part] = c
		all = all.merge(c)
	}
	all.applyMaxBody()
	d := &Document{}
	all.checkReferences(d)
	if d.Err() != nil {
		return content{}, false
	}
	p.sections = current
	return all, true
}

// splitSections splits a text before each section header. Any text before the
// first header is a part as well.
func splitSections(text string) []string {
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

// readSection parses the text of one section. It reports false if the text has a
// fault.
func readSection(part string) (content, bool) {
	d := NewDocument("", "", "", part)
	if d.file == nil || len(d.Sections()) != 1 {
		return content{}, false
	}
	c := readSections(d)
	return c, d.Err() == nil
}
