// Package packer gathers the headers that most calls between nodes bear in one
// short header. An instance's link is thin, and their names and much of their
// values are known to both ends.
package packer

import (
	"net/http"
	"strings"

	"github.com/fireflymoor/fireflymoor/internal/labeler"
)

// separator stands between the packed headers, each a letter and a value.
const separator = '\t'

// A packed value begins with one of these if it is not the header's own.
const (
	// sameMark stands before the last bytes of a value that is the same in the
	// request.
	sameMark = '='
	// wordMark stands before the letter of a word.
	wordMark = '~'
	// restMark stands before the rest of a value whose beginning is known: the
	// caller's id in a call's, and the node's name in a target's.
	restMark = '&'
)

// letters name the headers of calls that every process knows.
var letters = map[string]byte{
	labeler.CallID:    'c',
	labeler.Deadline:  'd',
	labeler.Outcome:   'u',
	labeler.Reason:    'e',
	labeler.TargetID:  't',
	labeler.Boot:      'b',
	labeler.Once:      'o',
	labeler.Draining:  'g',
	labeler.Rank:      'r',
	labeler.Within:    'w',
	labeler.Wait:      'q',
	labeler.Arrived:   'a',
	labeler.Origin:    's',
	labeler.Load:      'l',
	"Content-Type":    'y',
	"Date":            'z',
	"User-Agent":      'h',
	"Accept":          'i',
	"Accept-Encoding": 'j',
}

// words are values that many headers have.
var words = map[string]byte{
	"answered":                  'a',
	"not-run":                   'n',
	"unknown":                   'u',
	"yes":                       'y',
	"identity":                  'i',
	"gzip":                      'g',
	"*/*":                       's',
	"application/octet-stream":  'o',
	"application/json":          'j',
	"text/plain; charset=utf-8": 't',
}

const (
	// firstCommon is the letter of the first of the dialect's headers. They
	// count up from it, to Z.
	firstCommon = 'A'
	mostCommon  = 'Z' - firstCommon + 1
	// usualField is what a field takes in most calls, in bytes.
	usualField = 16
	// tail is how many bytes of a value that is the same in the request travel
	// in the answer, so that the answer to another is told by them.
	tail = 3
	// wordLength is the length of a packed word with its mark, in bytes.
	wordLength = 2
)

// A Packer packs the headers of requests and answers between nodes. All nodes
// must be made with the same names.
type Packer struct {
	node    string
	letters map[string]byte
	names   map[byte]string
	words   map[byte]string
	// id is the name of the header that bears the caller's id, or empty.
	id string
}

// New returns a new Packer for a node. It knows, beside the system's own
// headers, the first 26 of the names, which are in canonical form. The first of
// them bears the id that callers give their calls.
func New(node string, names ...string) *Packer {
	p := &Packer{
		node:    node,
		letters: map[string]byte{},
		names:   map[byte]string{},
		words:   map[byte]string{},
	}
	for name, letter := range letters {
		p.add(name, letter)
	}
	for word, letter := range words {
		p.words[letter] = word
	}
	for i, name := range names[:min(len(names), mostCommon)] {
		p.add(name, firstCommon+byte(i))
	}
	if len(names) > 0 {
		p.id = names[0]
	}
	return p
}

func (p *Packer) add(name string, letter byte) {
	p.letters[name] = letter
	p.names[letter] = name
}

// ids are what the headers of a call bear to tell it from others.
type ids struct {
	// call is the id of one try.
	call string
	// caller is the id that the caller gave.
	caller string
}

func (p *Packer) ids(header http.Header) ids {
	return ids{
		call:   first(header, labeler.CallID),
		caller: first(header, p.id),
	}
}

// first returns the first value of a header under its canonical name.
func first(header http.Header, name string) string {
	if values := header[name]; len(values) > 0 {
		return values[0]
	}
	return ""
}

// Pack gathers in one header those of a request that the packer knows. A
// header with several values, or with one that cannot be packed, stays as it
// is.
func (p *Packer) Pack(request http.Header) {
	p.pack(request, ids{})
}

// pack packs the headers of a request, or of the answer to a call of ids.
func (p *Packer) pack(header http.Header, asked ids) {
	delete(header, labeler.Packed)
	caller := first(header, p.id)
	packed := make([]byte, 0, len(header)*usualField)
	for name, values := range header {
		letter, known := p.letters[name]
		if !known || len(values) != 1 {
			continue
		}
		before := len(packed)
		if before > 0 {
			packed = append(packed, separator)
		}
		shorter, ok := p.shorten(append(packed, letter), name, values[0], caller, asked)
		if !ok {
			packed = packed[:before]
			continue
		}
		packed = shorter
		delete(header, name)
	}
	if len(packed) > 0 {
		header[labeler.Packed] = []string{string(packed)}
	}
}

// shorten appends what is written for a value. It reports false if that could
// be taken for something else.
func (p *Packer) shorten(packed []byte, name, value, caller string, asked ids) ([]byte, bool) {
	if strings.IndexByte(value, separator) >= 0 {
		return nil, false
	}
	if same := p.asked(name, asked); same != "" && same == value {
		return append(append(packed, sameMark), value[max(len(value)-tail, 0):]...), true
	}
	if letter, ok := words[value]; ok {
		return append(packed, wordMark, letter), true
	}
	switch name {
	case labeler.CallID:
		if rest, ok := strings.CutPrefix(value, caller); ok && caller != "" && rest != "" {
			return append(append(packed, restMark), rest...), true
		}
	case labeler.TargetID:
		if _, id, ok := labeler.CutTarget(value); ok {
			return append(append(packed, restMark), id...), true
		}
	}
	if value != "" && (value[0] == sameMark || value[0] == wordMark || value[0] == restMark) {
		return nil, false
	}
	return append(packed, value...), true
}

// asked returns what the request of an answer bears in a header, if that is an
// id.
func (p *Packer) asked(name string, asked ids) string {
	switch name {
	case labeler.CallID:
		return asked.call
	case p.id:
		return asked.caller
	}
	return ""
}

// Unpack puts the headers of a request to this node back that Pack has
// gathered. What it does not know is dropped.
func (p *Packer) Unpack(request http.Header) {
	p.unpack(request, ids{})
}

// UnpackAnswer does the same with the headers of the answer to a request. What
// belongs to the answer to another is dropped.
func (p *Packer) UnpackAnswer(answer, request http.Header) {
	p.unpack(answer, p.ids(request))
}

func (p *Packer) unpack(header http.Header, asked ids) {
	packed := header[labeler.Packed]
	delete(header, labeler.Packed)
	if len(packed) != 1 {
		return
	}
	values := make([]string, 0, strings.Count(packed[0], string(separator))+1)
	callRest := ""
	for field := range strings.SplitSeq(packed[0], string(separator)) {
		if field == "" {
			continue
		}
		name, known := p.names[field[0]]
		if !known {
			continue
		}
		value := field[1:]
		if name == labeler.CallID && len(value) > 0 && value[0] == restMark {
			callRest = value[1:]
			continue
		}
		if value, ok := p.lengthen(name, value, asked); ok {
			values = append(values, value)
			header[name] = values[len(values)-1 : len(values) : len(values)]
		}
	}
	if caller := first(header, p.id); callRest != "" && caller != "" {
		header[labeler.CallID] = []string{caller + callRest}
	}
}

// lengthen returns the value that shorten has written. It reports false if it
// cannot be known.
func (p *Packer) lengthen(name, written string, asked ids) (string, bool) {
	if written == "" {
		return "", true
	}
	switch written[0] {
	case sameMark:
		value := p.asked(name, asked)
		return value, value != "" && strings.HasSuffix(value, written[1:])
	case wordMark:
		if len(written) != wordLength {
			return "", false
		}
		word, ok := p.words[written[1]]
		return word, ok
	case restMark:
		return labeler.JoinTarget(p.node, written[1:]), name == labeler.TargetID
	}
	return written, true
}
