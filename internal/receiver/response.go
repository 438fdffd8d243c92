package receiver

import (
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/annotator"
	"github.com/fireflymoor/fireflymoor/internal/sender"
)

// bufferSize is the size of the buffers for copying response bodies, in bytes.
const bufferSize = 32 << 10

var buffers = sync.Pool{
	New: func() any {
		b := make([]byte, bufferSize)
		return &b
	},
}

// Refuse responds to another node's call that got no response from a target.
func Refuse(w http.ResponseWriter, status int, outcome fireflymoor.Outcome, reason string) {
	w.Header().Set(annotator.Outcome, outcome.String())
	w.Header().Set(annotator.Reason, HeaderValue(reason))
	w.WriteHeader(status)
}

// HeaderValue returns text as a valid header value: it replaces every byte that
// is not printable ASCII with a space.
func HeaderValue(text string) string {
	line := []byte(text)
	for i, c := range line {
		if c < ' ' || c > '~' {
			line[i] = ' '
		}
	}
	return string(line)
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// RespondAtOnce makes the server leave the body of a long request alone until its
// response has been written. Otherwise it reads and discards a part of the body before
// that, while another part may be being sent to a target, and waits for callers that
// wait for their response before they send more.
func RespondAtOnce(w http.ResponseWriter, request *http.Request) {
	if sender.IsLong(request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
}

// Copy writes a target's response to w. If the body cannot be copied in full,
// it panics with http.ErrAbortHandler, so that the connection is aborted and
// the client does not take the truncated response for complete.
//
// If the target responded before it had the whole request, Copy sends it the rest
// before it returns, as the server discards the rest afterwards. RespondAtOnce must have
// been called.
func Copy(w http.ResponseWriter, response *http.Response) {
	early := sender.IsSending(response)
	copyHeader(w.Header(), response.Header)
	if _, ok := response.Header["Content-Type"]; !ok {
		w.Header()["Content-Type"] = nil // the server would guess one
	}
	if response.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	w.WriteHeader(response.StatusCode)
	if err := copyBody(w, response); err != nil {
		panic(http.ErrAbortHandler)
	}
	if early {
		_ = http.NewResponseController(w).Flush()
		sender.AwaitSent(response)
	}
}

func copyBody(w http.ResponseWriter, response *http.Response) error {
	buffer, _ := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	streaming := response.ContentLength < 0
	for {
		n, readErr := response.Body.Read(*buffer)
		if n > 0 {
			if _, err := w.Write((*buffer)[:n]); err != nil {
				return err
			}
		}
		if readErr == io.EOF {
			return nil
		}
		if readErr != nil {
			return readErr
		}
		if streaming {
			_ = http.NewResponseController(w).Flush()
		}
	}
}
