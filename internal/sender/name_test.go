package sender

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
)

// exchange sends a request to a peer that responds with content and keeps its connection
// open. It returns the body of the response and checks that a connection with an error is
// not used again.
func exchange(t *testing.T, content string) (string, error) {
	t.Helper()
	is := is.New(t)
	address, _ := listen(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, err := readID(reader); err == nil {
			_, _ = io.WriteString(conn, content)
			_, _ = reader.ReadByte() // until the connection is closed
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	in, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://x/", http.NoBody)
	is.NoErr(err)
	transport := newTestTransport()
	response, outcome, err := Send(transport, Prepare(ctx, in, address, http.NoBody, 0))
	body := []byte{}
	if err == nil {
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	} else {
		is.Equal(outcome, fireflymoor.Unknown)
	}
	if err != nil {
		is.NoErr(ctx.Err()) // before the deadline
		is.True(transport.take(address) == nil)
	}
	return string(body), err
}

// TestInvalidFieldNames guards against a response with a field name that is not a token
// (RFC 9110, section 5.1), in its head, in an informational response before it and in its
// trailers.
func TestInvalidFieldNames(t *testing.T) {
	for b := range 256 {
		char := string([]byte{byte(b)})
		if char == ":" || isToken("a"+char) {
			continue
		}
		for place, name := range map[string]string{"inside": "Re" + char + "port", "end": "Report" + char, "begin": char + "Report"} {
			for part, content := range map[string]string{
				"head":          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n%s: a\r\n\r\nok",
				"informational": "HTTP/1.1 103 Early Hints\r\n%s: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
				"trailer":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n%s: a\r\n\r\n",
			} {
				isFolded := place == "begin" && strings.ContainsAny(char, " \t") // continues the line before
				endsTrailers := place == "begin" && char == "\n" && part == "trailer"
				if isFolded || endsTrailers {
					continue
				}
				t.Run(fmt.Sprintf("%s/%02x/%s", part, b, place), func(t *testing.T) {
					t.Parallel()
					_, err := exchange(t, fmt.Sprintf(content, name))
					is.New(t).True(err != nil)
				})
			}
		}
	}
}

// TestValidFieldNames checks that all characters of a token are accepted, and trailers
// that are announced and missing, folded lines, lines that end with LF, and a reason phrase
// in Latin-1.
func TestValidFieldNames(t *testing.T) {
	is := is.New(t)
	const name = "Aa9!#$%&'*+-.^_`|~"
	is.True(isToken(name))
	for _, content := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + name + ": a\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + name + ": a\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nFolded: a\r\n b: c\r\n\r\nok",
		"HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
		"HTTP/1.1  200 D\xe9j\xe0\tvu\r\nContent-Length: 2\r\n\r\nok",
	} {
		body, err := exchange(t, content)
		is.NoErr(err)
		is.Equal(body, "ok")
	}
}

// TestEncodedOldResponse guards against chunks that are taken for the body itself, however
// the head is divided among reads.
func TestEncodedOldResponse(t *testing.T) {
	const chunks = "2\r\nok\r\n0\r\n\r\n"
	for content, broken := range map[string]bool{
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks:                                                true,
		"HTTP/1.0 200 OK\nTRANSFER-ENCODING:chunked\nContent-Length: 2\n\nok":                                           true,
		"HTTP/1.0 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: identity\r\n\r\nok":                                 true,
		"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks:           true,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks:                                                false,
		"HTTP/1.0 200 OK\r\nContent-Length: 2\r\nTransfer-Encodings: chunked\r\nX: \r\n transfer-encoding: a\r\n\r\nok": false,
	} {
		for _, part := range []int{1, 7, len(content)} {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			in, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://x/", http.NoBody)
			is.NoErr(err)
			transport := NewTransport((&net.Dialer{}).DialContext, time.Minute)
			response, outcome, err := Send(transport, Prepare(ctx, in, answerer(t, content, part), http.NoBody, 0))
			is.Equal(err != nil, broken)
			is.NoErr(ctx.Err())
			if err == nil {
				body, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.Equal(string(body), "ok")
				is.NoErr(response.Body.Close())
			} else {
				is.Equal(outcome, fireflymoor.Unknown)
			}
			cancel()
		}
	}
}
