package runner

import (
	"bufio"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestStalledUploadIsRefused guards against callers that get no response: a target
// closed its connection without one, or the time for the call had passed, while the
// caller waited before it sent more. The server waited for the caller, too, before it
// wrote the refusal.
func TestStalledUploadIsRefused(t *testing.T) {
	content := newUpload()
	path := newCallPath(t, func(w http.ResponseWriter, request *http.Request) {
		first := int64(pieceBytes)
		if request.URL.Query().Get("answer") != "0" {
			first = uploadBytes // longer than the time for the call
		}
		_, _ = io.CopyN(io.Discard, request.Body, first)
		// The server of net/http would read on before it closes the connection.
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = conn.Close()
		}
	})
	for nodes, host := range path.hosts(t) {
		for _, method := range []string{http.MethodPost, http.MethodPut} {
			for _, chunked := range []bool{true, false} {
				for _, deadline := range []int{0, 200} {
					u := upload{
						method:   method,
						chunked:  chunked,
						answer:   deadline,
						deadline: deadline,
					}
					t.Run(nodes+"/"+u.name(), func(t *testing.T) {
						is := is.New(t)
						conn := u.begin(is, host)
						defer func() { _ = conn.Close() }()
						u.send(is, conn, content[:2*pieceBytes])
						response, err := http.ReadResponse(bufio.NewReader(conn), nil)
						is.NoErr(err)
						is.True(response.StatusCode >= http.StatusBadGateway)
					})
				}
			}
		}
	}
}
