package acceptor

import (
	"bytes"
	"net/http"
)

const (
	// maxLeadingBytes is the maximum number of bytes of empty lines before a request.
	maxLeadingBytes = 8
	// maxNameBytes is the number of bytes that are kept of the beginning of a line. It
	// is enough to recognise the headers that determine the length of a body.
	maxNameBytes = 32
)

// Beginnings of the header lines that determine the length of a body, in lower case.
var (
	contentLength    = []byte("content-length:")
	transferEncoding = []byte("transfer-encoding:")
	// prefaceLine is the first line of an HTTP/2 connection.
	prefaceLine = []byte("pri * http/2.0")
)

// scanner follows the bytes of a header section up to its end.
type scanner struct {
	// leading is the number of bytes of empty lines before the request.
	leading int
	lines   int
	ended   bool
	// length and chunked report whether the headers Content-Length and
	// Transfer-Encoding were found.
	length, chunked bool
	// preface reports whether the first line is that of an HTTP/2 connection, without
	// header lines after it.
	preface bool
	// first holds the beginning of the first line.
	first []byte
	// name holds the beginning of the current line in lower case, without carriage
	// returns, and lineBytes is the length of the line so far.
	name      []byte
	lineBytes int
}

// scan reads the next bytes and returns how many of them belong to the header
// section, and how many lines end in these.
func (s *scanner) scan(p []byte) (n, lines int) {
	before := s.lines
	for i, c := range p {
		if s.ended {
			return i, s.lines - before
		}
		switch c {
		case '\n':
			s.endLine()
		case '\r':
			if s.lines == 0 && s.lineBytes == 0 {
				s.leading++
			}
		default:
			s.lineBytes++
			if len(s.name) < maxNameBytes {
				s.name = append(s.name, lower(c))
			}
		}
	}
	return len(p), s.lines - before
}

// endLine ends the current line.
func (s *scanner) endLine() {
	switch {
	case s.lineBytes == 0 && s.lines == 0:
		s.leading++
		return
	case s.lineBytes == 0:
		s.ended = true
		return
	case s.lines == 0:
		s.first = append(s.first[:0], s.name...)
	}
	s.preface = s.lines == 0 && bytes.Equal(s.name, prefaceLine)
	s.length = s.length || bytes.HasPrefix(s.name, contentLength)
	s.chunked = s.chunked || bytes.HasPrefix(s.name, transferEncoding)
	s.lines++
	s.lineBytes = 0
	s.name = s.name[:0]
}

// isHeadOf reports whether the header section is complete and begins like that of a
// request. It does not if its beginning was read together with an earlier request.
func (s *scanner) isHeadOf(request *http.Request) bool {
	line := request.Method + " " + request.RequestURI + " " + request.Proto
	line = line[:min(len(line), maxNameBytes)]
	if !s.ended || len(line) != len(s.first) {
		return false
	}
	for i := range s.first {
		if s.first[i] != lower(line[i]) {
			return false
		}
	}
	return true
}

func lower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// reset prepares the scanner for the next header section.
func (s *scanner) reset() {
	*s = scanner{
		name:  s.name[:0],
		first: s.first[:0],
	}
}
