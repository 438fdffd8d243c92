package runner

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor/internal/annotator"
)

const (
	// brokenUploadBytes is the length of an upload that its target does not read.
	brokenUploadBytes = 4 << 20
	// brokenCallTimeout bounds one call whose response breaks off.
	brokenCallTimeout = 5 * time.Second
)

// rawAnswer is what a target sends in response to a request whose body it does not read.
type rawAnswer struct {
	content string
	// delay is the time between the content and the reset of the connection.
	delay time.Duration
	// ordered is set if the target closes its side of the connection before it resets
	// the connection.
	ordered bool
	// open is set if the target keeps the connection open until its peer closes it.
	open bool
}

// rawTarget is a target that sends answers without regard to HTTP.
type rawTarget struct {
	listener net.Listener
	answer   atomic.Pointer[rawAnswer]
}

// newRawTarget starts a target.
func newRawTarget(t testing.TB) *rawTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	target := &rawTarget{
		listener: listener,
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go target.serve(conn.(*net.TCPConn))
		}
	}()
	return target
}

func (r *rawTarget) address() string {
	return r.listener.Addr().String()
}

func (r *rawTarget) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	if _, err := http.ReadRequest(reader); err != nil {
		return
	}
	answer := r.answer.Load()
	_, _ = io.WriteString(conn, answer.content)
	if answer.open {
		_, _ = io.Copy(io.Discard, reader)
		return
	}
	time.Sleep(answer.delay)
	if answer.ordered {
		_ = conn.CloseWrite()
	}
	_ = conn.SetLinger(0)
}

// rawCall is a call over a raw connection.
type rawCall struct {
	// protocol is the minor version of HTTP/1.
	protocol int
	// upload is set if the call has a body of brokenUploadBytes, which is written while
	// the response is read, and chunked if the body is sent in chunks.
	upload, chunked bool
}

// result is what a caller knows of its call.
type result struct {
	status int
	// outcome is what the node says of the call.
	outcome string
	body    string
	// err is the error that the caller has seen, or nil if the response looks complete.
	err error
}

// do makes the call.
func (c rawCall) do(t testing.TB, host string) result {
	t.Helper()
	conn, err := net.Dial("tcp", host)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(brokenCallTimeout))
	head := fmt.Sprintf("POST /x HTTP/1.%d\r\nHost: a\r\n", c.protocol)
	switch {
	case c.chunked:
		head += "Transfer-Encoding: chunked\r\n"
	case c.upload:
		head += fmt.Sprintf("Content-Length: %d\r\n", brokenUploadBytes)
	}
	if _, err := io.WriteString(conn, head+"\r\n"); err != nil {
		t.Fatal(err)
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		if c.upload {
			c.writeBody(conn)
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return result{
			err: err,
		}
	}
	body, err := io.ReadAll(response.Body)
	_ = conn.Close()
	<-written
	return result{
		status:  response.StatusCode,
		outcome: response.Header.Get(annotator.Outcome),
		body:    string(body),
		err:     err,
	}
}

// writeBody writes as much of the body as it can.
func (c rawCall) writeBody(to io.Writer) {
	piece := strings.Repeat("u", 32<<10)
	for range brokenUploadBytes / len(piece) {
		data := piece
		if c.chunked {
			data = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := io.WriteString(to, data); err != nil {
			return
		}
	}
	if c.chunked {
		_, _ = io.WriteString(to, "0\r\n\r\n")
	}
}

// name describes the call.
func (c rawCall) name() string {
	framing := "none"
	switch {
	case c.chunked:
		framing = "chunks"
	case c.upload:
		framing = "length"
	}
	return fmt.Sprintf("1.%d/upload-%s", c.protocol, framing)
}

// chunk returns data as a chunk.
func chunk(data string) string {
	if data == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(data), data)
}

// brokenFramings are heads of responses whose bodies break off, by how the end of the body
// is known.
var brokenFramings = map[string]string{
	"end":       "HTTP/1.1 %s\r\n\r\n",
	"end-close": "HTTP/1.1 %s\r\nConnection: close\r\n\r\n",
	"end-1.0":   "HTTP/1.0 %s\r\n\r\n",
	"chunks":    "HTTP/1.1 %s\r\nTransfer-Encoding: chunked\r\n\r\n",
	"length":    "HTTP/1.1 %s\r\nContent-Length: 100000\r\n\r\n",
}

// brokenAnswers returns answers that break off after parts of several sizes.
func brokenAnswers(framing string) []rawAnswer {
	answers := []rawAnswer{}
	add := func(status string, size int, delay time.Duration) {
		part := strings.Repeat("x", size)
		if framing == "chunks" {
			part = chunk(part)
		}
		answers = append(answers, rawAnswer{
			content: fmt.Sprintf(brokenFramings[framing], status) + part,
			delay:   delay,
		})
	}
	for _, size := range []int{0, 19, 30_704} {
		for _, delay := range []time.Duration{0, 5 * time.Millisecond, 60 * time.Millisecond} {
			add("200 OK", size, delay)
		}
		add("201 Created", size, 0)
		add("500 Internal Server Error", size, 0)
	}
	return answers
}

// longPart is the size of a part that is too long to be held back until its end is known.
const longPart = 200_000

// TestBrokenLongAnswer guards against an answer to an HTTP/1.0 caller that broke off after
// its head had been sent, and looks complete.
func TestBrokenLongAnswer(t *testing.T) {
	target := newRawTarget(t)
	path := newCallPathTo(t, target.address())
	for nodes, host := range path.hosts(t) {
		for framing, head := range brokenFramings {
			if framing == "length" {
				continue
			}
			t.Run(nodes+"/"+framing, func(t *testing.T) {
				is := is.New(t)
				part := strings.Repeat("x", longPart)
				if framing == "chunks" {
					part = chunk(part)
				}
				for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
					target.answer.Store(&rawAnswer{
						content: fmt.Sprintf(head, "200 OK") + part,
						delay:   delay,
					})
					err := rawCall{}.do(t, host).err
					is.True(err != nil)      // a broken answer looks complete
					is.True(!isTimeout(err)) // the caller is still waiting
				}
			})
		}
	}
}

// TestWholeAnswerToOldCaller checks that an HTTP/1.0 caller gets answers of all lengths
// whole, and those that are held back with their length.
func TestWholeAnswerToOldCaller(t *testing.T) {
	const held = 64 << 10
	path := newCallPath(t, func(w http.ResponseWriter, request *http.Request) {
		length, _ := strconv.Atoi(request.URL.Query().Get("length"))
		_ = http.NewResponseController(w).Flush() // the response has no length
		_, _ = io.WriteString(w, strings.Repeat("x", length))
	})
	for nodes, host := range path.hosts(t) {
		for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodHead} {
			for _, length := range []int{0, 19, held, held + 1, longPart} {
				t.Run(fmt.Sprintf("%s/%s/%d", nodes, method, length), func(t *testing.T) {
					is := is.New(t)
					conn, err := net.Dial("tcp", host)
					is.NoErr(err)
					defer func() { _ = conn.Close() }()
					is.NoErr(conn.SetDeadline(time.Now().Add(brokenCallTimeout)))
					_, err = fmt.Fprintf(conn, "%s /x?length=%d HTTP/1.0\r\n\r\n", method, length)
					is.NoErr(err)
					response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
					is.NoErr(err)
					is.Equal(response.StatusCode, http.StatusOK)
					body, err := io.ReadAll(response.Body)
					is.NoErr(err)
					if method == http.MethodHead {
						is.Equal(response.Header.Get("Content-Length"), "")
						return
					}
					is.Equal(len(body), length)
					is.Equal(response.ContentLength == int64(length), length <= held)
				})
			}
		}
	}
}

// TestBrokenAnswerIsTriedAgain checks that a call of an HTTP/1.0 caller whose answer broke
// off is sent to another target if it may repeat, and only then.
func TestBrokenAnswerIsTriedAgain(t *testing.T) {
	for method, expected := range map[string]int{http.MethodGet: http.StatusOK, http.MethodPost: http.StatusBadGateway} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			var tries atomic.Int64
			serve := func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
				if tries.Add(1) == 1 {
					panic(http.ErrAbortHandler)
				}
			}
			path := newCallPath(t, serve, serve)
			for _, host := range path.hosts(t) {
				tries.Store(0)
				conn, err := net.Dial("tcp", host)
				is.NoErr(err)
				defer func() { _ = conn.Close() }()
				is.NoErr(conn.SetDeadline(time.Now().Add(brokenCallTimeout)))
				_, err = fmt.Fprintf(conn, "%s /x HTTP/1.0\r\n\r\n", method)
				is.NoErr(err)
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				is.NoErr(err)
				is.Equal(response.StatusCode, expected)
				is.Equal(tries.Load() > 1, method == http.MethodGet)
			}
		})
	}
}

// TestBrokenAnswer guards against answers that broke off and look complete to the caller.
func TestBrokenAnswer(t *testing.T) {
	for _, call := range []rawCall{
		{protocol: 1},
		{protocol: 1, upload: true},
		{protocol: 1, upload: true, chunked: true},
		{protocol: 0},
		{protocol: 0, upload: true},
	} {
		target := newRawTarget(t)
		path := newCallPathTo(t, target.address())
		for nodes, host := range path.hosts(t) {
			for framing := range brokenFramings {
				t.Run(fmt.Sprintf("%s/%s/%s", nodes, call.name(), framing), func(t *testing.T) {
					is := is.New(t)
					complete := 0
					for _, answer := range brokenAnswers(framing) {
						target.answer.Store(&answer)
						r := call.do(t, host)
						if r.err == nil && r.status != http.StatusBadGateway {
							complete++
						}
						is.True(!isTimeout(r.err)) // the caller is still waiting
					}
					is.Equal(complete, 0) // broken answers that look complete
				})
			}
		}
	}
}

// TestWholeAnswerBesideReset guards against answers that are lost although they have arrived
// whole: the target resets the connection while an upload is being written, without a
// length after it has closed its side of the connection in order.
func TestWholeAnswerBesideReset(t *testing.T) {
	const tries = 20
	body := strings.Repeat("x", 19)
	answers := map[string]rawAnswer{
		"length": {content: "HTTP/1.1 200 OK\r\nContent-Length: 19\r\n\r\n" + body},
		"chunks": {content: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n"},
		"end":    {content: "HTTP/1.1 200 OK\r\n\r\n" + body, ordered: true},
	}
	for _, call := range []rawCall{{protocol: 1, upload: true}, {protocol: 1, upload: true, chunked: true}} {
		target := newRawTarget(t)
		path := newCallPathTo(t, target.address())
		for nodes, host := range path.hosts(t) {
			for framing, answer := range answers {
				t.Run(fmt.Sprintf("%s/%s/%s", nodes, call.name(), framing), func(t *testing.T) {
					is := is.New(t)
					lost := 0
					for i := range tries {
						sent := answer
						sent.delay = time.Duration(i%2) * 5 * time.Millisecond
						target.answer.Store(&sent)
						if r := call.do(t, host); r.err != nil || r.body != body {
							t.Logf("try %d: status %d, %d bytes, %v", i, r.status, len(r.body), r.err)
							lost++
						}
					}
					is.Equal(lost, 0) // whole answers that were lost
				})
			}
		}
	}
}

// isTimeout reports whether a caller has waited until its deadline.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// TestBrokenAnswerOverHTTP2 checks that an answer that broke off ends its stream with an
// error.
func TestBrokenAnswerOverHTTP2(t *testing.T) {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{
		Transport: &http.Transport{Protocols: protocols},
		Timeout:   brokenCallTimeout,
	}
	target := newRawTarget(t)
	path := newCallPathTo(t, target.address())
	for nodes, host := range path.hosts(t) {
		for framing := range brokenFramings {
			for _, size := range []int{0, brokenUploadBytes} {
				t.Run(fmt.Sprintf("%s/%s/%d", nodes, framing, size), func(t *testing.T) {
					is := is.New(t)
					for _, answer := range brokenAnswers(framing) {
						target.answer.Store(&answer)
						response, err := client.Post("http://"+host+"/x", "", bytes.NewReader(make([]byte, size)))
						if err == nil {
							is.Equal(response.ProtoMajor, 2)
							_, err = io.ReadAll(response.Body)
							_ = response.Body.Close()
							is.True(err != nil || response.StatusCode == http.StatusBadGateway) // a part looks complete
						}
						is.True(!isTimeout(err)) // the caller is still waiting
					}
				})
			}
		}
	}
}
