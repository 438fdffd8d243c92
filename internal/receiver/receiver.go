// Package receiver takes calls from other nodes for the targets of this
// instance.
package receiver

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/forwarder"
	"github.com/fireflymoor/fireflymoor/internal/labeler"
	"github.com/fireflymoor/fireflymoor/internal/registrar"
)

const (
	// maxTime bounds a call whose deadline is missing.
	maxTime = 10 * time.Minute
	// askPatience is how long a call whose connection broke may go on
	// without being asked after.
	askPatience = time.Second
)

// A Receiver is the HTTP handler for calls from other nodes.
type Receiver struct {
	boot      uint64
	forwarder fireflymoor.Forwarder
	registrar *registrar.Registrar
	log       zerolog.Logger
}

// New returns a new Receiver.
func New(boot uint64, local fireflymoor.Forwarder, registrar *registrar.Registrar, log zerolog.Logger) *Receiver {
	return &Receiver{
		boot:      boot,
		forwarder: local,
		registrar: registrar,
		log:       log,
	}
}

// ServeHTTP implements http.Handler.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == forwarder.RevokePath {
		r.revoke(w, request)
		return
	}
	left, ok := labeler.TimeLeft(request.Header, maxTime)
	id := request.Header.Get(labeler.CallID)
	if !ok || id == "" {
		Refuse(w, http.StatusBadRequest, fireflymoor.NotRun, "no call id or no deadline")
		return
	}
	w.Header().Set(labeler.CallID, id)
	if err := r.registrar.Begin(id, time.Now()); err != nil {
		Refuse(w, http.StatusServiceUnavailable, fireflymoor.NotRun, err.Error())
		return
	}
	ctx, cancel := r.callContext(request, id, left)
	defer cancel()
	r.serve(ctx, w, request, id)
}

// callContext returns the context of a call's run. A call that must not
// repeat outlives its connection for a while: if it is asked after over
// another one it goes on, and else its caller is taken to have gone.
func (r *Receiver) callContext(request *http.Request, id string, left time.Duration) (context.Context, context.CancelFunc) {
	if request.Header.Get(labeler.Once) == "" {
		return context.WithTimeout(request.Context(), left)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(request.Context()), left)
	stop := context.AfterFunc(request.Context(), func() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(askPatience):
		}
		if !r.registrar.Asked(id) {
			cancel()
		}
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

func (r *Receiver) serve(ctx context.Context, w http.ResponseWriter, request *http.Request, id string) {
	state := registrar.Unknown
	var answer *registrar.Answer
	defer func() {
		r.registrar.End(id, state, answer, time.Now())
	}()
	target := fireflymoor.Target{
		ID: request.Header.Get(labeler.TargetID),
	}
	response, outcome, err := r.forwarder.Forward(ctx, target, request)
	if err != nil {
		if outcome == fireflymoor.NotRun {
			state = registrar.NotRun
		}
		r.log.Info().Str("call", id).Str("target", target.ID).Stringer("outcome", outcome).Err(err).Msg("receiver: not served")
		Refuse(w, http.StatusServiceUnavailable, outcome, err.Error())
		return
	}
	defer func() {
		_ = response.Body.Close()
	}()
	keep := &bytes.Buffer{}
	if request.Header.Get(labeler.Once) != "" {
		response.Body = teeBody(response.Body, keep)
	}
	// The answer is noted as soon as it is whole, before it is written to a
	// connection that may be silent.
	whole := &wholeBody{
		ReadCloser: response.Body,
		done: func() {
			answer = kept(response, keep)
			r.registrar.End(id, registrar.Answered, answer, time.Now())
		},
	}
	response.Body = whole
	Copy(w, response, id)
}

// kept returns the answer to keep, unless it is too large.
func kept(response *http.Response, body *bytes.Buffer) *registrar.Answer {
	if body.Len() == 0 && response.ContentLength != 0 {
		return nil
	}
	if body.Len() > registrar.MaxAnswer {
		return nil
	}
	return &registrar.Answer{
		Status: response.StatusCode,
		Header: response.Header.Clone(),
		Body:   body.Bytes(),
	}
}

// teeBody copies what is read, up to a little more than is kept.
func teeBody(body io.ReadCloser, keep *bytes.Buffer) io.ReadCloser {
	return &teeReader{
		ReadCloser: body,
		keep:       keep,
	}
}

type teeReader struct {
	io.ReadCloser
	keep *bytes.Buffer
}

// Read implements io.Reader.
func (t *teeReader) Read(p []byte) (int, error) {
	n, err := t.ReadCloser.Read(p)
	if t.keep.Len() <= registrar.MaxAnswer {
		t.keep.Write(p[:n])
	}
	return n, err
}

// wholeBody says when a body has been read to its end.
type wholeBody struct {
	io.ReadCloser
	done func()
}

// Read implements io.Reader.
func (b *wholeBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.done != nil {
		b.done()
		b.done = nil
	}
	return n, err
}

// revoke answers what became of a call.
func (r *Receiver) revoke(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	left, ok := labeler.TimeLeft(request.Header, maxTime)
	id := query.Get(forwarder.QueryID)
	if !ok || id == "" {
		http.Error(w, "no call id or no deadline", http.StatusBadRequest)
		return
	}
	if query.Get(forwarder.QueryBoot) != strconv.FormatUint(r.boot, 10) {
		w.Header().Set(forwarder.StateHeader, string(registrar.Unknown))
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), left)
	defer cancel()
	state, answer := r.registrar.Revoke(ctx, id, time.Now())
	r.log.Info().Str("call", id).Str("state", string(state)).Msg("receiver: asked after a call")
	if answer != nil {
		copyHeader(w.Header(), answer.Header)
		w.Header().Set(forwarder.KeptHeader, "yes")
		w.Header().Set(forwarder.StateHeader, string(state))
		w.WriteHeader(answer.Status)
		_, _ = w.Write(answer.Body)
		return
	}
	w.Header().Set(forwarder.StateHeader, string(state))
}
