// Package receiver accepts calls from other nodes for the targets of this
// instance.
package receiver

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/annotator"
	"github.com/fireflymoor/fireflymoor/internal/dater"
	"github.com/fireflymoor/fireflymoor/internal/forwarder"
	"github.com/fireflymoor/fireflymoor/internal/registrar"
	"github.com/fireflymoor/fireflymoor/internal/sender"
	"github.com/fireflymoor/fireflymoor/internal/waiter"
)

const (
	// maxCallTime bounds the time of a call, and is used if it has no deadline.
	maxCallTime = 10 * time.Minute
	// queryGrace is how long a call whose connection broke may continue without
	// being queried for.
	queryGrace = time.Second
	// maxQueryGap is how long it may continue after a query without another one. It
	// is longer than the time between queries, even if one is lost.
	maxQueryGap = 2 * time.Second
	// lateAge is the age above which a call counts as held up on its way. The end of
	// its connection, if its caller has left meanwhile, arrives up to endDelay after
	// it: a sender repeats what was lost in order, a round trip for each step.
	lateAge  = 250 * time.Millisecond
	endDelay = 30 * time.Millisecond
)

// errLate is the error of a call that arrived after its deadline.
var errLate = errors.New("receiver: the call arrived after its deadline")

// A Receiver is the HTTP handler for calls from other nodes.
type Receiver struct {
	isBoot    func(boot uint64) bool
	forwarder fireflymoor.Forwarder
	registrar *registrar.Registrar
	dater     *dater.Dater
	metrics   *Metrics
	log       zerolog.Logger
}

// New returns a new Receiver. The function isBoot reports whether a boot number
// belongs to this process.
func New(isBoot func(boot uint64) bool, local fireflymoor.Forwarder, registrar *registrar.Registrar, log zerolog.Logger) *Receiver {
	return &Receiver{
		isBoot:    isBoot,
		forwarder: local,
		registrar: registrar,
		dater:     dater.New(),
		log:       log,
	}
}

// UseMetrics makes the receiver record metrics. It must be called before ServeHTTP.
func (r *Receiver) UseMetrics(metrics *Metrics) {
	r.metrics = metrics
}

// ServeHTTP implements http.Handler.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == forwarder.RevokePath {
		r.revoke(w, request)
		return
	}
	timeout, ok := annotator.TimeLeft(request.Header, maxCallTime)
	id := request.Header.Get(annotator.CallID)
	if !ok || id == "" {
		Refuse(w, http.StatusBadRequest, fireflymoor.NotRun, "no call id or no deadline")
		return
	}
	w.Header().Set(annotator.CallID, id)
	age := r.age(request)
	if err := r.registrar.Begin(id, time.Now()); err != nil {
		Refuse(w, http.StatusServiceUnavailable, fireflymoor.NotRun, err.Error())
		return
	}
	if timeout <= age {
		r.registrar.End(id, registrar.NotRun, nil, time.Now())
		r.log.Info().Str("call", id).Dur("age", age).Err(errLate).Msg("receiver: not served")
		AbandonRequest(w, request)
		Refuse(w, http.StatusServiceUnavailable, fireflymoor.NotRun, errLate.Error())
		return
	}
	ctx, cancel := r.callContext(request, id, timeout-age)
	defer cancel()
	if age > lateAge {
		waiter.Pause(request.Context(), endDelay)
	}
	reduceObjective(request.Header, age)
	r.serve(ctx, w, request, id, age)
	FinishRequest(w, request)
}

// age returns how long ago another node sent a call, as far as that is known, and
// removes its stamp.
func (r *Receiver) age(request *http.Request) time.Duration {
	stamp := request.Header.Get(annotator.Sent)
	request.Header.Del(annotator.Sent)
	if stamp == "" {
		return 0
	}
	host, _, _ := net.SplitHostPort(request.RemoteAddr)
	age := r.dater.Age(host, stamp)
	r.metrics.observeAge(age)
	return age
}

// reduceObjective subtracts the age of a call from the time within which it should be
// answered.
func reduceObjective(header http.Header, age time.Duration) {
	if objective := annotator.Milliseconds(header, annotator.Objective); objective > 0 {
		annotator.SetMilliseconds(header, annotator.Objective, max(objective-age, time.Millisecond))
	}
}

// callContext returns the context for running a call. A call that must not
// repeat outlives its connection for as long as its state is queried over other
// connections. Otherwise its caller is assumed to have left and it is canceled.
func (r *Receiver) callContext(request *http.Request, id string, timeout time.Duration) (context.Context, context.CancelFunc) {
	if request.Header.Get(annotator.Once) == "" {
		return context.WithTimeout(request.Context(), timeout)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(request.Context()), timeout)
	stop := context.AfterFunc(request.Context(), func() {
		r.awaitLastQuery(ctx, id)
		cancel()
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

// awaitLastQuery waits until a call whose connection has just broken is not queried any
// more, or until ctx ends.
func (r *Receiver) awaitLastQuery(ctx context.Context, id string) {
	end := time.Now().Add(queryGrace)
	for ctx.Err() == nil {
		if last, ok := r.registrar.LastQuery(id); ok && last.Add(maxQueryGap).After(end) {
			end = last.Add(maxQueryGap)
		}
		wait := time.Until(end)
		if wait <= 0 {
			return
		}
		waiter.Pause(ctx, wait)
	}
}

// serve sends the call to its target, writes the response and records the end
// of the call.
func (r *Receiver) serve(ctx context.Context, w http.ResponseWriter, request *http.Request, id string, age time.Duration) {
	state := registrar.Unknown
	var kept *registrar.Response
	defer func() {
		r.registrar.End(id, state, kept, time.Now())
	}()
	once := request.Header.Get(annotator.Once) != ""
	if once && 0 < request.ContentLength && request.ContentLength <= registrar.MaxBufferedBody {
		if err := bufferRequest(request); err != nil {
			state = registrar.NotRun
			Refuse(w, http.StatusBadRequest, fireflymoor.NotRun, err.Error())
			return
		}
	}
	target := fireflymoor.Target{
		ID: request.Header.Get(annotator.TargetID),
	}
	began := time.Now()
	response, outcome, err := r.forwarder.Forward(ctx, target, request)
	if err != nil {
		if outcome == fireflymoor.NotRun {
			state = registrar.NotRun
		}
		AbandonRequest(w, request)
		setRefusalHeaders(w.Header(), err)
		r.log.Info().Str("call", id).Str("target", target.ID).Stringer("outcome", outcome).
			Dur("age", age).Dur("took", time.Since(began)).Err(err).Msg("receiver: not served")
		Refuse(w, http.StatusServiceUnavailable, outcome, err.Error())
		return
	}
	defer func() {
		_ = response.Body.Close()
	}()
	if once && 0 <= response.ContentLength && response.ContentLength <= registrar.MaxBufferedBody {
		kept, err = bufferResponse(response)
		if err != nil {
			r.log.Info().Str("call", id).Err(err).Msg("receiver: the answer broke off")
			AbandonRequest(w, request)
			Refuse(w, http.StatusBadGateway, fireflymoor.Unknown, err.Error())
			return
		}
	}
	// The response is recorded before it is written, as the connection may be
	// unresponsive.
	state = registrar.Answered
	r.registrar.End(id, state, kept, time.Now())
	annotator.RemoveHopByHop(response.Header)
	if sender.IsSending(response) {
		// Another call on this connection would wait until the target has read
		// this one.
		response.Header.Set("Connection", "close")
	}
	response.Header.Set(annotator.CallID, id)
	response.Header.Set(annotator.Outcome, fireflymoor.Answered.String())
	Copy(w, request, response)
}

// setRefusalHeaders sets the headers that tell the caller's node whether the
// target is draining, whether the call reached it and how long calls wait
// there.
func setRefusalHeaders(header http.Header, err error) {
	if errors.Is(err, fireflymoor.ErrDraining) {
		header.Set(annotator.Draining, "yes")
	}
	if errors.Is(err, fireflymoor.ErrRefusedByTarget) {
		header.Set(annotator.RefusedByTarget, "yes")
	}
	ended := &fireflymoor.EndedError{}
	if errors.As(err, &ended) {
		annotator.SetEnded(header, ended.End)
	}
	if errors.Is(err, fireflymoor.ErrQuarantined) {
		header.Set(annotator.Suspect, "yes")
	}
	busy := &fireflymoor.BusyError{}
	if errors.As(err, &busy) {
		annotator.SetMilliseconds(header, annotator.Wait, busy.Wait)
		annotator.SetLimit(header, busy.Limit)
		if busy.Report != nil {
			annotator.SetLoadReport(header, *busy.Report)
		}
		if busy.Neighbor != "" {
			header.Set(annotator.Neighbor, busy.Neighbor)
		}
	}
}

// bufferRequest reads a short request body to its end before any of the call is
// sent to the target. A call whose connection breaks before that is not run.
func bufferRequest(request *http.Request) error {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return errors.Wrap(err, "receiver: read the call")
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

// bufferedBody is a body in memory whose Close closes the source of it.
type bufferedBody struct {
	io.Reader
	io.Closer
}

// bufferResponse reads a short response to its end and returns it for the
// registrar, which keeps it for queries.
func bufferResponse(response *http.Response) (*registrar.Response, error) {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errors.Wrap(err, "receiver: read the answer")
	}
	response.Body = &bufferedBody{
		Reader: bytes.NewReader(body),
		Closer: response.Body,
	}
	return &registrar.Response{
		Status: response.StatusCode,
		Header: response.Header.Clone(),
		Body:   body,
	}, nil
}

// revoke responds with the state of a call. A call that has not begun is
// revoked.
func (r *Receiver) revoke(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	timeout, ok := annotator.TimeLeft(request.Header, maxCallTime)
	id := query.Get(forwarder.QueryID)
	if !ok || id == "" {
		http.Error(w, "no call id or no deadline", http.StatusBadRequest)
		return
	}
	age, err := strconv.ParseInt(query.Get(forwarder.QueryAge), 10, 64)
	if err != nil && query.Has(forwarder.QueryAge) {
		http.Error(w, "the age is no number of milliseconds", http.StatusBadRequest)
		return
	}
	boot, err := strconv.ParseUint(query.Get(forwarder.QueryBoot), 10, 64)
	if err != nil || !r.isBoot(boot) {
		w.Header().Set(forwarder.StateHeader, string(registrar.Unknown))
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), timeout)
	defer cancel()
	state, kept := r.registrar.Revoke(ctx, id, time.Duration(age)*time.Millisecond, time.Now())
	r.log.Info().Str("call", id).Str("state", string(state)).Msg("receiver: asked after a call")
	if kept != nil {
		copyHeader(w.Header(), kept.Header)
		w.Header().Set(forwarder.KeptHeader, "yes")
		w.Header().Set(forwarder.StateHeader, string(state))
		w.WriteHeader(kept.Status)
		_, _ = w.Write(kept.Body)
		return
	}
	w.Header().Set(forwarder.StateHeader, string(state))
}
