package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
)

// readingForwarder reads the body of a call, as a target does, and fails with an
// error that names the target's address.
type readingForwarder struct {
	drainingForwarder

	calls int
}

const targetAddress = "10.0.0.9:8080"

// Forward implements fireflymoor.Forwarder.
func (f *readingForwarder) Forward(_ context.Context, _ fireflymoor.Target, in *http.Request) (*http.Response, fireflymoor.Outcome, error) {
	f.calls++
	_, err := io.ReadAll(in.Body)
	return nil, fireflymoor.Unknown, errors.Wrapf(errors.CombineErrors(err, io.ErrUnexpectedEOF), "sender %s: send", targetAddress)
}

// TestBrokenBody sends requests with a malformed chunk. The fault is the caller's:
// it must get status 400 at once, and no target may be ejected for it.
func TestBrokenBody(t *testing.T) {
	is := is.New(t)
	f := &readingForwarder{}
	h := newHandler(&f.drainingForwarder)
	h.options.Forwarder = f
	server := httptest.NewServer(h)
	defer server.Close()
	for range 50 {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		is.NoErr(err)
		is.NoErr(conn.SetDeadline(time.Now().Add(time.Second)))
		_, err = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcX\r\n")
		is.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusBadRequest)
		_ = conn.Close()
	}
	is.Equal(f.calls, 50) // one try each
	targets := f.View().Targets("a")
	is.Equal(len(h.options.Ejector.Filter(targets, 100, time.Now())), len(targets))
}

// TestReasonHidesAddresses checks that a caller is not told the addresses of
// targets.
func TestReasonHidesAddresses(t *testing.T) {
	is := is.New(t)
	f := &readingForwarder{}
	h := newHandler(&f.drainingForwarder)
	h.options.Forwarder = f
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/x", strings.NewReader("body")))
	is.Equal(w.Code, http.StatusBadGateway)
	is.True(!strings.Contains(w.Body.String(), targetAddress))
	for _, values := range w.Header() {
		is.True(!strings.Contains(strings.Join(values, " "), targetAddress))
	}
}
