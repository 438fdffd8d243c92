package runner

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// hosts returns the addresses of the paths over one and over two nodes.
func (p callPath) hosts(t *testing.T) map[string]string {
	t.Helper()
	hosts := map[string]string{}
	for name, path := range map[string]string{"one-node": p.oneNode, "two-nodes": p.twoNodes} {
		u, err := url.Parse(path)
		if err != nil {
			t.Fatal(err)
		}
		hosts[name] = u.Host
	}
	return hosts
}

// answerEarly writes a response of a number of bytes and leaves the request to be
// read afterwards.
func answerEarly(w http.ResponseWriter, status, answer int) {
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex()
	w.Header().Set("Content-Length", strconv.Itoa(answer))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, strings.Repeat("x", answer))
	_ = controller.Flush()
}

// compare returns an error if a body is not read to its end or differs from the
// content.
func compare(source io.Reader, content []byte) error {
	body, err := io.ReadAll(source)
	if err != nil {
		return fmt.Errorf("after %d of %d bytes: %w", len(body), len(content), err)
	}
	if !bytes.Equal(body, content) {
		return fmt.Errorf("%d of %d bytes, or others", len(body), len(content))
	}
	return nil
}

// awaitResult returns what a target received.
func awaitResult(received <-chan error) error {
	select {
	case err := <-received:
		return err
	case <-time.After(uploadTimeout):
		return context.DeadlineExceeded
	}
}

// TestRetryOfUpload has the first target fail an upload early, while its body is still
// being sent, for bodies around the length that is kept for further tries. A target
// that reads a body to its end must have read all of it.
func TestRetryOfUpload(t *testing.T) {
	const kept = 64 << 10
	content := newUpload()
	for _, length := range []int{kept - 1, kept, kept + 1, kept + 16<<10} {
		for _, chunked := range []bool{true, false} {
			tries := atomic.Int64{}
			// The two targets may end in either order.
			received := []chan error{make(chan error, 1), make(chan error, 1)}
			serve := func(w http.ResponseWriter, request *http.Request) {
				try := tries.Add(1)
				if try == 1 {
					_, _ = io.ReadFull(request.Body, make([]byte, kept/2))
					answerEarly(w, http.StatusInternalServerError, 10)
				}
				received[try-1] <- compare(request.Body, content[:length])
			}
			path := newCallPath(t, serve, serve)
			for nodes, host := range path.hosts(t) {
				t.Run(fmt.Sprintf("%s/%d/%t", nodes, length, chunked), func(t *testing.T) {
					is := is.New(t)
					tries.Store(0)
					u := upload{
						method:  http.MethodPut,
						chunked: chunked,
						length:  length,
					}
					conn := u.begin(is, host)
					defer func() { _ = conn.Close() }()
					u.send(is, conn, content[:length])
					u.end(is, conn)
					response, err := http.ReadResponse(bufio.NewReader(conn), nil)
					is.NoErr(err)
					is.True(awaitResult(received[0]) != nil) // the first target had read a part before
					if tries.Load() > 1 {
						is.Equal(response.StatusCode, http.StatusOK)
						is.NoErr(awaitResult(received[1]))
					}
				})
			}
		}
	}
}

// TestCallerLeavesAfterUpload guards against an upload whose end is cut off: the caller
// had sent all, got the response and closed its connection, or its side of it, while
// the target had yet to read the last pieces.
func TestCallerLeavesAfterUpload(t *testing.T) {
	const pause = 20 * time.Microsecond
	content := bytes.Repeat(newUpload(), 4)
	closed := make(chan struct{}, 1)
	received := make(chan error, 1)
	path := newCallPath(t, func(w http.ResponseWriter, request *http.Request) {
		answerEarly(w, http.StatusOK, 10)
		<-closed
		received <- compare(&slowReader{
			source: request.Body,
			pause:  pause,
		}, content)
	})
	for nodes, host := range path.hosts(t) {
		for _, method := range []string{http.MethodPost, http.MethodPut} {
			for _, half := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%s/%t", nodes, method, half), func(t *testing.T) {
					is := is.New(t)
					u := upload{
						method: method,
						length: len(content),
					}
					conn := u.begin(is, host)
					defer func() { _ = conn.Close() }()
					response, err := http.ReadResponse(bufio.NewReader(conn), nil)
					is.NoErr(err)
					is.Equal(response.StatusCode, http.StatusOK)
					closed <- struct{}{}
					_, err = conn.Write(content)
					is.NoErr(err)
					if half {
						is.NoErr(conn.(*net.TCPConn).CloseWrite())
					} else {
						is.NoErr(conn.Close())
					}
					is.NoErr(awaitResult(received))
				})
			}
		}
	}
}

// slowReader reads small pieces, with a pause before each.
type slowReader struct {
	source io.Reader
	pause  time.Duration
}

// Read implements io.Reader.
func (r *slowReader) Read(p []byte) (int, error) {
	time.Sleep(r.pause)
	return r.source.Read(p[:min(len(p), pieceBytes)])
}

// TestAnswerBeforeBody has a target respond before the caller has sent a byte of the
// body, or after it has sent some and waits. The caller must get the response although
// it sends no more until then.
func TestAnswerBeforeBody(t *testing.T) {
	content := newUpload()[:192<<10]
	for _, sentFirst := range []int{0, 96 << 10} {
		for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
			received := make(chan error, 1)
			path := newCallPath(t, func(w http.ResponseWriter, request *http.Request) {
				first := make([]byte, sentFirst)
				_, _ = io.ReadFull(request.Body, first)
				answerEarly(w, status, 70_000)
				received <- compare(io.MultiReader(bytes.NewReader(first), request.Body), content)
			})
			for nodes, host := range path.hosts(t) {
				for _, method := range []string{http.MethodPost, http.MethodDelete} {
					for _, chunked := range []bool{true, false} {
						u := upload{
							method:  method,
							chunked: chunked,
							length:  len(content),
						}
						t.Run(fmt.Sprintf("%s/%s/%d/%d", nodes, u.name(), sentFirst, status), func(t *testing.T) {
							is := is.New(t)
							conn := u.begin(is, host)
							defer func() { _ = conn.Close() }()
							u.send(is, conn, content[:sentFirst])
							response, err := http.ReadResponse(bufio.NewReader(conn), nil)
							is.NoErr(err)
							is.Equal(response.StatusCode, status)
							body, err := io.ReadAll(response.Body)
							is.NoErr(err)
							is.Equal(len(body), 70_000)
							u.sendAll(is, conn, content[sentFirst:])
							is.NoErr(awaitResult(received))
						})
					}
				}
			}
		}
	}
}

// TestCallerLeavesDuringUpload has a caller leave, or its call's time pass, before it
// has sent all. The target must not take what it got for the whole body.
func TestCallerLeavesDuringUpload(t *testing.T) {
	content := newUpload()
	received := make(chan error, 1)
	path := newCallPath(t, func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Query().Get("answer") != "0" {
			answerEarly(w, http.StatusOK, 6_000)
		}
		_, err := io.ReadAll(request.Body)
		received <- err
	})
	for nodes, host := range path.hosts(t) {
		for _, chunked := range []bool{true, false} {
			for _, answer := range []int{0, 6_000} {
				for _, deadline := range []int{0, 100} {
					u := upload{
						method:   http.MethodPost,
						chunked:  chunked,
						answer:   answer,
						deadline: deadline,
					}
					t.Run(fmt.Sprintf("%s/%s/%d", nodes, u.name(), deadline), func(t *testing.T) {
						is := is.New(t)
						conn := u.begin(is, host)
						defer func() { _ = conn.Close() }()
						part := &bytes.Buffer{}
						u.send(is, part, content[:200<<10])
						_, _ = conn.Write(part.Bytes()) // fails if the time has passed
						if deadline == 0 {
							is.NoErr(conn.Close())
						}
						err := awaitResult(received)
						is.True(err != nil) // the body is incomplete
						is.True(err != context.DeadlineExceeded)
					})
				}
			}
		}
	}
}

// TestEarlyAnswerContinue has a caller send its upload only when it is asked to
// continue.
func TestEarlyAnswerContinue(t *testing.T) {
	content := newUpload()
	received := make(chan error, 1)
	path := newCallPath(t, func(w http.ResponseWriter, request *http.Request) {
		answerEarly(w, http.StatusOK, 6_000)
		received <- compare(request.Body, content)
	})
	for nodes, host := range path.hosts(t) {
		for _, chunked := range []bool{true, false} {
			u := upload{
				method:  http.MethodPost,
				chunked: chunked,
				expect:  true,
			}
			t.Run(nodes+"/"+u.name(), func(t *testing.T) {
				is := is.New(t)
				conn := u.begin(is, host)
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				response, err := http.ReadResponse(reader, nil)
				is.NoErr(err)
				if response.StatusCode == http.StatusContinue {
					u.send(is, conn, content[:uploadBytes/2])
					response, err = http.ReadResponse(reader, nil)
					is.NoErr(err)
					is.Equal(response.StatusCode, http.StatusOK)
					u.sendAll(is, conn, content[uploadBytes/2:])
				} else {
					u.sendAll(is, conn, content)
				}
				is.NoErr(awaitResult(received))
			})
		}
	}
}

// TestEarlyAnswerHTTP2 has a caller send an upload over HTTP/2, read the response,
// and then send the rest or reset the stream.
func TestEarlyAnswerHTTP2(t *testing.T) {
	content := newUpload()
	received := make(chan error, 1)
	path := newCallPath(t, func(w http.ResponseWriter, request *http.Request) {
		answerEarly(w, http.StatusOK, 70_000)
		received <- compare(request.Body, content)
	})
	transport := &http.Transport{
		Protocols: &http.Protocols{},
	}
	transport.Protocols.SetUnencryptedHTTP2(true)
	defer transport.CloseIdleConnections()
	for nodes, host := range path.hosts(t) {
		for _, length := range []int64{-1, uploadBytes} {
			for _, reset := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%d/%t", nodes, length, reset), func(t *testing.T) {
					is := is.New(t)
					ctx, cancel := context.WithTimeout(t.Context(), uploadTimeout)
					defer cancel()
					source, sink := io.Pipe()
					request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+"/x", source)
					is.NoErr(err)
					request.ContentLength = length
					go func() {
						_, _ = sink.Write(content[:uploadBytes/2])
					}()
					response, err := transport.RoundTrip(request)
					is.NoErr(err)
					is.Equal(response.StatusCode, http.StatusOK)
					// The server ends the stream only after the upload.
					_, err = io.CopyN(io.Discard, response.Body, 70_000)
					is.NoErr(err)
					if reset {
						cancel()
						_ = sink.CloseWithError(context.Canceled) // the transport waits for it
						err := awaitResult(received)
						is.True(err != nil) // the body is incomplete
						is.True(err != context.DeadlineExceeded)
						return
					}
					_, err = sink.Write(content[uploadBytes/2:])
					is.NoErr(err)
					is.NoErr(sink.Close())
					is.NoErr(awaitResult(received))
				})
			}
		}
	}
}
