package runner

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCallBesideEarlyAnswer guards against a call that waits for another: it was sent to
// another node on the connection of an upload that had been answered early, and that
// the target had yet to read.
func TestCallBesideEarlyAnswer(t *testing.T) {
	is := is.New(t)
	content := newUpload()[:256<<10]
	received := make(chan error, 1)
	answered := make(chan struct{})
	path := newCallPath(t, func(w http.ResponseWriter, request *http.Request) {
		if request.ContentLength == 0 {
			return
		}
		answerEarly(w, http.StatusOK, 10)
		select {
		case <-answered:
		case <-time.After(uploadTimeout):
		}
		received <- compare(request.Body, content)
	})
	host := path.hosts(t)["two-nodes"]
	u := upload{
		method: http.MethodPost,
		length: len(content),
	}
	conn := u.begin(is, host)
	defer func() { _ = conn.Close() }()
	_, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	u.send(is, conn, content)
	time.Sleep(100 * time.Millisecond) // for the connection to become idle
	client := &http.Client{
		Timeout: uploadTimeout / 2,
	}
	response, err := client.Get("http://" + host + "/x")
	is.NoErr(err) // while the target has not read the upload
	_ = response.Body.Close()
	close(answered)
	is.NoErr(awaitResult(received))
}

// TestTargetClosesAfterEarlyAnswer guards against connections of callers that break: a
// target responded, and closed its connection before it had read all. The server
// panicked when it found the end of the body after the call. The caller must be able to
// send another request.
func TestTargetClosesAfterEarlyAnswer(t *testing.T) {
	content := newUpload()[:128<<10]
	answered := make(chan struct{})
	path := newCallPath(t, func(w http.ResponseWriter, request *http.Request) {
		if request.ContentLength == 0 {
			return
		}
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			<-answered
			_ = conn.Close()
		}
	})
	for nodes, host := range path.hosts(t) {
		for _, chunked := range []bool{true, false} {
			u := upload{
				method:  http.MethodPost,
				chunked: chunked,
				length:  len(content),
			}
			t.Run(nodes+"/"+u.name(), func(t *testing.T) {
				is := is.New(t)
				conn := u.begin(is, host)
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				u.send(is, conn, content[:pieceBytes])
				response, err := http.ReadResponse(reader, nil)
				is.NoErr(err)
				_, err = io.Copy(io.Discard, response.Body)
				is.NoErr(err)
				answered <- struct{}{}
				u.sendAll(is, conn, content[pieceBytes:])
				_, err = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
				is.NoErr(err)
				response, err = http.ReadResponse(reader, nil)
				is.NoErr(err)
				is.Equal(response.StatusCode, http.StatusOK)
			})
		}
	}
}
