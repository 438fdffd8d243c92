package sender

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// headScanner finds the end of the head of a response.
type headScanner struct {
	lineBytes int
	ended     bool
}

// scan reads the next bytes and returns how many of them belong to the head, and how
// many lines end in these.
func (s *headScanner) scan(p []byte) (n, lines int) {
	for i, c := range p {
		if s.ended {
			return i, lines
		}
		switch c {
		case '\n':
			lines++
			s.ended = s.lineBytes == 0
			s.lineBytes = 0
		case '\r':
		default:
			s.lineBytes++
		}
	}
	return len(p), lines
}

// checkNames returns an error if a field has a name that is not a token (RFC 9112, section
// 5.1). http.ReadResponse keeps a name with a blank, as a field that nobody knows: its line,
// which may determine the length of the body, would be ignored. A field without values was
// only announced.
func checkNames(fields http.Header) error {
	for name, values := range fields {
		if len(values) > 0 && !isToken(name) {
			return errors.Newf("sender: the answer has a field with the invalid name %q", name)
		}
	}
	return nil
}

// isToken reports whether a text is a token (RFC 9110, section 5.6.2).
func isToken(text string) bool {
	return text != "" && strings.Trim(text, tokenCharacters) == ""
}

// tokenCharacters are the characters of a token.
const tokenCharacters = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
