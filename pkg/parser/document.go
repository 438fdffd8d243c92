package parser

import (
	"bufio"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/fireflymoor/fireflymoor"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// ValidName reports whether name is in kebab case.
func ValidName(name string) bool {
	return namePattern.MatchString(name)
}

// A Document is an INI text that is being read. It collects all faults of the
// text, so that they can be reported together.
type Document struct {
	step   string
	team   string
	name   string
	text   string
	file   *ini.File
	faults fireflymoor.Faults
}

// NewDocument parses text as a Document. The step, the team, and the name of the
// text are included in its faults.
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
	d.checkDuplicates()
	file, err := ini.LoadSources(loadOptions(), []byte(text))
	if err != nil {
		d.Fault("", "", strings.TrimSpace(err.Error()))
		return d
	}
	d.file = file
	if keys := file.Section(ini.DefaultSection).Keys(); len(keys) > 0 {
		d.Fault("", keys[0].Name(), "appears before the first section")
	}
	return d
}

// checkDuplicates notes a fault for each section or key that occurs more than
// once. The library would merge them without an error.
func (d *Document) checkDuplicates() {
	seen := map[string]bool{}
	d.scan(func(_ int, section, key string) bool {
		id := section + "\x00" + key
		if seen[id] {
			d.Fault(section, key, "stands twice")
		}
		seen[id] = true
		return true
	})
}

// scan visits each section header, with an empty key, and each key. It stops when
// visit returns false.
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

// lineOf returns the line number of a key, or of a section header if key is
// empty. It returns 0 if there is none.
func (d *Document) lineOf(section, key string) int {
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

// Fault notes a fault of a key, or of a section if key is empty.
func (d *Document) Fault(section, key, reason string) {
	line := d.lineOf(section, key)
	if line == 0 && key != "" {
		line = d.lineOf(section, "")
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

// Err returns all faults found so far as fireflymoor.Faults, or nil.
func (d *Document) Err() error {
	return d.faults.Err()
}

// Sections returns the sections in the order of the text. It returns none if the
// text could not be parsed.
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

// Fault notes a fault of a key, or of the section if key is empty.
func (s *Section) Fault(key, reason string) {
	s.document.Fault(s.Name(), key, reason)
}

// CheckName notes a fault unless name is in kebab case.
func (s *Section) CheckName(name string) {
	if !ValidName(name) {
		s.Fault("", "the name is not in kebab case")
	}
}

// Close notes a fault for each key that was not read, as it is unknown.
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

// String returns the value of key, or fallback if the key is missing.
func (s *Section) String(key, fallback string) string {
	s.read = append(s.read, key)
	if !s.section.HasKey(key) {
		return fallback
	}
	return strings.TrimSpace(s.section.Key(key).Value())
}

// Required returns the value of key. It notes a fault if the key is missing or
// its value is empty.
func (s *Section) Required(key string) string {
	value := s.String(key, "")
	if value == "" {
		s.Fault(key, "is missing")
	}
	return value
}

// Int returns the value of key as an integer, or fallback if it is missing, empty
// or malformed. It notes a fault if the value is malformed or not between
// minValue and maxValue.
func (s *Section) Int(key string, fallback, minValue, maxValue int) int {
	text := s.String(key, "")
	if text == "" {
		return fallback
	}
	n, err := s.section.Key(key).Int()
	if err != nil {
		s.Fault(key, fmt.Sprintf("%q is not an integer", text))
		return fallback
	}
	if n < minValue || n > maxValue {
		s.Fault(key, fmt.Sprintf("%d is not between %d and %d", n, minValue, maxValue))
	}
	return n
}

// Float returns the value of key as a number, or fallback if it is missing, empty or
// malformed. It notes a fault if the value is malformed or not between minValue and
// maxValue.
func (s *Section) Float(key string, fallback, minValue, maxValue float64) float64 {
	text := s.String(key, "")
	if text == "" {
		return fallback
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		s.Fault(key, fmt.Sprintf("%q is not a number", text))
		return fallback
	}
	if !(number >= minValue && number <= maxValue) {
		s.Fault(key, fmt.Sprintf("%g is not between %g and %g", number, minValue, maxValue))
	}
	return number
}

// Duration returns the value of key as a duration, or fallback if it is missing,
// empty or malformed. It notes a fault if the value is malformed or not between
// minValue and maxValue.
func (s *Section) Duration(key string, fallback, minValue, maxValue time.Duration) time.Duration {
	text := s.String(key, "")
	if text == "" {
		return fallback
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		s.Fault(key, fmt.Sprintf("%q is not a duration such as 250ms or 2s", text))
		return fallback
	}
	if d < minValue || d > maxValue {
		s.Fault(key, fmt.Sprintf("%s is not between %s and %s", d, minValue, maxValue))
	}
	return d
}

// Bool returns the value of key, "yes" or "no", as a boolean, or fallback if it is
// missing, empty or malformed. It notes a fault if the value is malformed.
func (s *Section) Bool(key string, fallback bool) bool {
	switch text := s.String(key, ""); text {
	case "":
		return fallback
	case "yes":
		return true
	case "no":
		return false
	default:
		s.Fault(key, fmt.Sprintf("%q is neither yes nor no", text))
		return fallback
	}
}

// Words returns the value of key as a list of words, separated by spaces or
// commas, or fallback if the key is missing or empty.
func (s *Section) Words(key string, fallback []string) []string {
	text := s.String(key, "")
	if text == "" {
		return fallback
	}
	return SplitWords(text)
}

// SplitWords splits text at spaces and commas.
func SplitWords(text string) []string {
	return strings.FieldsFunc(text, func(c rune) bool {
		return c == ' ' || c == ','
	})
}
