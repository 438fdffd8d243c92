// Package packer compresses the headers that most calls between nodes have into one
// short header. The link of an instance has little bandwidth, and both ends know
// the names of these headers and much of their values.
package packer

import (
	"net/http"
	"strings"

	"github.com/fireflymoor/fireflymoor/internal/annotator"
)

// separator delimits the packed headers, each of which consists of a one-letter code
// and a value.
const separator = '\t'

// A packed value begins with one of these marks if it is not the literal value of
// the header.
const (
	// repeatMark precedes the last bytes of a value that the response repeats from
	// the request.
	repeatMark = '='
	// valueMark precedes the code of a common value.
	valueMark = '~'
	// suffixMark precedes the rest of a value whose prefix is known. The prefix is
	// the caller's id in a call id, and the name of the node in a target id.
	suffixMark = '&'
)

// headerCodes maps the headers of calls that every process knows to their codes.
var headerCodes = map[string]byte{
	annotator.CallID:          'c',
	annotator.Deadline:        'd',
	annotator.Outcome:         'u',
	annotator.Reason:          'e',
	annotator.TargetID:        't',
	annotator.Boot:            'b',
	annotator.Once:            'o',
	annotator.Draining:        'g',
	annotator.Rank:            'r',
	annotator.Objective:       'w',
	annotator.Wait:            'q',
	annotator.RefusedByTarget: 'a',
	annotator.Origin:          's',
	annotator.Load:            'l',
	annotator.Tenant:          'n',
	annotator.KeyID:           'k',
	annotator.Bulk:            'v',
	annotator.MaxWait:         'm',
	annotator.Neighbor:        'p',
	annotator.Departed:        'x',
	annotator.Limit:           'f',
	annotator.Sent:            '0',
	annotator.Ended:           '1',
	annotator.Suspect:         '2',
	"Content-Type":            'y',
	"Date":                    'z',
	"User-Agent":              'h',
	"Accept":                  'i',
	"Accept-Encoding":         'j',
}

// valueCodes maps values that many headers have to their codes.
var valueCodes = map[string]byte{
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
	// firstDialectCode is the code of the first header of the dialect. The codes of
	// the others follow it in order, up to Z.
	firstDialectCode  = 'A'
	maxDialectHeaders = 'Z' - firstDialectCode + 1
	// typicalFieldSize is the size of a packed header in most calls, in bytes.
	typicalFieldSize = 16
	// repeatSuffixLength is how many bytes of a repeated value the response
	// carries. They allow the response to another request to be detected.
	repeatSuffixLength = 3
	// codedValueLength is the length of a mark and the code of a common value, in
	// bytes.
	codedValueLength = 2
)

// A Packer packs the headers of requests and responses between nodes. All nodes
// must use Packers with the same names in the same order.
type Packer struct {
	node    string
	codes   map[string]byte
	headers map[byte]string
	values  map[byte]string
	// callerIDHeader is the name of the header with the caller's id for a call, or
	// empty.
	callerIDHeader string
}

// New returns a new Packer for a node. It packs the headers of fireflymoor and the
// headers in names. The names must be in canonical form, and only the first 26 are
// used. The first name is that of the header with the id that callers give their
// calls.
func New(node string, names ...string) *Packer {
	p := &Packer{
		node:    node,
		codes:   map[string]byte{},
		headers: map[byte]string{},
		values:  map[byte]string{},
	}
	for name, code := range headerCodes {
		p.add(name, code)
	}
	for value, code := range valueCodes {
		p.values[code] = value
	}
	for i, name := range names[:min(len(names), maxDialectHeaders)] {
		p.add(name, firstDialectCode+byte(i))
	}
	if len(names) > 0 {
		p.callerIDHeader = names[0]
	}
	return p
}

func (p *Packer) add(name string, code byte) {
	p.codes[name] = code
	p.headers[code] = name
}

// callIDs are the ids of a call in its headers.
type callIDs struct {
	// call is the id of one try of the call.
	call string
	// caller is the id that the caller gave the call.
	caller string
}

func (p *Packer) readIDs(header http.Header) callIDs {
	return callIDs{
		call:   firstValue(header, annotator.CallID),
		caller: firstValue(header, p.callerIDHeader),
	}
}

// firstValue returns the first value of a header with a canonical name, or an empty
// string.
func firstValue(header http.Header, name string) string {
	if values := header[name]; len(values) > 0 {
		return values[0]
	}
	return ""
}

// Pack replaces the known headers of a request with one packed header. A header with
// several values, or with a value that cannot be packed, is left unchanged.
func (p *Packer) Pack(request http.Header) {
	p.pack(request, callIDs{})
}

// pack packs the headers of a request, or of the response to a request with the
// given ids.
func (p *Packer) pack(header http.Header, requestIDs callIDs) {
	delete(header, annotator.Packed)
	caller := firstValue(header, p.callerIDHeader)
	packed := make([]byte, 0, len(header)*typicalFieldSize)
	for name, values := range header {
		code, known := p.codes[name]
		if !known || len(values) != 1 {
			continue
		}
		length := len(packed)
		if length > 0 {
			packed = append(packed, separator)
		}
		encoded, ok := p.encode(append(packed, code), name, values[0], caller, requestIDs)
		if !ok {
			packed = packed[:length]
			continue
		}
		packed = encoded
		delete(header, name)
	}
	if len(packed) > 0 {
		header[annotator.Packed] = []string{string(packed)}
	}
}

// encode appends the packed form of a value. It reports false if that form would be
// ambiguous.
func (p *Packer) encode(packed []byte, name, value, caller string, requestIDs callIDs) ([]byte, bool) {
	if strings.IndexByte(value, separator) >= 0 {
		return nil, false
	}
	if repeated := p.requestValue(name, requestIDs); repeated != "" && repeated == value {
		return append(append(packed, repeatMark), value[max(len(value)-repeatSuffixLength, 0):]...), true
	}
	if code, ok := valueCodes[value]; ok {
		return append(packed, valueMark, code), true
	}
	switch name {
	case annotator.CallID:
		if suffix, ok := strings.CutPrefix(value, caller); ok && caller != "" && suffix != "" {
			return append(append(packed, suffixMark), suffix...), true
		}
	case annotator.TargetID:
		if _, id, ok := annotator.CutTarget(value); ok {
			return append(append(packed, suffixMark), id...), true
		}
	}
	if value != "" && (value[0] == repeatMark || value[0] == valueMark || value[0] == suffixMark) {
		return nil, false
	}
	return append(packed, value...), true
}

// requestValue returns the value of a header in the request of a response if the
// header is that of an id, or an empty string.
func (p *Packer) requestValue(name string, requestIDs callIDs) string {
	switch name {
	case annotator.CallID:
		return requestIDs.call
	case p.callerIDHeader:
		return requestIDs.caller
	}
	return ""
}

// Unpack restores the headers of a request to this node from the packed header that
// Pack wrote. Unknown codes are dropped.
func (p *Packer) Unpack(request http.Header) {
	p.unpack(request, callIDs{})
}

// UnpackResponse restores the headers of the response to a request. Values that
// do not match the request are dropped, because they belong to the response to
// another request.
func (p *Packer) UnpackResponse(response, request http.Header) {
	p.unpack(response, p.readIDs(request))
}

func (p *Packer) unpack(header http.Header, requestIDs callIDs) {
	packed := header[annotator.Packed]
	delete(header, annotator.Packed)
	if len(packed) != 1 {
		return
	}
	values := make([]string, 0, strings.Count(packed[0], string(separator))+1)
	callSuffix := ""
	for field := range strings.SplitSeq(packed[0], string(separator)) {
		if field == "" {
			continue
		}
		name, known := p.headers[field[0]]
		if !known {
			continue
		}
		value := field[1:]
		if name == annotator.CallID && len(value) > 0 && value[0] == suffixMark {
			callSuffix = value[1:]
			continue
		}
		if value, ok := p.decode(name, value, requestIDs); ok {
			values = append(values, value)
			header[name] = values[len(values)-1 : len(values) : len(values)]
		}
	}
	if caller := firstValue(header, p.callerIDHeader); callSuffix != "" && caller != "" {
		header[annotator.CallID] = []string{caller + callSuffix}
	}
}

// decode returns the value that encode wrote. It reports false if the value cannot
// be determined.
func (p *Packer) decode(name, packed string, requestIDs callIDs) (string, bool) {
	if packed == "" {
		return "", true
	}
	switch packed[0] {
	case repeatMark:
		value := p.requestValue(name, requestIDs)
		return value, value != "" && strings.HasSuffix(value, packed[1:])
	case valueMark:
		if len(packed) != codedValueLength {
			return "", false
		}
		value, ok := p.values[packed[1]]
		return value, ok
	case suffixMark:
		return annotator.JoinTarget(p.node, packed[1:]), name == annotator.TargetID
	}
	return packed, true
}
