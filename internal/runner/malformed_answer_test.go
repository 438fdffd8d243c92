package runner

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
)

// checkMalformed has a target send an answer that is not valid to callers with and without
// an upload, over one node and two, and then close its connection or keep it open. If the
// head is not valid, the caller gets status 502 and the outcome unknown, as the call may
// have run. A caller that is uploading, or has got the head before, may see the end of its
// connection instead.
func checkMalformed(t *testing.T, content string, headIsValid bool) {
	t.Helper()
	target := newRawTarget(t)
	path := newCallPathTo(t, target.address())
	for nodes, host := range path.hosts(t) {
		for _, call := range []rawCall{{protocol: 1}, {protocol: 1, upload: true}, {protocol: 0}} {
			for _, open := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/open-%t", nodes, call.name(), open), func(t *testing.T) {
					is := is.New(t)
					target.answer.Store(&rawAnswer{
						content: content,
						open:    open,
					})
					began := time.Now()
					r := call.do(t, host)
					is.True(time.Since(began) < brokenCallTimeout) // not at the deadline
					if !headIsValid && !call.upload {
						is.NoErr(r.err)
					}
					if r.err == nil {
						is.Equal(r.status, http.StatusBadGateway)
						is.Equal(r.outcome, fireflymoor.Unknown.String())
					}
				})
			}
		}
	}
}

// TestInvalidStatusIsNotPassedOn guards against an answer whose status is none of a final
// response.
func TestInvalidStatusIsNotPassedOn(t *testing.T) {
	for _, status := range []string{"000", "000 None", "0", "099 Low", "600 High", "-20 Low", "2 0", "20x", "2000 High", "200 O\x01K"} {
		t.Run(status, func(t *testing.T) {
			checkMalformed(t, fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: 2\r\n\r\nok", status), false)
		})
	}
}

// malformedNames are lines of a head with field names that are not valid. The last three
// have names that say how the body is framed.
var malformedNames = []string{
	"Re port: a",
	"Report : a",
	"Report\t: a",
	"Re\x00port: a",
	"Re\x0bport: a",
	"\nReport: a",
	"\x7fReport: a",
	"Report\x1f: a",
	"Content-Length : 3",
	"Transfer-Encoding : chunked",
	"Transfer-Encoding: chunked\r\nTrailer : Sum",
}

// TestMalformedNameIsNotPassedOn guards against an answer in whose head, or in whose
// informational responses, a field has an invalid name.
func TestMalformedNameIsNotPassedOn(t *testing.T) {
	const body = "2\r\nok\r\n0\r\n\r\n"
	for _, line := range malformedNames {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			checkMalformed(t, "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n"+line+"\r\n\r\n"+body, false)
		})
		t.Run(fmt.Sprintf("%q/no length", line), func(t *testing.T) {
			checkMalformed(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n\r\n"+body, false)
		})
		t.Run(fmt.Sprintf("%q/informational", line), func(t *testing.T) {
			checkMalformed(t, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false)
		})
	}
}

// TestMalformedTrailerIsNotPassedOn guards against an answer in whose trailers a field has
// an invalid name.
func TestMalformedTrailerIsNotPassedOn(t *testing.T) {
	for _, line := range malformedNames[:8] {
		if line == "\nReport: a" {
			continue // the LF ends the trailers, and the body is whole
		}
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			checkMalformed(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"+line+"\r\n\r\n", true)
		})
	}
}

// TestEncodedOldAnswerIsNotPassedOn guards against an answer of HTTP/1.0 in chunks, which
// reached its caller as they stand on the wire (RFC 9112, section 6.1).
func TestEncodedOldAnswerIsNotPassedOn(t *testing.T) {
	const body = "2\r\nok\r\n0\r\n\r\n"
	for _, line := range []string{
		"Transfer-Encoding: chunked",
		"transfer-encoding:chunked",
		"Transfer-Encoding: chunked\r\nContent-Length: 12",
		"Content-Length: 12\r\nTransfer-Encoding: chunked",
		"Transfer-Encoding: gzip",
	} {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			checkMalformed(t, "HTTP/1.0 200 OK\r\n"+line+"\r\n\r\n"+body, false)
		})
	}
}
