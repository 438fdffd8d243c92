package receiver

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/annotator"
	"github.com/fireflymoor/fireflymoor/internal/resetter"
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

// AbandonRequest makes the server respond without the rest of a long request and
// close the connection afterwards. Otherwise it reads a part of the rest before it
// responds, and a caller may wait for its response before it sends more.
func AbandonRequest(w http.ResponseWriter, request *http.Request) {
	if sender.IsLong(request) && request.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
}

// FinishRequest ends a long request once its response has been written and its sending
// to a target has ended. The server does the same too late if full duplex is enabled:
// it panics if it finds the end of the body then, and ignores a malformed rest.
func FinishRequest(w http.ResponseWriter, request *http.Request) {
	if !sender.IsLong(request) || request.ProtoMajor != 1 || w.Header().Get("Connection") == "close" {
		return
	}
	_ = http.NewResponseController(w).Flush()
	if err := request.Body.Close(); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// Copy writes a target's response to a request to w. If the body cannot be copied in
// full, it panics with http.ErrAbortHandler, so that the connection is aborted and
// the client does not take the truncated response for complete. A client whose response
// ends with its connection sees that the connection is reset.
//
// If the target responded before it had the whole request, Copy sends it the rest
// before it returns, as the server discards the rest afterwards.
func Copy(w http.ResponseWriter, request *http.Request, response *http.Response) {
	controller := http.NewResponseController(w)
	early := sender.IsSending(response)
	if early {
		// Otherwise the server discards a part of the request's body before it
		// writes the response, while another part is being sent to the target.
		_ = controller.EnableFullDuplex()
	}
	copyHeader(w.Header(), response.Header)
	if sender.IsCutOff(response) {
		AbandonRequest(w, response.Request)
	}
	if _, ok := response.Header["Content-Type"]; !ok {
		w.Header()["Content-Type"] = nil // the server would guess one
	}
	end := func() {}
	switch {
	case response.ContentLength >= 0:
		w.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	case !request.ProtoAtLeast(1, 1): // the end of the connection is that of the body
		disarm := resetter.Arm(request.Context())
		end = func() {
			_ = controller.Flush()
			disarm()
		}
	}
	w.WriteHeader(response.StatusCode)
	if err := copyBody(w, response); err != nil {
		endSending(w, request, response)
		panic(http.ErrAbortHandler)
	}
	end()
	if early {
		_ = controller.Flush()
		sender.AwaitSent(response)
	}
}

// endSending ends the sending of a long request to a target whose response broke off.
// Otherwise the server first reads up to 256 KiB of the rest of the request, which the
// client may never send, and may wait without end for a read that the sending has begun.
func endSending(w http.ResponseWriter, request *http.Request, response *http.Response) {
	if !sender.IsLong(request) {
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
	_ = response.Body.Close()
	response.Body = http.NoBody // whoever called Copy closes it too, and each close is counted
	sender.AwaitSent(response)
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
