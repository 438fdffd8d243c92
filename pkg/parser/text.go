package parser

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// ValidText reports whether a text from outside the process, such as an id, can go into
// records, messages, headers and log lines: it has 1 to maxBytes bytes, is UTF-8 and has no
// control characters. Messages between processes cannot hold a text that is not UTF-8.
func ValidText(text string, maxBytes int) bool {
	return text != "" && len(text) <= maxBytes && utf8.ValidString(text) && !strings.ContainsFunc(text, unicode.IsControl)
}
