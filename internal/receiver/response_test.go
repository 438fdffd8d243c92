package receiver

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// brokenBody is a response body that breaks off.
type brokenBody struct {
	closes int
}

// Read implements io.Reader.
func (b *brokenBody) Read([]byte) (int, error) {
	return 0, io.ErrUnexpectedEOF
}

// Close implements io.Closer.
func (b *brokenBody) Close() error {
	b.closes++
	return nil
}

// TestBrokenBodyIsClosedOnce guards against a call whose end is counted twice, as the closers
// of response bodies release what the call holds.
func TestBrokenBodyIsClosedOnce(t *testing.T) {
	for name, length := range map[string]int{"short": 1, "long": 1 << 20} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body := &brokenBody{}
			response := &http.Response{
				StatusCode:    http.StatusOK,
				Header:        http.Header{},
				Body:          body,
				ContentLength: -1,
			}
			func() {
				defer func() {
					err, _ := recover().(error)
					is.True(errors.Is(err, http.ErrAbortHandler))
				}()
				defer func() { _ = response.Body.Close() }()
				request := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader(strings.Repeat("x", length)))
				Copy(httptest.NewRecorder(), request, response)
			}()
			is.Equal(body.closes, 1)
		})
	}
}
