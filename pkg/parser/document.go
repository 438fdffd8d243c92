package parser

import (
	"bufio"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/fireflymoor/fireflymoor"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// ValidName says whether name is written in kebab case.
func ValidName(name string) bool {
	return namePattern.MatchString(name)
}

// A Document is one INI text that is read whole, with every fault found.
type Document struct {
	step   string
	team   string
	name   string
	text   string
	file   *ini.File
	faults fireflymoor.Faults
}

// NewDocument returns a new Document. Step, team and name stand in its
// faults.
func NewDocument(step, team, name, text string) *Document {
	d := &Document{
		step: step,
		team: team,
		name: name,
		text: text,
	}
	if len(text) > MaxText {
		d.Fault("", "", fmt.Sprintf("holds %d bytes, %d are the most", len(text), MaxText))
		return d
	}
	d.checkDoubles()
	file, err := ini.LoadSources(loadOptions(), []byte(text))
	if err != nil {
		d.Fault("", "", strings.TrimSpace(err.Error()))
		return d
	}
	d.file = file
	if keys := file.Section(ini.DefaultSection).Keys(); len(keys) > 0 {
		d.Fault("", keys[0].Name(), "stands before the first section")
	}
	return d
}

// checkDoubles finds sections and keys that stand twice, which the library
// would merge.
func (d *Document) checkDoubles() {
	seen := map[string]bool{}
	d.scan(func(_ int, section, key string) bool {
		place := section + "\x00" + key
		if seen[place] {
			d.Fault(section, key, "stands twice")
		}
		seen[place] = true
		return true
	})
}

// scan visits each section head, with an empty key, and each key.
func (d *Document) scan(visit func(line int, section, key string) bool) {
	section := ""
	lines := bufio.NewScanner(strings.NewReader(d.text))
	lines.Buffer(nil, MaxText+1)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		key, _, isKey := strings.Cut(line, "=")
		switch {
		case strings.HasPrefix(line, "#"), strings.HasPrefix(line, ";"):
			continue
		case strings.HasPrefix(line, "["):
			section = strings.Trim(line, "[]")
			key = ""
		case !isKey:
			continue
		}
		if !visit(number, section, strings.TrimSpace(key)) {
			return
		}
	}
}

func (d *Document) line(section, key string) int {
	found := 0
	d.scan(func(number int, s, k string) bool {
		if s != section || k != key {
			return true
		}
		found = number
		return false
	})
	return found
}

// Fault notes what is wrong with a key, or with a section if key is empty.
func (d *Document) Fault(section, key, reason string) {
	line := d.line(section, key)
	if line == 0 && key != "" {
		line = d.line(section, "")
	}
	d.faults = append(d.faults, fireflymoor.Fault{
		Step:    d.step,
		Team:    d.team,
		File:    d.name,
		Line:    line,
		Section: section,
		Key:     key,
		Reason:  reason,
	})
}

// Err returns all faults found so far, or nil.
func (d *Document) Err() error {
	return d.faults.Err()
}

// Sections returns the sections in their order.
func (d *Document) Sections() []*Section {
	if d.file == nil {
		return nil
	}
	var sections []*Section
	for _, s := range d.file.Sections() {
		if s.Name() != ini.DefaultSection {
			sections = append(sections, &Section{
				document: d,
				section:  s,
			})
		}
	}
	return sections
}

// A Section is one section of a Document.
type Section struct {
	document *Document
	section  *ini.Section
	read     []string
}

// Name returns the section's name.
func (s *Section) Name() string {
	return s.section.Name()
}

// Fault notes what is wrong with a key.
func (s *Section) Fault(key, reason string) {
	s.document.Fault(s.Name(), key, reason)
}

// CheckName notes a fault unless name is in kebab case.
func (s *Section) CheckName(name string) {
	if !ValidName(name) {
		s.Fault("", "the name is not in kebab case")
	}
}

// Close notes a fault for each key that was not read.
func (s *Section) Close() {
	for _, key := range s.section.Keys() {
		if !slices.Contains(s.read, key.Name()) {
			s.Fault(key.Name(), "unknown key")
		}
	}
}

// Keys returns the names of all keys.
func (s *Section) Keys() []string {
	return s.section.KeyStrings()
}

// String returns the value of key, or otherwise.
func (s *Section) String(key, otherwise string) string {
	s.read = append(s.read, key)
	if !s.section.HasKey(key) {
		return otherwise
	}
	return strings.TrimSpace(s.section.Key(key).Value())
}

// Required returns the value of key and notes a fault if there is none.
func (s *Section) Required(key string) string {
	value := s.String(key, "")
	if value == "" {
		s.Fault(key, "is missing")
	}
	return value
}

// Int returns the whole number of key, within least and most.
func (s *Section) Int(key string, otherwise, least, most int) int {
	text := s.String(key, "")
	if text == "" {
		return otherwise
	}
	n, err := s.section.Key(key).Int()
	if err != nil {
		s.Fault(key, fmt.Sprintf("%q is no whole number", text))
		return otherwise
	}
	if n < least || n > most {
		s.Fault(key, fmt.Sprintf("%d is not between %d and %d", n, least, most))
	}
	return n
}

// Duration returns the duration of key, within least and most.
func (s *Section) Duration(key string, otherwise, least, most time.Duration) time.Duration {
	text := s.String(key, "")
	if text == "" {
		return otherwise
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		s.Fault(key, fmt.Sprintf("%q is no duration such as 250ms or 2s", text))
		return otherwise
	}
	if d < least || d > most {
		s.Fault(key, fmt.Sprintf("%s is not between %s and %s", d, least, most))
	}
	return d
}

// Bool returns the yes or no of key.
func (s *Section) Bool(key string, otherwise bool) bool {
	switch text := s.String(key, ""); text {
	case "":
		return otherwise
	case "yes":
		return true
	case "no":
		return false
	default:
		s.Fault(key, fmt.Sprintf("%q is neither yes nor no", text))
		return otherwise
	}
}

// Words returns the words of key, parted by spaces or commas.
func (s *Section) Words(key string, otherwise []string) []string {
	text := s.String(key, "")
	if text == "" {
		return otherwise
	}
	return SplitWords(text)
}

// SplitWords parts text at spaces and commas.
func SplitWords(text string) []string {
	return strings.FieldsFunc(text, func(c rune) bool {
		return c == ' ' || c == ','
	})
}
