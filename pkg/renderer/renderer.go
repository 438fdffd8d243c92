// Package renderer renders a team's configuration from a template and values.
package renderer

import (
	"regexp"
	"slices"
	"strconv"
	"strings"
	"text/template"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/pkg/parser"
)

// Maximum sizes of the inputs, in bytes.
const (
	MaxTemplate = parser.MaxText
	MaxValues   = 64 << 10
)

const (
	templateFile  = "template"
	valuesFile    = "values"
	valuesSection = "values"
)

var (
	errTooLong = errors.New("the rendered text exceeds the maximum size")
	// errorLine matches an error of text/template, with its line and its message.
	errorLine = regexp.MustCompile(`template: [^:]+:(\d+)(?::\d+)?: (?:executing "[^"]*" at )?(.*)`)
	// recursionMessage is in the error of text/template for a template that
	// includes itself without end.
	recursionMessage = "exceeded maximum template depth"
)

// renderer implements fireflymoor.Renderer.
type renderer struct {
	parser fireflymoor.Parser
}

// New returns a fireflymoor.Renderer that parses its results with parser.
func New(parser fireflymoor.Parser) fireflymoor.Renderer {
	return renderer{
		parser: parser,
	}
}

// Render implements fireflymoor.Renderer. All errors are fireflymoor.Faults or
// those of the parser.
func (r renderer) Render(team string, inputs fireflymoor.Inputs) (fireflymoor.Rendered, error) {
	if faults := checkSizes(team, inputs); faults != nil {
		return fireflymoor.Rendered{}, faults
	}
	parameters, body, skipped, faults := splitTemplate(team, inputs.Template)
	values, more := readValues(team, inputs.Values, parameters)
	faults = append(faults, more...)
	if faults != nil {
		return fireflymoor.Rendered{}, faults
	}
	text, err := execute(team, body, values, skipped)
	if err != nil {
		return fireflymoor.Rendered{}, err
	}
	configuration, err := r.parser.Parse(team, text)
	if err != nil {
		return fireflymoor.Rendered{}, err
	}
	return fireflymoor.Rendered{
		Text:          text,
		Configuration: configuration,
	}, nil
}

// checkSizes returns a fault for each input that exceeds its maximum size.
func checkSizes(team string, inputs fireflymoor.Inputs) fireflymoor.Faults {
	var faults fireflymoor.Faults
	check := func(file string, size, maxSize int) {
		if size <= maxSize {
			return
		}
		faults = append(faults, fireflymoor.Fault{
			Step:   file,
			Team:   team,
			File:   file,
			Reason: "holds " + strconv.Itoa(size) + " bytes, " + strconv.Itoa(maxSize) + " are the most",
		})
	}
	check(templateFile, len(inputs.Template), MaxTemplate)
	check(valuesFile, len(inputs.Values), MaxValues)
	return faults
}

// readValues returns the value of each parameter, which is its default if text
// gives none.
func readValues(team, text string, parameters []parameter) (map[string]string, fireflymoor.Faults) {
	d := parser.NewDocument("values", team, valuesFile, text)
	values := map[string]string{}
	for _, p := range parameters {
		values[p.name] = p.fallback
	}
	given := map[string]bool{}
	for _, s := range d.Sections() {
		if s.Name() != valuesSection {
			s.Fault("", "unknown section; the only one is [values]")
			continue
		}
		readSection(s, parameters, values, given)
	}
	for _, p := range parameters {
		if !given[p.name] && !p.hasFallback {
			d.Fault(valuesSection, p.name, "has no value and no default")
		}
	}
	var faults fireflymoor.Faults
	if errors.As(d.Err(), &faults) {
		return nil, faults
	}
	return values, nil
}

// readSection reads the section of the values into values, and marks their
// parameters in given.
func readSection(s *parser.Section, parameters []parameter, values map[string]string, given map[string]bool) {
	for _, key := range s.Keys() {
		value := s.String(key, "")
		i := slices.IndexFunc(parameters, func(p parameter) bool { return p.name == key })
		if i < 0 {
			s.Fault(key, "the template has no such parameter")
			continue
		}
		if reason := parameters[i].check(value); reason != "" {
			s.Fault(key, reason)
		}
		values[key] = value
		given[key] = true
	}
}

// execute executes the template's body with the values. The body begins after the
// first skipped lines of its file.
func execute(team, body string, values map[string]string, skipped int) (string, error) {
	functions := template.FuncMap{
		"value": func(name string) (string, error) {
			return lookUp(values, name)
		},
		"list": func(name string) ([]string, error) {
			value, err := lookUp(values, name)
			return parser.SplitWords(value), err
		},
	}
	parsed, err := template.New(templateFile).Option("missingkey=error").Funcs(functions).Parse(body)
	if err != nil {
		return "", templateFault(team, err, skipped)
	}
	out := &boundedWriter{}
	data := struct{ Team string }{
		Team: team,
	}
	if err := parsed.Execute(out, data); err != nil {
		return "", templateFault(team, err, skipped)
	}
	return out.String(), nil
}

// lookUp returns the value of a parameter, or an error if there is none of that
// name.
func lookUp(values map[string]string, name string) (string, error) {
	value, ok := values[name]
	if !ok {
		return "", errors.Newf("no parameter %s", name)
	}
	return value, nil
}

// templateFault converts an error of text/template to a fault. It adds skipped to
// the line, as the library counts from the start of the body.
func templateFault(team string, err error, skipped int) error {
	fault := fireflymoor.Fault{
		Step:   "template",
		Team:   team,
		File:   templateFile,
		Reason: err.Error(),
	}
	if m := errorLine.FindStringSubmatch(err.Error()); m != nil {
		line, convErr := strconv.Atoi(m[1])
		if convErr == nil {
			fault.Line = line + skipped
			fault.Reason = m[2]
		}
	}
	if errors.Is(err, errTooLong) {
		fault.Reason = errTooLong.Error()
	}
	if strings.Contains(err.Error(), recursionMessage) {
		fault.Reason = "a template includes itself without end"
	}
	return fireflymoor.Faults{fault}
}

// boundedWriter is a strings.Builder that refuses to exceed parser.MaxText, as the
// parser would refuse a longer text.
type boundedWriter struct {
	strings.Builder
}

// Write implements io.Writer.
func (w *boundedWriter) Write(p []byte) (int, error) {
	if w.Len()+len(p) > parser.MaxText {
		return 0, errTooLong
	}
	return w.Builder.Write(p)
}
