package runner

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestEarlyFailure guards against an upload that is cut off: a target responded with
// status 500 before it had read all, so much had been read that the call could not be
// sent to another target, and the connection to the target was closed.
func TestEarlyFailure(t *testing.T) {
	const readFirst = 100 << 10
	content := newUpload()
	for name, chunked := range map[string]bool{"length": false, "chunks": true} {
		for _, method := range []string{http.MethodPost, http.MethodPut} {
			received := make(chan error, 1)
			path := newCallPath(t, func(w http.ResponseWriter, request *http.Request) {
				if request.ContentLength == 0 {
					return
				}
				first := make([]byte, readFirst)
				_, _ = io.ReadFull(request.Body, first)
				answerEarly(w, http.StatusInternalServerError, 6_000)
				received <- compare(io.MultiReader(bytes.NewReader(first), request.Body), content)
			})
			u := upload{
				method:  method,
				chunked: chunked,
				answer:  6_000,
				status:  http.StatusInternalServerError,
			}
			for nodes, host := range path.hosts(t) {
				t.Run(nodes+"/"+method+"/"+name, func(t *testing.T) {
					u.check(is.New(t), host, content, received)
				})
			}
		}
	}
}
