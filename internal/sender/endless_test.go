package sender

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
)

const (
	endlessTimeout = time.Second
	// endlessLimit bounds what an endless peer can send: the head or what the
	// buffers of both sockets hold.
	endlessLimit = 8 << 20
)

// endless is the answer of a faulty peer: a beginning, and a part that it repeats
// until the connection is closed.
type endless struct {
	name  string
	begin string
	part  string
	pause time.Duration
	// hasHead is set if the answer has a proper head. The end of its body is
	// awaited by whoever reads it.
	hasHead bool
	// bounded is set if the part is bounded in spite of the head, because it is not
	// data of the body.
	bounded bool
}

var endlessAnswers = []endless{
	{
		name: "bytes that are no answer",
		part: strings.Repeat("x", 1000),
	},
	{
		name:  "a header line",
		begin: "HTTP/1.1 200 OK\r\nName: ",
		part:  strings.Repeat("x", 1000),
	},
	{
		name:  "header lines",
		begin: "HTTP/1.1 200 OK\r\n",
		part:  strings.Repeat("Name: value\r\n", 100),
	},
	{
		name: "informational responses",
		part: strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100),
	},
	{
		name:  "a header line, a byte at a time",
		begin: "HTTP/1.1 200 OK\r\nName: ",
		part:  "x",
		pause: 50 * time.Millisecond,
	},
	{
		name:    "a body without a length",
		begin:   "HTTP/1.1 200 OK\r\nTest-Id: a\r\n\r\n",
		part:    strings.Repeat("x", 1000),
		hasHead: true,
	},
	{
		name:    "a body, a byte at a time",
		begin:   "HTTP/1.1 200 OK\r\nTest-Id: a\r\nContent-Length: 1000000\r\n\r\n",
		part:    "x",
		pause:   50 * time.Millisecond,
		hasHead: true,
	},
	{
		name:    "chunks",
		begin:   "HTTP/1.1 200 OK\r\nTest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n",
		part:    strings.Repeat("1\r\nx\r\n", 100),
		hasHead: true,
	},
	{
		name:    "the size of a chunk",
		begin:   "HTTP/1.1 200 OK\r\nTest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n",
		part:    strings.Repeat("0", 1000),
		hasHead: true,
		bounded: true,
	},
	{
		name: "informational responses with header lines",
		part: "HTTP/1.1 103 Early Hints\r\n" + strings.Repeat("Name: value\r\n", 100) + "\r\n",
	},
	{
		name:    "the extension of a chunk",
		begin:   "HTTP/1.1 200 OK\r\nTest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n1;name=",
		part:    strings.Repeat("x", 1000),
		hasHead: true,
		bounded: true,
	},
	{
		name:    "chunks with extensions",
		begin:   "HTTP/1.1 200 OK\r\nTest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n",
		part:    strings.Repeat("1;name="+strings.Repeat("x", 1000)+"\r\nx\r\n", 10),
		hasHead: true,
		bounded: true,
	},
	{
		name:    "a trailer line",
		begin:   "HTTP/1.1 200 OK\r\nTest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nName: ",
		part:    strings.Repeat("x", 1000),
		hasHead: true,
		bounded: true,
	},
	{
		name:    "trailers",
		begin:   "HTTP/1.1 200 OK\r\nTest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
		part:    strings.Repeat("Name: value\r\n", 100),
		hasHead: true,
		bounded: true,
	},
	{
		name:    "an answer to another request",
		begin:   "HTTP/1.1 200 OK\r\nTest-Id: b\r\nContent-Length: 1000000000000\r\n\r\n",
		part:    strings.Repeat("x", 1000),
		hasHead: false,
	},
	{
		name: "answers to other requests",
		part: strings.Repeat("HTTP/1.1 200 OK\r\nTest-Id: b\r\nContent-Length: 0\r\n\r\n", 20),
	},
}

// TestEndlessAnswers checks that an answer without end, from a peer in trouble,
// costs a bounded amount of memory and time, is never taken for a complete one,
// and that its connection is closed and not used again.
func TestEndlessAnswers(t *testing.T) {
	for _, answer := range endlessAnswers {
		t.Run(answer.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var written atomic.Int64
			closed := make(chan struct{}, 2)
			address, opened := listen(t, func(conn net.Conn, reader *bufio.Reader) {
				defer func() { closed <- struct{}{} }()
				if _, err := readID(reader); err != nil {
					return
				}
				_, err := io.WriteString(conn, answer.begin)
				for err == nil {
					_, err = io.WriteString(conn, answer.part)
					written.Add(int64(len(answer.part)))
					time.Sleep(answer.pause)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
			defer cancel()
			in, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://x/", http.NoBody)
			is.NoErr(err)
			in.Header.Set(idHeader, "a")
			transport := newTestTransport()
			began := time.Now()
			response, outcome, err := Send(transport, Prepare(ctx, in, address, http.NoBody, 0))
			if answer.hasHead {
				is.NoErr(err)
				_, err = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				outcome = fireflymoor.Unknown
			}
			is.True(err != nil)
			is.Equal(outcome, fireflymoor.Unknown)
			is.True(time.Since(began) < 2*endlessTimeout)
			if !answer.hasHead || answer.bounded {
				is.True(written.Load() < endlessLimit)
			}
			select {
			case <-closed:
			case <-time.After(endlessTimeout):
				t.Error("the connection is still open")
			}
			is.Equal(opened.Load(), int64(1))
			is.True(transport.take(address) == nil)
		})
	}
}
