// Package packer gathers the headers that most calls between nodes bear in one
// short header. An instance's link is thin, and their names are longer than
// their values.
package packer

import (
	"net/http"
	"strings"

	"github.com/fireflymoor/fireflymoor/internal/labeler"
)

// separator stands between the packed headers, each a letter and a value.
const separator = "\t"

// letters name the headers of calls that every process knows.
var letters = map[string]byte{
	labeler.CallID:   'c',
	labeler.Deadline: 'd',
	labeler.Outcome:  'u',
	labeler.Reason:   'e',
	labeler.TargetID: 't',
	labeler.Boot:     'b',
	labeler.Once:     'o',
	labeler.Draining: 'g',
	labeler.Rank:     'r',
	labeler.Within:   'w',
	labeler.Wait:     'q',
	labeler.Arrived:  'a',
	labeler.Origin:   's',
	labeler.Load:     'l',
	"Content-Type":   'y',
	"Date":           'z',
}

const (
	// firstCommon is the letter of the first of the dialect's headers. They
	// count up from it, to Z.
	firstCommon = 'A'
	mostCommon  = 'Z' - firstCommon + 1
	// usualField is what a field takes in most calls, in bytes.
	usualField = 16
)

// A Packer packs the headers of requests and answers between nodes. All nodes
// must be made with the same names.
type Packer struct {
	letters map[string]byte
	names   map[byte]string
}

// New returns a new Packer that knows, beside the system's own headers, the
// first 26 of the names, which are in canonical form.
func New(names ...string) *Packer {
	p := &Packer{
		letters: map[string]byte{},
		names:   map[byte]string{},
	}
	for name, letter := range letters {
		p.add(name, letter)
	}
	for i, name := range names[:min(len(names), mostCommon)] {
		p.add(name, firstCommon+byte(i))
	}
	return p
}

func (p *Packer) add(name string, letter byte) {
	p.letters[name] = letter
	p.names[letter] = name
}

// Pack gathers in one header those that the packer knows. A header with
// several values, or with a tab in its value, stays as it is.
func (p *Packer) Pack(header http.Header) {
	delete(header, labeler.Packed)
	packed := make([]byte, 0, len(header)*usualField)
	for name, values := range header {
		letter, known := p.letters[name]
		if !known || len(values) != 1 || strings.Contains(values[0], separator) {
			continue
		}
		if len(packed) > 0 {
			packed = append(packed, separator...)
		}
		packed = append(append(packed, letter), values[0]...)
		delete(header, name)
	}
	if len(packed) > 0 {
		header[labeler.Packed] = []string{string(packed)}
	}
}

// Unpack puts the headers that Pack has gathered back. What it does not know
// is dropped.
func (p *Packer) Unpack(header http.Header) {
	values := header[labeler.Packed]
	delete(header, labeler.Packed)
	if len(values) != 1 {
		return
	}
	for field := range strings.SplitSeq(values[0], separator) {
		if field == "" {
			continue
		}
		if name, known := p.names[field[0]]; known {
			header[name] = []string{field[1:]}
		}
	}
}
