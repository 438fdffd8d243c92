// Package relayer stands between processes in tests and measurements. It
// delays, cuts and silences connections by where they come from and go to.
package relayer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// A Rule says what happens to connections between two IP numbers.
type Rule struct {
	// Delay is the one-way delay.
	Delay time.Duration
	// Cut holds all bytes back and lets no connection open.
	Cut bool
}

const (
	bufferSize = 32 << 10
	// queued is the number of pieces that may be on their way.
	queued = 1024
	// cutPoll is how often a held connection looks whether the cut has ended.
	cutPoll     = 10 * time.Millisecond
	dialTimeout = time.Second
)

// A Relayer relays connections.
type Relayer struct {
	lock  sync.Mutex
	rules func(from, to string) Rule
	links map[*link]bool
}

// link is one relayed connection.
type link struct {
	from, to string
	near     net.Conn
	far      net.Conn
	silent   chan struct{}
	once     sync.Once
}

// New returns a new Relayer that passes everything on.
func New() *Relayer {
	return &Relayer{
		rules: func(string, string) Rule { return Rule{} },
		links: map[*link]bool{},
	}
}

// SetRules replaces the rules. They are given the IP numbers of a
// connection's two ends, in the direction of the bytes.
func (r *Relayer) SetRules(rules func(from, to string) Rule) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.rules = rules
}

func (r *Relayer) rule(from, to string) Rule {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.rules(from, to)
}

// Silence makes the open connections that match silent for good. New ones
// work. It returns how many there were.
func (r *Relayer) Silence(match func(from, to string) bool) int {
	r.lock.Lock()
	defer r.lock.Unlock()
	silenced := 0
	for l := range r.links {
		if match(l.from, l.to) {
			l.once.Do(func() { close(l.silent) })
			silenced++
		}
	}
	return silenced
}

// Reset breaks the open connections that match.
func (r *Relayer) Reset(match func(from, to string) bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for l := range r.links {
		if match(l.from, l.to) {
			_ = l.near.Close()
			_ = l.far.Close()
		}
	}
}

// Relay listens on an address and relays to another until ctx ends.
func (r *Relayer) Relay(ctx context.Context, listen, to string) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "relayer: listen")
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go r.connect(ctx, near, to)
		}
	}()
	return nil
}

func host(address string) string {
	h, _, _ := net.SplitHostPort(address)
	return h
}

// connect relays one connection. Its far end is opened only when the rules
// let it: under a cut it hangs, as a packet that is lost would.
func (r *Relayer) connect(ctx context.Context, near net.Conn, to string) {
	l := &link{
		from:   host(near.RemoteAddr().String()),
		to:     host(to),
		near:   near,
		silent: make(chan struct{}),
	}
	if !r.pass(ctx, l, l.from, l.to) {
		_ = near.Close()
		return
	}
	far, err := net.DialTimeout("tcp", to, dialTimeout)
	if err != nil {
		_ = near.Close()
		return
	}
	l.far = far
	r.lock.Lock()
	r.links[l] = true
	r.lock.Unlock()
	stop := context.AfterFunc(ctx, func() {
		_ = near.Close()
		_ = far.Close()
	})
	var group sync.WaitGroup
	group.Go(func() { r.copy(ctx, l, near, far, l.from, l.to) })
	group.Go(func() { r.copy(ctx, l, far, near, l.to, l.from) })
	group.Wait()
	stop()
	r.lock.Lock()
	delete(r.links, l)
	r.lock.Unlock()
}

// pass waits while the link is cut. It reports false if the link is never to
// pass again.
func (r *Relayer) pass(ctx context.Context, l *link, from, to string) bool {
	for r.rule(from, to).Cut {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(cutPoll):
		}
	}
	select {
	case <-l.silent:
		return false
	default:
		return true
	}
}

// piece is what is on its way.
type piece struct {
	data []byte
	due  time.Time
}

// copy passes bytes on in one direction, each after its delay.
func (r *Relayer) copy(ctx context.Context, l *link, in, out net.Conn, from, to string) {
	pieces := make(chan piece, queued)
	go func() {
		defer close(pieces)
		for {
			buffer := make([]byte, bufferSize)
			n, err := in.Read(buffer)
			if n > 0 {
				pieces <- piece{
					data: buffer[:n],
					due:  time.Now().Add(r.rule(from, to).Delay),
				}
			}
			if err != nil {
				return
			}
		}
	}()
	dead := false
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		if dead || !r.pass(ctx, l, from, to) {
			dead = true
			continue
		}
		if _, err := out.Write(p.data); err != nil {
			break
		}
	}
	if dead {
		<-ctx.Done()
		return
	}
	_ = out.Close()
	_ = in.Close()
}
