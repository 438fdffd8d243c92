// Package forwarder carries calls to the node of the chosen target. A call
// that is caught on a silent or broken connection is asked after, and
// revoked, over a new one.
package forwarder

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/dialer"
	"github.com/fireflymoor/fireflymoor/internal/labeler"
	"github.com/fireflymoor/fireflymoor/internal/packer"
	"github.com/fireflymoor/fireflymoor/internal/registrar"
	"github.com/fireflymoor/fireflymoor/internal/sender"
	"github.com/fireflymoor/fireflymoor/internal/waiter"
)

const (
	dialTimeout = 300 * time.Millisecond
	// idleTimeout is how long a connection that no call uses is kept. It may go
	// silent unseen: a call that is caught on it is found out by silence, and
	// both together are less than two seconds.
	idleTimeout = 1200 * time.Millisecond
	// silence is how long a call waits at least before the target's node is
	// asked after it over a new connection. A call that should be answered
	// within a longer time waits for that.
	silence = 700 * time.Millisecond
	// askAgain is the first wait between questions after a call. Each further
	// one is twice as long, up to lastAskAgain: a call that runs for long costs
	// few questions.
	askAgain     = 100 * time.Millisecond
	lastAskAgain = 800 * time.Millisecond
	// askWait is how long the node may wait for a running call to end before
	// it answers a question.
	askWait = 300 * time.Millisecond
	// askPatience bounds one question: its connection may be silent too.
	askPatience = askWait + 400*time.Millisecond
	// transit is how long an answer that its node has sent, and not kept, may
	// still be on its way over the call's own connection: a resend on a lossy
	// link.
	transit = 300 * time.Millisecond
	// askTimeout is how long a node that does not answer is asked after a
	// call whose connection broke.
	askTimeout = 1500 * time.Millisecond
	// maxDiscard is how much of a refusal is read, in bytes.
	maxDiscard = 4 << 10
)

// RevokePath is where a node is asked what became of a call.
const RevokePath = "/.fireflymoor/revoke"

// The queries of RevokePath.
const (
	QueryID   = "id"
	QueryBoot = "boot"
)

// errResolved ends a call that another connection has told the end of.
var errResolved = errors.New("resolved over another connection")

// A Remote carries calls to other nodes.
type Remote struct {
	dialer     *dialer.Dialer
	packer     *packer.Packer
	lock       sync.Mutex
	transports map[string]*sender.Transport
	asker      *sender.Transport
}

// NewRemote returns a new Remote, whose calls bear headers that packer packs.
func NewRemote(dialer *dialer.Dialer, packer *packer.Packer) *Remote {
	asker := sender.NewTransport(dialer.Traffic(dialTimeout), 0, sender.WithPacker(packer))
	return &Remote{
		dialer:     dialer,
		packer:     packer,
		transports: map[string]*sender.Transport{},
		asker:      asker,
	}
}

// transport returns the connections to one node. Each node has its own, so
// that a node's can be dropped alone.
func (f *Remote) transport(address string) *sender.Transport {
	f.lock.Lock()
	defer f.lock.Unlock()
	t := f.transports[address]
	if t == nil {
		t = sender.NewTransport(f.dialer.Traffic(dialTimeout), idleTimeout, sender.WithOwn(own), sender.WithPacker(f.packer))
		f.transports[address] = t
	}
	return t
}

// drop gives up all connections to a node, but those in use.
func (f *Remote) drop(address string) {
	f.lock.Lock()
	t := f.transports[address]
	delete(f.transports, address)
	f.lock.Unlock()
	if t != nil {
		t.CloseIdleConnections()
	}
}

// Forget drops the connections to all nodes but those given.
func (f *Remote) Forget(keep []fireflymoor.Target) {
	kept := map[string]bool{}
	for i := range keep {
		kept[keep[i].Address] = true
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	for address, t := range f.transports {
		if !kept[address] {
			t.CloseIdleConnections()
			delete(f.transports, address)
		}
	}
}

// resolution is what the target's node said of a call.
type resolution struct {
	state  registrar.State
	answer *http.Response
}

// sent says whether the call's answer is only to be had over the call's own
// connection, where it may be on its way.
func (r resolution) sent() bool {
	return r.state == registrar.Answered && r.answer == nil
}

// Forward implements fireflymoor.Forwarder.
func (f *Remote) Forward(ctx context.Context, target fireflymoor.Target, in *http.Request) (*http.Response, fireflymoor.Outcome, error) {
	sending, cancel := context.WithCancelCause(ctx)
	out := sender.Prepare(sending, in, target.Address, in.Body, in.ContentLength)
	resolved := make(chan resolution, 1)
	settled := &atomic.Bool{}
	watch := time.AfterFunc(max(silence, labeler.Milliseconds(in.Header, labeler.Within)), func() {
		f.watch(ctx, target, out.Header.Get(labeler.CallID), settled, resolved, cancel)
	})
	response, outcome, err := sender.Send(f.transport(target.Address), out)
	watch.Stop()
	if err == nil && !settled.CompareAndSwap(false, true) {
		_ = response.Body.Close()
		return conclude(<-resolved, errResolved)
	}
	if err == nil {
		response.Body = &cancellingBody{
			ReadCloser: response.Body,
			cancel:     cancel,
		}
		return f.check(response, out.Header.Get(labeler.CallID))
	}
	cancelled := errors.Is(context.Cause(sending), errResolved)
	cancel(nil)
	if outcome == fireflymoor.NotRun && !cancelled {
		return nil, outcome, err
	}
	if cancelled {
		return conclude(<-resolved, err)
	}
	f.drop(target.Address)
	if ctx.Err() != nil || out.Header.Get(labeler.Once) == "" {
		return nil, fireflymoor.Unknown, err
	}
	return f.resolve(ctx, target, out.Header.Get(labeler.CallID), err)
}

// watch asks after a call that has been silent, until it is resolved. The first
// to settle the call, the answer itself or what is said of it, counts.
func (f *Remote) watch(ctx context.Context, target fireflymoor.Target, id string, settled *atomic.Bool, resolved chan<- resolution, cancel context.CancelCauseFunc) {
	wait := askAgain
	for ctx.Err() == nil && !settled.Load() {
		r, err := f.ask(ctx, target, id)
		if err == nil && r.state != registrar.Running {
			if r.sent() {
				waiter.Pause(ctx, transit)
			}
			if !settled.CompareAndSwap(false, true) {
				return
			}
			f.drop(target.Address)
			resolved <- r
			cancel(errResolved)
			return
		}
		waiter.Pause(ctx, wait)
		wait = min(2*wait, lastAskAgain)
	}
}

// resolve asks after a call whose connection broke.
func (f *Remote) resolve(ctx context.Context, target fireflymoor.Target, id string, cause error) (*http.Response, fireflymoor.Outcome, error) {
	until := time.Now().Add(askTimeout)
	for ctx.Err() == nil && time.Now().Before(until) {
		r, err := f.ask(ctx, target, id)
		switch {
		case err == nil && r.state == registrar.Running:
			until = time.Now().Add(askTimeout)
		case err == nil:
			return conclude(r, cause)
		}
		waiter.Pause(ctx, askAgain)
	}
	return nil, fireflymoor.Unknown, errors.Wrap(cause, "forwarder: the target's node is not reached")
}

func conclude(r resolution, cause error) (*http.Response, fireflymoor.Outcome, error) {
	switch r.state {
	case registrar.Refused, registrar.NotRun:
		return nil, fireflymoor.NotRun, errors.Wrap(cause, "forwarder: revoked")
	case registrar.Answered:
		if r.answer != nil {
			return r.answer, fireflymoor.Answered, nil
		}
	}
	return nil, fireflymoor.Unknown, errors.Wrapf(cause, "forwarder: the call is %s", r.state)
}

// ask asks the target's node, over a new connection, what became of a call.
func (f *Remote) ask(ctx context.Context, target fireflymoor.Target, id string) (resolution, error) {
	ctx, cancel := context.WithTimeout(ctx, askPatience)
	defer cancel()
	query := url.Values{}
	query.Set(QueryID, id)
	query.Set(QueryBoot, formatBoot(target.Boot))
	address := "http://" + target.Address + RevokePath + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, http.NoBody)
	if err != nil {
		return resolution{}, errors.Wrapf(err, "forwarder %s: ask after a call", target.Node)
	}
	waiting, cancelWait := context.WithTimeout(ctx, askWait)
	defer cancelWait()
	labeler.SetDeadline(waiting, request.Header)
	response, err := f.asker.RoundTrip(request)
	if err != nil {
		return resolution{}, errors.Wrapf(err, "forwarder %s: ask after a call", target.Node)
	}
	defer func() {
		_ = response.Body.Close()
	}()
	body, err := io.ReadAll(io.LimitReader(response.Body, registrar.MaxAnswer+1))
	if err != nil {
		return resolution{}, errors.Wrapf(err, "forwarder %s: read what became of a call", target.Node)
	}
	return readResolution(response, body), nil
}

func readResolution(response *http.Response, body []byte) resolution {
	r := resolution{
		state: registrar.State(response.Header.Get(StateHeader)),
	}
	response.Header.Del(StateHeader)
	if r.state == registrar.Answered && response.Header.Get(KeptHeader) != "" {
		response.Header.Del(KeptHeader)
		response.Body = io.NopCloser(bytes.NewReader(body))
		response.ContentLength = int64(len(body))
		r.answer = response
	}
	return r
}

// own says whether an answer bears the id of a call.
func own(request, answer http.Header) bool {
	return answer.Get(labeler.CallID) == request.Get(labeler.CallID)
}

// check makes sure that an answer is the call's own and says what it is.
func (f *Remote) check(response *http.Response, id string) (*http.Response, fireflymoor.Outcome, error) {
	if response.Header.Get(labeler.CallID) != id {
		_ = response.Body.Close()
		return nil, fireflymoor.Unknown, errors.New("forwarder: the answer belongs to another call")
	}
	reason := response.Header.Get(labeler.Reason)
	switch response.Header.Get(labeler.Outcome) {
	case fireflymoor.Answered.String():
		return response, fireflymoor.Answered, nil
	case fireflymoor.NotRun.String():
		discard(response)
		return nil, fireflymoor.NotRun, refusal(response.Header, reason)
	}
	discard(response)
	return nil, fireflymoor.Unknown, errors.Newf("forwarder: outcome unknown: %s", reason)
}

// refusal returns the error of a call that another node refused.
func refusal(header http.Header, reason string) error {
	busy := &fireflymoor.BusyError{
		Wait: labeler.Milliseconds(header, labeler.Wait),
	}
	err := errors.Wrapf(busy, "forwarder: %s", reason)
	if header.Get(labeler.Draining) != "" {
		err = errors.Mark(err, fireflymoor.ErrDraining)
	}
	if header.Get(labeler.Arrived) != "" {
		err = errors.Mark(err, fireflymoor.ErrArrived)
	}
	return err
}

// discard reads a short answer to its end, so that its connection can be used
// again.
func discard(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maxDiscard)
	_ = response.Body.Close()
}

// cancellingBody ends a call's context once its answer has been read or left.
type cancellingBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close implements io.Closer.
func (b *cancellingBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}
