package runner

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestEarlyAnswerDuringQuery guards against an upload that is cut off: the target's
// node was queried for the call, as its response took long, and reported the response
// over the connection of the query while the upload was still being sent.
func TestEarlyAnswerDuringQuery(t *testing.T) {
	const answerDelay = 800 * time.Millisecond // a query begins after 700 ms
	content := newUpload()
	for i := range 8 {
		for _, method := range []string{http.MethodPost, http.MethodPut} {
			u := upload{
				method:  method,
				chunked: i%2 == 0,
				answer:  6_000,
			}
			t.Run(u.name(), func(t *testing.T) {
				t.Parallel()
				received := make(chan error, 1)
				path := newCallPath(t, func(w http.ResponseWriter, request *http.Request) {
					if request.ContentLength == 0 {
						return
					}
					time.Sleep(answerDelay)
					answerEarly(w, http.StatusOK, u.answer)
					received <- compare(request.Body, content)
				})
				u.check(is.New(t), path.hosts(t)["two-nodes"], content, received)
			})
		}
	}
}
