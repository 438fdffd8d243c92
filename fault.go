package fireflymoor

import (
	"fmt"
	"strings"
)

// A Fault is one error in an operator's input.
type Fault struct {
	// Step is where the fault was found: parameters, values, template,
	// rendered or settings.
	Step string
	// Team is the team that the input belongs to, or empty.
	Team string
	// File is the file's name, or empty.
	File string
	// Line is the line number in the file, from 1, or 0 if there is none.
	Line int
	// Section is the section of the file, or empty.
	Section string
	// Key is the key in the section, or empty.
	Key string
	// Reason describes the error.
	Reason string
}

// Error implements error.
func (f Fault) Error() string {
	b := &strings.Builder{}
	fmt.Fprintf(b, "%s: ", f.Step)
	if f.Team != "" {
		fmt.Fprintf(b, "team %s: ", f.Team)
	}
	if f.File != "" {
		b.WriteString(f.File)
		if f.Line > 0 {
			fmt.Fprintf(b, ":%d", f.Line)
		}
		b.WriteString(": ")
	}
	if f.Section != "" {
		fmt.Fprintf(b, "[%s] ", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(b, "%s: ", f.Key)
	}
	b.WriteString(f.Reason)
	return b.String()
}

// Faults are all errors in an input.
type Faults []Fault

// Error implements error, with one line per fault.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for i := range f {
		lines = append(lines, f[i].Error())
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, or nil if there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
