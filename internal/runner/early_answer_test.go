package runner

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor/internal/annotator"
)

const (
	// uploadBytes is the length of an upload, and pieceBytes that of the pieces in
	// which it is sent, with pieceInterval in between.
	uploadBytes   = 512 << 10
	pieceBytes    = 8 << 10
	pieceInterval = time.Millisecond
	// uploadTimeout is the time for one upload, below the route's timeout.
	uploadTimeout = 5 * time.Second
)

// newUpload returns the content of an upload, in which all blocks differ.
func newUpload() []byte {
	content := &bytes.Buffer{}
	for content.Len() < uploadBytes {
		_, _ = fmt.Fprintf(content, "%015d\n", content.Len())
	}
	return content.Bytes()
}

// upload is a request whose body is sent in pieces.
type upload struct {
	method  string
	chunked bool
	// answer is the number of bytes of the target's response.
	answer int
	// status is the status of the target's response if it is not 200, and length the
	// number of bytes of the body if it is not uploadBytes.
	status, length int
	// deadline is the time for the call in milliseconds, or 0.
	deadline int
	// expect is set if the caller asks whether to continue with the body.
	expect bool
}

func (u upload) name() string {
	framing := "length"
	if u.chunked {
		framing = "chunks"
	}
	return fmt.Sprintf("%s/%s/%d", u.method, framing, u.answer)
}

// begin connects to an address and sends the head of the upload.
func (u upload) begin(is *is.I, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	is.NoErr(conn.SetDeadline(time.Now().Add(uploadTimeout)))
	framing := fmt.Sprintf("Content-Length: %d", cmp.Or(u.length, uploadBytes))
	if u.chunked {
		framing = "Transfer-Encoding: chunked"
	}
	if u.deadline > 0 {
		framing += fmt.Sprintf("\r\n%s: %d", annotator.Deadline, u.deadline)
	}
	if u.expect {
		framing += "\r\nExpect: 100-continue"
	}
	_, err = fmt.Fprintf(conn, "%s /x?answer=%d HTTP/1.1\r\nHost: a\r\n%s\r\n\r\n", u.method, u.answer, framing)
	is.NoErr(err)
	return conn
}

// send sends a part of the content.
func (u upload) send(is *is.I, to io.Writer, content []byte) {
	for len(content) > 0 {
		piece := content[:min(pieceBytes, len(content))]
		content = content[len(piece):]
		if u.chunked {
			piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
		}
		_, err := to.Write(piece)
		is.NoErr(err)
		time.Sleep(pieceInterval)
	}
}

// end sends the end of the upload.
func (u upload) end(is *is.I, to io.Writer) {
	if u.chunked {
		_, err := io.WriteString(to, "0\r\n\r\n")
		is.NoErr(err)
	}
}

// sendAll sends the rest of the content and the end of the upload.
func (u upload) sendAll(is *is.I, to io.Writer, content []byte) {
	u.send(is, to, content)
	u.end(is, to)
}

// TestEarlyAnswer guards against uploads that reach a target with pieces missing:
// after the target had answered early, the server discarded what the target had yet
// to read. The caller must get the response before it has sent all, and the target
// must get the whole body.
func TestEarlyAnswer(t *testing.T) {
	received := make(chan error, 1)
	content := newUpload()
	path := newCallPath(t, func(w http.ResponseWriter, request *http.Request) {
		if request.ContentLength == 0 {
			return
		}
		answer, _ := strconv.Atoi(request.URL.Query().Get("answer"))
		controller := http.NewResponseController(w)
		_ = controller.EnableFullDuplex()
		w.Header().Set("Content-Length", strconv.Itoa(answer))
		_, _ = io.WriteString(w, strings.Repeat("x", answer))
		_ = controller.Flush()
		body, err := io.ReadAll(request.Body)
		if err == nil && !bytes.Equal(body, content) {
			err = fmt.Errorf("%d of %d bytes, or others", len(body), len(content))
		}
		received <- err
	})
	for name, target := range map[string]string{"one-node": path.oneNode, "two-nodes": path.twoNodes} {
		address, err := url.Parse(target)
		if err != nil {
			t.Fatal(err)
		}
		for _, method := range []string{http.MethodPost, http.MethodPut} {
			for _, answer := range []int{0, 6_000, 70_000} {
				for _, chunked := range []bool{true, false} {
					u := upload{
						method:  method,
						chunked: chunked,
						answer:  answer,
					}
					t.Run(name+"/"+u.name(), func(t *testing.T) {
						u.check(is.New(t), address.Host, content, received)
					})
				}
			}
		}
	}
}

// check sends the upload while it reads the response, and the last piece only after
// the response. It checks both ends, and that the connection can carry another
// request.
func (u upload) check(is *is.I, address string, content []byte, received <-chan error) {
	conn := u.begin(is, address)
	defer func() { _ = conn.Close() }()
	last := uploadBytes - pieceBytes
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		u.send(is, conn, content[:last])
	}()
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, cmp.Or(u.status, http.StatusOK))
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(len(body), u.answer)
	<-sent
	u.send(is, conn, content[last:])
	u.end(is, conn)
	select {
	case err := <-received:
		is.NoErr(err) // the target reads the whole body
	case <-time.After(uploadTimeout):
		is.Fail() // the target has read the body
	}
	_, err = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	response, err = http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
}
