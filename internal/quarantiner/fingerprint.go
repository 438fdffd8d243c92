package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"net"
	"net/http"
	"strconv"
	"strings"
)

// BodyPrefix is the part of a request's body that its fingerprint covers, in bytes. The
// length of the body counts in addition.
const BodyPrefix = 16 << 10

// A Fingerprint identifies a request by what a target gets to see of it: tenant, method,
// host, path, query, and the length and the first bytes of the body. Ids and other headers
// do not count, as they differ each time that a caller sends the request. It is a part of a
// cryptographic hash, so that no caller can make a request that is taken for another
// one. It is 0 if it is not known.
type Fingerprint uint64

// Of returns the fingerprint of a request of a tenant, whose name may be empty. The
// prefix is the beginning of the body, up to BodyPrefix bytes.
func Of(request *http.Request, tenant string, prefix []byte) Fingerprint {
	text := make([]byte, 0, 256)
	for _, part := range []string{
		tenant,
		request.Method,
		hostName(request.Host),
		request.URL.EscapedPath(),
		request.URL.RawQuery,
		strconv.FormatInt(request.ContentLength, 10),
	} {
		text = binary.AppendUvarint(text, uint64(len(part)))
		text = append(text, part...)
	}
	sum := sha256.Sum256(append(text, prefix[:min(len(prefix), BodyPrefix)]...))
	return Fingerprint(binary.BigEndian.Uint64(sum[:]) | 1) // not 0
}

// hostName returns the part of a host that tells requests apart. Callers that address a
// node by its IP address send the same request to another node with another host.
func hostName(host string) string {
	name, _, err := net.SplitHostPort(host)
	if err != nil {
		name = host
	}
	if net.ParseIP(strings.Trim(name, "[]")) != nil {
		return ""
	}
	return strings.ToLower(host)
}

// Weight returns the weight of a target for a request. The target with the highest one is
// the request's trial target.
func (f Fingerprint) Weight(target string) Fingerprint {
	text := binary.BigEndian.AppendUint64(nil, uint64(f))
	sum := sha256.Sum256(append(text, target...))
	return Fingerprint(binary.BigEndian.Uint64(sum[:]))
}

// String returns the fingerprint as operators see it.
func (f Fingerprint) String() string {
	return strconv.FormatUint(uint64(f), 16)
}

// Parse reads a fingerprint that String wrote.
func Parse(text string) (Fingerprint, error) {
	f, err := strconv.ParseUint(text, 16, 64)
	return Fingerprint(f), err
}

// Describe returns a request as operators see it, without its query, which may hold what
// is not meant for them.
func Describe(request *http.Request) string {
	text := request.Method + " " + request.Host + request.URL.EscapedPath()
	return text[:min(len(text), maxDescription)]
}
