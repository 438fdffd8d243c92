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

	"github.com/cockroachdb/errors"
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
	isBoot    func(boot uint64) bool
	forwarder fireflymoor.Forwarder
	registrar *registrar.Registrar
	log       zerolog.Logger
}

// New returns a new Receiver. IsBoot says whether a boot number is this
// process's.
func New(isBoot func(boot uint64) bool, local fireflymoor.Forwarder, registrar *registrar.Registrar, log zerolog.Logger) *Receiver {
	return &Receiver{
		isBoot:    isBoot,
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
	once := request.Header.Get(labeler.Once) != ""
	if once && 0 < request.ContentLength && request.ContentLength <= registrar.MaxAnswer {
		if err := readBody(request); err != nil {
			state = registrar.NotRun
			Refuse(w, http.StatusBadRequest, fireflymoor.NotRun, err.Error())
			return
		}
	}
	target := fireflymoor.Target{
		ID: request.Header.Get(labeler.TargetID),
	}
	response, outcome, err := r.forwarder.Forward(ctx, target, request)
	if err != nil {
		if outcome == fireflymoor.NotRun {
			state = registrar.NotRun
		}
		labelRefusal(w.Header(), err)
		r.log.Info().Str("call", id).Str("target", target.ID).Stringer("outcome", outcome).Err(err).Msg("receiver: not served")
		Refuse(w, http.StatusServiceUnavailable, outcome, err.Error())
		return
	}
	defer func() {
		_ = response.Body.Close()
	}()
	if once && 0 <= response.ContentLength && response.ContentLength <= registrar.MaxAnswer {
		answer, err = readWhole(response)
		if err != nil {
			r.log.Info().Str("call", id).Err(err).Msg("receiver: the answer broke off")
			Refuse(w, http.StatusBadGateway, fireflymoor.Unknown, err.Error())
			return
		}
	}
	// The answer is noted before it is written to a connection that may be
	// silent.
	state = registrar.Answered
	r.registrar.End(id, state, answer, time.Now())
	labeler.CleanHop(response.Header)
	response.Header.Set(labeler.CallID, id)
	response.Header.Set(labeler.Outcome, fireflymoor.Answered.String())
	Copy(w, response)
}

// labelRefusal tells the caller's node why a call was refused.
func labelRefusal(header http.Header, err error) {
	if errors.Is(err, fireflymoor.ErrDraining) {
		header.Set(labeler.Draining, "yes")
	}
	if errors.Is(err, fireflymoor.ErrArrived) {
		header.Set(labeler.Arrived, "yes")
	}
	busy := &fireflymoor.BusyError{}
	if errors.As(err, &busy) {
		labeler.SetMilliseconds(header, labeler.Wait, busy.Wait)
	}
}

// readBody reads a short body to its end before any of the call goes to the
// target, so that a connection that breaks before leaves it not run.
func readBody(request *http.Request) error {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return errors.Wrap(err, "receiver: read the call")
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

// readWhole reads a short answer to its end, to keep it for whoever asks
// after the call.
func readWhole(response *http.Response) (*registrar.Answer, error) {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errors.Wrap(err, "receiver: read the answer")
	}
	_ = response.Body.Close()
	response.Body = io.NopCloser(bytes.NewReader(body))
	return &registrar.Answer{
		Status: response.StatusCode,
		Header: response.Header.Clone(),
		Body:   body,
	}, nil
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
	boot, err := strconv.ParseUint(query.Get(forwarder.QueryBoot), 10, 64)
	if err != nil || !r.isBoot(boot) {
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
