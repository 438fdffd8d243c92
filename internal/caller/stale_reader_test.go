package caller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
)

// lateForwarder fails the first try of a call after it has read a part of the body,
// and reads once more, as a transport whose connection was closed does until its next
// write fails. It reads the body of the second try to its end.
type lateForwarder struct {
	drainingForwarder

	// readFirst is the number of bytes that the first try reads, and readLate that
	// of those it reads after a delay.
	readFirst, readLate int
	delay               time.Duration
	tries               int
	received            []byte
	err                 error
}

// View implements fireflymoor.Viewer.
func (f *lateForwarder) View() fireflymoor.View {
	view := f.drainingForwarder.View()
	configuration := view.Configuration()
	route := configuration.Routes()[0]
	route.Idempotent = []string{http.MethodPut}
	route.MaxBody = 1 << 20
	return view.WithConfiguration(fireflymoor.NewConfiguration("team",
		configuration.Services(), []fireflymoor.Route{route}, configuration.Limits()).WithNumber(1))
}

// Forward implements fireflymoor.Forwarder.
func (f *lateForwarder) Forward(_ context.Context, _ fireflymoor.Target, in *http.Request) (*http.Response, fireflymoor.Outcome, error) {
	f.tries++
	if f.tries == 1 {
		source := in.Body
		_, _ = io.CopyN(io.Discard, source, int64(f.readFirst))
		go func() {
			time.Sleep(f.delay)
			_, _ = source.Read(make([]byte, f.readLate))
		}()
		return nil, fireflymoor.Unknown, errTargetFailed
	}
	f.received, f.err = io.ReadAll(in.Body)
	return &http.Response{
		StatusCode: http.StatusOK,
		Header:     http.Header{},
		Body:       http.NoBody,
	}, fireflymoor.Answered, nil
}

// TestLateReadOfEarlierTry guards against bodies that reach the second target of a
// call with a piece missing: the transport of the first try read more than is kept
// for further tries, after it had been checked that all of the body was kept. The
// second target must get the whole body, or the call must not be tried again.
func TestLateReadOfEarlierTry(t *testing.T) {
	is := is.New(t)
	content := &bytes.Buffer{}
	for content.Len() < 2*maxReplayBytes {
		_, _ = fmt.Fprintf(content, "%015d\n", content.Len())
	}
	retried := 0
	for i := range 60 {
		f := &lateForwarder{
			readFirst: maxReplayBytes - 8<<10,
			readLate:  16 << 10,
			delay:     time.Duration(i) * 50 * time.Microsecond,
		}
		h := newHandler(&f.drainingForwarder)
		h.options.Viewer = f
		h.options.Forwarder = f
		request := httptest.NewRequest(http.MethodPut, "/x", io.MultiReader(bytes.NewReader(content.Bytes())))
		request.ContentLength = -1
		h.ServeHTTP(httptest.NewRecorder(), request)
		if f.tries > 1 {
			retried++
			is.NoErr(f.err)
			is.Equal(len(f.received), content.Len())
			is.True(bytes.Equal(f.received, content.Bytes()))
		}
	}
	is.True(retried > 0)
}
