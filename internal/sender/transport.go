package sender

import (
	"context"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor/internal/acceptor"
	"github.com/fireflymoor/fireflymoor/internal/packer"
)

const (
	// maxStale is the maximum number of responses to other requests that may
	// precede the response to a request on one connection.
	maxStale = 2
	// keepAliveMargin is subtracted from the keep-alive time that the peer
	// announced, so that no request is sent while the peer closes the
	// connection.
	keepAliveMargin = 500 * time.Millisecond
)

// errNotSent marks an error that occurred before any byte of the request was
// sent.
var errNotSent = errors.New("no connection was had")

// errStale means that only responses to other requests were received.
var errStale = errors.New("sender: the answer belongs to another request")

// A Transport is an http.RoundTripper that sends each request once, over
// persistent connections. Unlike http.Transport it never resends a request
// automatically, and it discards late responses to earlier requests. It starts
// no goroutines to write a short request or to read a response: the caller's
// goroutine does both.
type Transport struct {
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	idle    time.Duration
	matches func(request, response http.Header) bool
	// packer packs and unpacks headers. It is nil if headers are sent unpacked.
	packer *packer.Packer
	// budget bounds the memory for the heads of responses. It is nil if there is no
	// bound on their sum.
	budget *acceptor.Budget

	lock     sync.Mutex
	conns    map[string][]*conn
	sweeping bool
	closed   bool
}

// An Option configures a Transport.
type Option func(*Transport)

// WithResponseMatcher sets a function that reports by the headers whether a
// response belongs to a request. The Transport uses it to detect late responses
// to other requests.
func WithResponseMatcher(matches func(request, response http.Header) bool) Option {
	return func(t *Transport) {
		t.matches = matches
	}
}

// WithPacker makes a Transport send and expect packed headers. Requests passed to
// the Transport and responses returned by it have unpacked headers.
func WithPacker(packer *packer.Packer) Option {
	return func(t *Transport) {
		t.packer = packer
	}
}

// WithBudget makes a Transport charge the heads of responses to a budget until the
// responses are closed.
func WithBudget(budget *acceptor.Budget) Option {
	return func(t *Transport) {
		t.budget = budget
	}
}

// NewTransport returns a new Transport that opens connections with dial. A
// connection is not reused after it has been idle for longer than idle or than
// the keep-alive time that its peer announced. With an idle time of 0, no
// connection is reused.
func NewTransport(dial func(ctx context.Context, network, address string) (net.Conn, error), idle time.Duration, options ...Option) *Transport {
	t := &Transport{
		dial:    dial,
		idle:    idle,
		matches: func(_, _ http.Header) bool { return true },
		conns:   map[string][]*conn{},
	}
	for _, option := range options {
		option(t)
	}
	return t
}

// RoundTrip implements http.RoundTripper. NotSent reports whether an error
// occurred before anything was sent.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := request.Context()
	c, err := t.connection(ctx, request.URL.Host)
	if err != nil {
		return nil, errors.Mark(err, errNotSent)
	}
	var responded atomic.Bool
	stop := context.AfterFunc(ctx, func() {
		if responded.Load() && IsLong(request) {
			awaitSent(ctx, c.sending.done)
		}
		c.abort()
	})
	c.send(t.packed(request))
	response, err := t.read(c, request)
	if err != nil {
		stop()
		c.close()
		if ctx.Err() != nil {
			err = errors.CombineErrors(ctx.Err(), err)
		}
		return nil, err
	}
	responded.Store(true)
	if IsLong(request) {
		response.Request = request.WithContext(context.WithValue(ctx, sendingKey{}, c.sending))
	}
	early := IsSending(response)
	checkEnd := func() error { return checkNames(response.Trailer) }
	if endsWithConn(response) {
		checkEnd = c.checkEnd
	}
	response.Body = &body{
		ReadCloser: response.Body,
		remaining:  response.ContentLength,
		checkEnd:   checkEnd,
		onEnd: func(complete bool) {
			c.source.release()
			if stop() && complete && !response.Close && c.isIdle() {
				if early {
					// The peer may not have read all yet: another request would wait for
					// that, and closing the connection may interrupt it.
					time.AfterFunc(t.idle, c.close)
					return
				}
				t.put(request.URL.Host, c, keepAlive(response.Header))
				return
			}
			c.close()
		},
	}
	return response, nil
}

// sendingKey is the key of the context value that holds the sending of a request.
type sendingKey struct{}

// AwaitSent waits until the request of a response has been sent, in full or as far
// as possible, or the deadline of its context has passed. A peer that responds before
// it has read a long request may read the rest afterwards. Closing the response earlier
// ends the sending.
func AwaitSent(response *http.Response) {
	if s := sendingOf(response); s != nil {
		awaitSent(response.Request.Context(), s.done)
	}
}

// awaitSent waits until sent is closed or the deadline of ctx has passed. Its
// cancellation alone does not end the wait: a caller may leave once it has sent all and
// got the response. If it leaves before it has sent all, the sending fails.
func awaitSent(ctx context.Context, sent <-chan struct{}) {
	select {
	case <-sent:
		return
	case <-ctx.Done():
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-sent:
	case <-timer.C:
	}
}

// IsSending reports whether the request of a response is still being sent.
func IsSending(response *http.Response) bool {
	s := sendingOf(response)
	return s != nil && !s.ended()
}

// IsCutOff reports whether the sending of a long request has failed.
func IsCutOff(response *http.Response) bool {
	s := sendingOf(response)
	return s != nil && s.ended() && s.err != nil
}

// sendingOf returns the sending of the request of a response, or nil if it was sent
// before the response was read.
func sendingOf(response *http.Response) *sending {
	if response.Request == nil {
		return nil
	}
	s, _ := response.Request.Context().Value(sendingKey{}).(*sending)
	return s
}

// ended reports whether the sending has ended.
func (s *sending) ended() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// packed returns the request to write, with packed headers if there is a packer.
func (t *Transport) packed(request *http.Request) *http.Request {
	if t.packer == nil {
		return request
	}
	packed := *request
	packed.Header = maps.Clone(request.Header)
	t.packer.Pack(packed.Header)
	return &packed
}

// NotSent reports whether a request failed before any byte of it was sent.
func NotSent(err error) bool {
	return errors.Is(err, errNotSent)
}

// read reads the response to a request and discards late responses to other
// requests.
func (t *Transport) read(c *conn, request *http.Request) (*http.Response, error) {
	for range maxStale + 1 {
		response, err := c.read(request)
		if err != nil {
			return nil, err
		}
		if t.packer != nil {
			t.packer.UnpackResponse(response.Header, request.Header)
		}
		if t.matches(request.Header, response.Header) {
			return response, nil
		}
		if err := discard(response); err != nil {
			return nil, errors.CombineErrors(errStale, err)
		}
	}
	return nil, errStale
}

// connection returns an idle connection that is still usable, or a new
// connection.
func (t *Transport) connection(ctx context.Context, address string) (*conn, error) {
	for {
		c := t.take(address)
		if c == nil {
			break
		}
		if c.canReuse() {
			return c, nil
		}
		c.close()
	}
	raw, err := t.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(raw, t.budget), nil
}

// take removes and returns the most recently used idle connection, or nil if
// there is none.
func (t *Transport) take(address string) *conn {
	t.lock.Lock()
	defer t.lock.Unlock()
	conns := t.conns[address]
	if len(conns) == 0 {
		return nil
	}
	last := conns[len(conns)-1]
	conns[len(conns)-1] = nil
	t.conns[address] = conns[:len(conns)-1]
	return last
}

// put keeps an idle connection for reuse, for at most the keep-alive time that
// the peer announced. A peerTimeout of 0 means that none was announced.
func (t *Transport) put(address string, c *conn, peerTimeout time.Duration) {
	lifetime := t.idle
	if peerTimeout > 0 {
		lifetime = min(lifetime, max(peerTimeout-keepAliveMargin, 0))
	}
	c.expires = time.Now().Add(lifetime)
	t.lock.Lock()
	defer t.lock.Unlock()
	if lifetime <= 0 || t.closed {
		c.close()
		return
	}
	t.conns[address] = append(t.conns[address], c)
	if !t.sweeping {
		t.sweeping = true
		time.AfterFunc(t.idle, t.sweep)
	}
}

// sweep closes the connections that have been idle for too long.
func (t *Transport) sweep() {
	t.lock.Lock()
	defer t.lock.Unlock()
	now := time.Now()
	t.sweeping = false
	for address, conns := range t.conns {
		kept := conns[:0]
		for _, c := range conns {
			if now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			c.close()
		}
		clear(conns[len(kept):])
		t.conns[address] = kept
		if len(kept) == 0 {
			delete(t.conns, address)
		}
	}
	if len(t.conns) > 0 {
		t.sweeping = true
		time.AfterFunc(t.idle/sweepsPerIdleTime, t.sweep)
	}
}

// sweepsPerIdleTime is the number of times per idle time that idle connections
// are scanned for expiry.
const sweepsPerIdleTime = 4

// Close closes all idle connections, and those in use at the end of their
// responses.
func (t *Transport) Close() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.closed = true
	for _, conns := range t.conns {
		for _, c := range conns {
			c.close()
		}
	}
	clear(t.conns)
}

// keepAlive returns the timeout of a Keep-Alive header, or 0 if there is none.
func keepAlive(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); strings.EqualFold(name, "timeout") && err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
