package sender

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// transferEncoding begins the line of the field Transfer-Encoding, in lower case.
const transferEncoding = "transfer-encoding:"

// headScanner finds the end of the head of a response.
type headScanner struct {
	lineBytes int
	ended     bool
	// begin holds the first bytes of the current line.
	begin [len(transferEncoding)]byte
	// encoded is set once a line begins with transferEncoding. http.ReadResponse drops that
	// field from a response of HTTP/1.0.
	encoded bool
	// last is the byte before the current one, and lines the number of lines before it.
	last  byte
	lines int
	// crlf is set if the first line ends with CRLF, and cutShort if the head then ends
	// with an empty line that has only LF.
	crlf, cutShort bool
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
			s.endLine()
		case '\r':
		default:
			if s.lineBytes < len(s.begin) {
				s.begin[s.lineBytes] = c
			}
			s.lineBytes++
			if s.lineBytes == len(s.begin) {
				s.encoded = s.encoded || strings.EqualFold(string(s.begin[:]), transferEncoding)
			}
		}
		s.last = c
	}
	return len(p), lines
}

// endLine ends the current line.
func (s *headScanner) endLine() {
	crlf := s.last == '\r'
	if s.lines == 0 {
		s.crlf = crlf
	}
	s.lines++
	s.ended = s.lineBytes == 0
	s.cutShort = s.ended && s.crlf && !crlf
	s.lineBytes = 0
}

// check returns an error if the framing of the response with the scanned head is faulty: it
// is of HTTP/1.0 and has the field Transfer-Encoding (RFC 9112, section 6.1), or its head
// may go on, as the LF that ends it may belong to the name of a field.
func (s *headScanner) check(response *http.Response) error {
	switch {
	case s.encoded && !response.ProtoAtLeast(1, 1):
		return errors.Newf("sender: the answer of %s has a transfer encoding", response.Proto)
	case s.cutShort:
		return errors.New("sender: the head of the answer ends with LF and its lines with CRLF")
	}
	return nil
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
