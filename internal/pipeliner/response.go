package pipeliner

import (
	"bytes"
	"context"
	"maps"
	"net/http"
	"sync"
)

// response is an http.ResponseWriter that holds a response until its turn. A response
// that is too long to be held waits for its turn.
type response struct {
	ctx       context.Context
	conn      *conn
	pipeliner *Pipeliner
	header    http.Header
	// direct is the writer to use once the response is too long to be held, or nil if
	// its turn has not come.
	direct http.ResponseWriter

	lock sync.Mutex
	// turn is closed by attach.
	turn   chan struct{}
	status int
	// held is the held part of the body. Its length is counted in the Pipeliner.
	held bytes.Buffer
	// streaming is set once the head was written to direct.
	streaming bool
	// truncated is set if a part of the body could not be written.
	truncated bool
	// panicked is what the handler panicked with, or nil.
	panicked any
}

func newResponse(ctx context.Context, c *conn) *response {
	return &response{
		ctx:       ctx,
		conn:      c,
		pipeliner: c.pipeliner,
		header:    http.Header{},
		turn:      make(chan struct{}),
	}
}

// Header implements http.ResponseWriter.
func (r *response) Header() http.Header {
	return r.header
}

// WriteHeader implements http.ResponseWriter. Informational responses are dropped.
func (r *response) WriteHeader(status int) {
	if r.status == 0 && status >= http.StatusOK {
		r.status = status
	}
}

// Write implements http.ResponseWriter.
func (r *response) Write(p []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	if !r.streaming {
		if r.hold(p) {
			return len(p), nil
		}
		if err := r.stream(); err != nil {
			return 0, err
		}
	}
	return r.direct.Write(p)
}

// hold keeps a part of the body, unless the bounds do not allow it.
func (r *response) hold(p []byte) bool {
	if r.held.Len()+len(p) > maxHeldBytes {
		return false
	}
	if r.pipeliner.held.Add(int64(len(p))) > maxTotalHeldBytes {
		r.pipeliner.held.Add(-int64(len(p)))
		return false
	}
	r.held.Write(p)
	return true
}

// stream waits for the response's turn and writes what was held.
func (r *response) stream() error {
	r.lock.Lock()
	direct := r.direct
	r.lock.Unlock()
	if direct == nil {
		select {
		case <-r.turn:
		case <-r.ctx.Done():
			r.truncated = true
			return r.ctx.Err()
		}
	}
	r.streaming = true
	return r.writeHeld(r.direct)
}

// attach sets the writer of the response, whose turn has come.
func (r *response) attach(w http.ResponseWriter) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.direct = w
	close(r.turn)
}

// writeHeld writes the head and the held part of the body. The response ends the
// connection only if no calls have begun behind it, whose responses would be lost.
func (r *response) writeHeld(w http.ResponseWriter) error {
	if !r.conn.endsWith(r.header.Get("Connection") != "") {
		r.header.Del("Connection")
	}
	maps.Copy(w.Header(), r.header)
	if r.status != 0 {
		w.WriteHeader(r.status)
	}
	_, err := w.Write(r.held.Bytes())
	r.release()
	return err
}

// release drops the held part of the body.
func (r *response) release() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.pipeliner.held.Add(-int64(r.held.Len()))
	r.held = bytes.Buffer{}
}

// FlushError implements the interface that http.ResponseController uses. A response that
// is held is not flushed.
func (r *response) FlushError() error {
	if !r.streaming {
		return nil
	}
	return http.NewResponseController(r.direct).Flush()
}

// finish records that the handler has returned, or what it panicked with. A truncated
// response must not be sent as if it were complete, so that it counts as broken off.
func (r *response) finish(panicked any) {
	if panicked == nil && r.truncated {
		panicked = http.ErrAbortHandler
	}
	r.panicked = panicked
}
