package target

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/annotator"
	"github.com/fireflymoor/fireflymoor/internal/quarantiner"
)

const (
	// endWindow is how long calls that fail are counted to the same end of a target.
	endWindow = time.Second
	// probeValidity is how long it is taken as known whether a target accepts
	// connections. Its calls fail at the same moment.
	probeValidity = 20 * time.Millisecond
	// reportDelay is how long the calls that fail with an end are collected.
	reportDelay = 5 * time.Millisecond
)

// targetEnd is the latest end of a target.
type targetEnd struct {
	lock sync.Mutex
	// id is 0 if the target accepted a connection when it was last probed.
	id       uint64
	at       time.Time
	probedAt time.Time
	// requests and repeats are those to report.
	requests, repeats []quarantiner.Fingerprint
	reporting         bool
}

// UseQuarantine makes the server report the requests under which targets end, and hold
// them back. It must be called before Forward.
func (s *Server) UseQuarantine(quarantine *quarantiner.Quarantiner) {
	s.quarantine = quarantine
}

// suspicion is what is known of a call's request when it is sent to the target.
type suspicion struct {
	// fingerprint is that of the request, or 0 if it has not been computed.
	fingerprint quarantiner.Fingerprint
	// known is set if targets have ended under the request before.
	known bool
	// prefix records the beginning of the body, or is nil if there is none.
	prefix *prefixReader
	// release ends a trial.
	release func()
}

// suspect returns what is known of a call's request, or an error if it must not be sent to
// a target.
func (s *Server) suspect(in *http.Request) (suspicion, error) {
	v := suspicion{
		release: func() {},
	}
	if s.quarantine == nil {
		return v, nil
	}
	now := time.Now()
	request, ends := annotator.ReadSuspect(in.Header)
	v.fingerprint = quarantiner.Fingerprint(request)
	v.known = len(ends) > 0
	if v.fingerprint == 0 && in.ContentLength == 0 && s.quarantine.IsActive() {
		v.fingerprint = quarantiner.Of(in, in.Header.Get(annotator.Tenant), nil)
		v.known = s.quarantine.Knows(v.fingerprint)
	}
	s.quarantine.Learn(v.fingerprint, ends, false, now)
	if v.fingerprint != 0 {
		release, ok := s.quarantine.Begin(v.fingerprint, now)
		if !ok {
			return v, errors.Wrapf(fireflymoor.ErrQuarantined, "target: request %s", v.fingerprint)
		}
		v.release = release
	}
	if in.ContentLength != 0 {
		v.prefix = &prefixReader{
			ReadCloser: in.Body,
		}
		in.Body = v.prefix
	}
	return v, nil
}

// identify returns the fingerprint of a request that was sent to a target.
func (v *suspicion) identify(in *http.Request) quarantiner.Fingerprint {
	if v.fingerprint == 0 {
		v.fingerprint = quarantiner.Of(in, in.Header.Get(annotator.Tenant), v.prefix.bytes())
	}
	return v.fingerprint
}

// observeAnswer clears a call's request, as the target lives.
func (s *Server) observeAnswer(in *http.Request, v *suspicion) {
	if s.quarantine == nil || !s.quarantine.IsActive() {
		return
	}
	if f := v.identify(in); s.quarantine.Clear(f, time.Now()) {
		s.registry.log.Info().Stringer("request", f).Msg("quarantine: request cleared, a target responded")
	}
}

// observeFailure reports a call's request if its target has ended, and adds the end to
// the error.
func (s *Server) observeFailure(ctx context.Context, t *localTarget, in *http.Request, v *suspicion, err error) error {
	if s.quarantine == nil || ctx.Err() != nil {
		return err
	}
	t.end.lock.Lock()
	defer t.end.lock.Unlock()
	if !s.hasEnded(ctx, t) {
		return err
	}
	f := v.identify(in)
	t.end.requests = append(t.end.requests, f)
	if v.known {
		t.end.repeats = append(t.end.repeats, f)
	}
	if !t.end.reporting {
		t.end.reporting = true
		id := t.end.id
		time.AfterFunc(reportDelay, func() { s.reportEnd(t, id) })
	}
	return errors.Wrapf(&fireflymoor.EndedError{
		End: t.end.id,
	}, "target %s: %v", t.id, err)
}

// hasEnded reports whether a target whose call has failed has ended: its address refuses
// connections. If this instance, its link or the target's connection fails, it does
// not.
func (s *Server) hasEnded(ctx context.Context, t *localTarget) bool {
	now := time.Now()
	if now.Sub(t.end.probedAt) < probeValidity {
		return t.end.id != 0
	}
	// The result is that of other calls too, so that this one's caller must not end it.
	conn, err := s.dial(context.WithoutCancel(ctx), "tcp", t.address)
	t.end.probedAt = time.Now()
	if conn != nil {
		_ = conn.Close()
	}
	switch {
	case !errors.Is(err, unix.ECONNREFUSED):
		t.end.id = 0
	case t.end.id == 0 || now.Sub(t.end.at) > endWindow:
		t.end.id = rand.Uint64() | 1
		t.end.at = now
	}
	return t.end.id != 0
}

// reportEnd reports the requests that a target was serving when it ended.
func (s *Server) reportEnd(t *localTarget, id uint64) {
	t.end.lock.Lock()
	requests, repeats := t.end.requests, t.end.repeats
	t.end.requests, t.end.repeats, t.end.reporting = nil, nil, false
	t.end.lock.Unlock()
	s.registry.log.Warn().Str("target", t.id).Uint64("end", id).Int("requests", len(requests)).
		Int("repeats", len(repeats)).Msg("quarantine: target ended while it served requests")
	s.quarantine.Report(id, requests, repeats, time.Now())
}

// prefixReader records the beginning of a body while it is read.
type prefixReader struct {
	io.ReadCloser
	lock   sync.Mutex
	prefix []byte
}

// Read implements io.Reader.
func (r *prefixReader) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	r.lock.Lock()
	defer r.lock.Unlock()
	if missing := quarantiner.BodyPrefix - len(r.prefix); missing > 0 {
		r.prefix = append(r.prefix, p[:min(n, missing)]...)
	}
	return n, err
}

// bytes returns what was recorded. The reader may be nil.
func (r *prefixReader) bytes() []byte {
	if r == nil {
		return nil
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.prefix
}
