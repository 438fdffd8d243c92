package sender

import (
	"context"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor/internal/packer"
)

const (
	// maxForeign is the number of answers to other requests that are read past
	// on one connection.
	maxForeign = 2
	// keepAliveMargin is how much sooner than the peer has said a connection is
	// given up, so that no request crosses the peer's close.
	keepAliveMargin = 500 * time.Millisecond
)

// errNotSent marks an error after which no byte of the request has left.
var errNotSent = errors.New("no connection was had")

// errForeign says that only answers to other requests came.
var errForeign = errors.New("sender: the answer belongs to another request")

// A Transport is an http.RoundTripper that sends each request once, over
// connections that it keeps. Unlike http.Transport it never sends again by
// itself, reads past late answers to earlier requests, and needs no goroutines
// of its own for a request: the caller's writes and reads.
type Transport struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	idle time.Duration
	own  func(request, answer http.Header) bool
	// packer is nil if headers travel as they are.
	packer *packer.Packer

	lock     sync.Mutex
	conns    map[string][]*conn
	sweeping bool
	closed   bool
}

// An Option changes a Transport.
type Option func(*Transport)

// WithOwn has a Transport tell the answers to a request from late ones to
// others, by their headers.
func WithOwn(own func(request, answer http.Header) bool) Option {
	return func(t *Transport) {
		t.own = own
	}
}

// WithPacker has a Transport send and expect packed headers. The requests and
// answers of its callers bear them in full.
func WithPacker(packer *packer.Packer) Option {
	return func(t *Transport) {
		t.packer = packer
	}
}

// NewTransport returns a new Transport over connections that dial opens. One
// that has been idle for longer than idle, or than its peer said, is not used
// again. With an idle time of 0 none is kept.
func NewTransport(dial func(ctx context.Context, network, address string) (net.Conn, error), idle time.Duration, options ...Option) *Transport {
	t := &Transport{
		dial:  dial,
		idle:  idle,
		own:   func(_, _ http.Header) bool { return true },
		conns: map[string][]*conn{},
	}
	for _, option := range options {
		option(t)
	}
	return t
}

// RoundTrip implements http.RoundTripper. Errors after which nothing has been
// sent are told by NotSent.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := request.Context()
	c, err := t.connection(ctx, request.URL.Host)
	if err != nil {
		return nil, errors.Mark(err, errNotSent)
	}
	stop := context.AfterFunc(ctx, c.abort)
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
	response.Body = &body{
		ReadCloser: response.Body,
		left:       response.ContentLength,
		end: func(whole bool) {
			if stop() && whole && !response.Close && c.idle() {
				t.put(request.URL.Host, c, keepAlive(response.Header))
				return
			}
			c.close()
		},
	}
	return response, nil
}

// packed returns a request as it is written.
func (t *Transport) packed(request *http.Request) *http.Request {
	if t.packer == nil {
		return request
	}
	packed := *request
	packed.Header = maps.Clone(request.Header)
	t.packer.Pack(packed.Header)
	return &packed
}

// NotSent says whether nothing of a request had been sent when it failed.
func NotSent(err error) bool {
	return errors.Is(err, errNotSent)
}

// read reads the answer to a request, past late answers to others.
func (t *Transport) read(c *conn, request *http.Request) (*http.Response, error) {
	for range maxForeign + 1 {
		response, err := c.read(request)
		if err != nil {
			return nil, err
		}
		if t.packer != nil {
			t.packer.UnpackAnswer(response.Header, request.Header)
		}
		if t.own(request.Header, response.Header) {
			return response, nil
		}
		if err := discard(response); err != nil {
			return nil, errors.CombineErrors(errForeign, err)
		}
	}
	return nil, errForeign
}

// connection returns a connection that is kept and still open, or a new one.
func (t *Transport) connection(ctx context.Context, address string) (*conn, error) {
	for {
		c := t.take(address)
		if c == nil {
			break
		}
		if c.fresh() {
			return c, nil
		}
		c.close()
	}
	raw, err := t.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

// take returns the kept connection that was used last, or nil.
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

// put keeps a connection for as long as its peer does, if that is known.
func (t *Transport) put(address string, c *conn, peer time.Duration) {
	life := t.idle
	if peer > 0 {
		life = min(life, max(peer-keepAliveMargin, 0))
	}
	c.until = time.Now().Add(life)
	t.lock.Lock()
	defer t.lock.Unlock()
	if life <= 0 || t.closed {
		c.close()
		return
	}
	t.conns[address] = append(t.conns[address], c)
	if !t.sweeping {
		t.sweeping = true
		time.AfterFunc(t.idle, t.sweep)
	}
}

// sweep closes the connections that have been idle too long.
func (t *Transport) sweep() {
	t.lock.Lock()
	defer t.lock.Unlock()
	now := time.Now()
	t.sweeping = false
	for address, conns := range t.conns {
		kept := conns[:0]
		for _, c := range conns {
			if now.Before(c.until) {
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
		time.AfterFunc(t.idle/sweepShare, t.sweep)
	}
}

// sweepShare is the part of the idle time after which connections are looked
// over again.
const sweepShare = 4

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() {
	t.lock.Lock()
	defer t.lock.Unlock()
	for _, conns := range t.conns {
		for _, c := range conns {
			c.close()
		}
	}
	clear(t.conns)
}

// keepAlive returns how long a peer says that it keeps a connection, or 0.
func keepAlive(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); strings.EqualFold(name, "timeout") && err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
