package renderer

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/pkg/parser"
)

// separator is the line between the parameters and the body of a template file.
const separator = "---"

// Kinds of parameters.
const (
	kindText     = "text"
	kindInteger  = "integer"
	kindDuration = "duration"
	kindList     = "list"
)

// parameter is one declared parameter:
//
//	parameter NAME KIND [default=VALUE] [min=VALUE] [max=VALUE]
type parameter struct {
	line        int
	name        string
	kind        string
	fallback    string
	hasFallback bool
	// minValue and maxValue are the bounds as they are written, or empty.
	minValue string
	maxValue string
}

// splitTemplate splits a template file into its parameters and its body. It also
// returns the number of lines before the body, and the faults of the parameters.
func splitTemplate(team, text string) ([]parameter, string, int, fireflymoor.Faults) {
	lines := strings.Split(text, "\n")
	end := slices.IndexFunc(lines, func(line string) bool {
		return strings.TrimSpace(line) == separator
	})
	if end < 0 {
		return nil, text, 0, nil
	}
	var parameters []parameter
	var faults fireflymoor.Faults
	for i, line := range lines[:end] {
		words := strings.Fields(line)
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		p, reason := readParameter(words)
		p.line = i + 1
		if reason == "" && slices.ContainsFunc(parameters, func(q parameter) bool { return q.name == p.name }) {
			reason = "declared twice"
		}
		if reason != "" {
			faults = append(faults, parameterFault(team, p, reason))
			continue
		}
		parameters = append(parameters, p)
	}
	return parameters, strings.Join(lines[end+1:], "\n"), end + 1, faults
}

func parameterFault(team string, p parameter, reason string) fireflymoor.Fault {
	return fireflymoor.Fault{
		Step:   "parameters",
		Team:   team,
		File:   templateFile,
		Line:   p.line,
		Key:    p.name,
		Reason: reason,
	}
}

// readParameter returns the parameter that the words of a line declare. If they
// are invalid, it also returns the reason.
func readParameter(words []string) (parameter, string) {
	const minWords = 3
	if words[0] != "parameter" || len(words) < minWords {
		return parameter{}, "expected: parameter NAME KIND [default=V] [min=V] [max=V], or --- after the last"
	}
	p := parameter{
		name: words[1],
		kind: words[2],
	}
	if !parser.ValidName(p.name) {
		return p, "the name is not in kebab case"
	}
	if !slices.Contains([]string{kindText, kindInteger, kindDuration, kindList}, p.kind) {
		return p, "the kind is none of text, integer, duration and list"
	}
	for _, word := range words[minWords:] {
		key, value, _ := strings.Cut(word, "=")
		switch key {
		case "default":
			p.fallback = value
			p.hasFallback = true
		case "min":
			p.minValue = value
		case "max":
			p.maxValue = value
		default:
			return p, fmt.Sprintf("%q is none of default, min and max", key)
		}
	}
	return p, p.checkDeclaration()
}

// checkDeclaration returns why a bound or the default is invalid, or an empty
// string.
func (p parameter) checkDeclaration() string {
	for _, bound := range []string{p.minValue, p.maxValue} {
		if bound == "" {
			continue
		}
		if _, reason := p.measure(bound); reason != "" {
			return reason
		}
	}
	if p.hasFallback {
		return p.check(p.fallback)
	}
	return ""
}

// check returns why a value is invalid, or an empty string.
func (p parameter) check(value string) string {
	size, reason := p.measure(value)
	if reason != "" {
		return reason
	}
	if minSize, _ := p.measure(p.minValue); p.minValue != "" && size < minSize {
		return fmt.Sprintf("%s is less than %s", value, p.minValue)
	}
	if maxSize, _ := p.measure(p.maxValue); p.maxValue != "" && size > maxSize {
		return fmt.Sprintf("%s is more than %s", value, p.maxValue)
	}
	return ""
}

// measure returns the size of a value, which is compared with the bounds: an
// integer itself, the nanoseconds of a duration, and 0 for texts and lists. If the
// value is malformed, it also returns the reason.
func (p parameter) measure(value string) (int64, string) {
	switch p.kind {
	case kindInteger:
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return 0, fmt.Sprintf("%q is not an integer", value)
		}
		return n, ""
	case kindDuration:
		d, err := time.ParseDuration(value)
		if err != nil {
			return 0, fmt.Sprintf("%q is not a duration", value)
		}
		return int64(d), ""
	}
	if strings.ContainsAny(value, "\r\n[]") {
		return 0, "contains a line break or a bracket"
	}
	return 0, ""
}
