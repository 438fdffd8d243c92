// Package relayer is a TCP proxy between processes for tests and benchmarks. It
// delays, cuts, blackholes and resets connections, selected by their source and
// destination.
package relayer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// A Rule describes the fault, if any, on connections from one IP address to
// another.
type Rule struct {
	// Delay is the one-way delay of all bytes.
	Delay time.Duration
	// EndDelay is how long the end of a connection follows behind its last bytes.
	EndDelay time.Duration
	// Cut holds back all bytes and lets no connection open.
	Cut bool
}

const (
	bufferSize = 32 << 10
	// maxQueuedChunks is the maximum number of chunks in flight in one
	// direction of a link.
	maxQueuedChunks = 1024
	// cutPollInterval is how often a link checks whether its cut has ended.
	cutPollInterval = 10 * time.Millisecond
	dialTimeout     = time.Second
)

// A Relayer relays TCP connections under rules that may change at any time.
type Relayer struct {
	lock  sync.Mutex
	rules func(from, to string) Rule
	links map[*link]bool
}

// link is one relayed connection. It consists of the connection accepted from the
// source and the one dialed to the destination.
type link struct {
	from, to      string
	accepted      net.Conn
	dialed        net.Conn
	blackholed    chan struct{}
	blackholeOnce sync.Once
}

// New returns a new Relayer without faults.
func New() *Relayer {
	return &Relayer{
		rules: func(string, string) Rule { return Rule{} },
		links: map[*link]bool{},
	}
}

// SetRules replaces the function that returns the rule for a connection. Its
// arguments are the IP addresses of the sender and the receiver of the bytes.
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

// Blackhole makes the open connections that match discard all bytes from now on,
// without closing them. New connections work. It returns the number of matching
// connections.
func (r *Relayer) Blackhole(match func(from, to string) bool) int {
	r.lock.Lock()
	defer r.lock.Unlock()
	count := 0
	for l := range r.links {
		if match(l.from, l.to) {
			l.blackholeOnce.Do(func() { close(l.blackholed) })
			count++
		}
	}
	return count
}

// Reset closes the open connections that match, at both ends.
func (r *Relayer) Reset(match func(from, to string) bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for l := range r.links {
		if match(l.from, l.to) {
			_ = l.accepted.Close()
			_ = l.dialed.Close()
		}
	}
}

// Relay listens on an address and relays connections to another until ctx ends.
func (r *Relayer) Relay(ctx context.Context, listen, to string) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "relayer: listen")
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go r.connect(ctx, accepted, to)
		}
	}()
	return nil
}

func host(address string) string {
	h, _, _ := net.SplitHostPort(address)
	return h
}

// connect relays one connection. It dials the destination only once the link is
// not cut. Until then the source waits, as it would if its packets were lost.
func (r *Relayer) connect(ctx context.Context, accepted net.Conn, to string) {
	l := &link{
		from:       host(accepted.RemoteAddr().String()),
		to:         host(to),
		accepted:   accepted,
		blackholed: make(chan struct{}),
	}
	if !r.waitWhileCut(ctx, l, l.from, l.to) {
		_ = accepted.Close()
		return
	}
	dialed, err := net.DialTimeout("tcp", to, dialTimeout)
	if err != nil {
		_ = accepted.Close()
		return
	}
	l.dialed = dialed
	r.lock.Lock()
	r.links[l] = true
	r.lock.Unlock()
	stop := context.AfterFunc(ctx, func() {
		_ = accepted.Close()
		_ = dialed.Close()
	})
	var group sync.WaitGroup
	group.Go(func() { r.copy(ctx, l, accepted, dialed, l.from, l.to) })
	group.Go(func() { r.copy(ctx, l, dialed, accepted, l.to, l.from) })
	group.Wait()
	stop()
	r.lock.Lock()
	delete(r.links, l)
	r.lock.Unlock()
}

// waitWhileCut waits while the link is cut. It reports whether bytes may pass
// afterwards, which is false if the link is blackholed or ctx ended in a cut.
func (r *Relayer) waitWhileCut(ctx context.Context, l *link, from, to string) bool {
	for r.rule(from, to).Cut {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(cutPollInterval):
		}
	}
	select {
	case <-l.blackholed:
		return false
	default:
		return true
	}
}

// chunk is data in flight, with the time at which it is to be written.
type chunk struct {
	data []byte
	due  time.Time
}

// copy forwards bytes in one direction, each chunk after its delay. Once the link
// is blackholed it discards bytes, and leaves both ends open until ctx ends.
func (r *Relayer) copy(ctx context.Context, l *link, in, out net.Conn, from, to string) {
	chunks := make(chan chunk, maxQueuedChunks)
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, bufferSize)
			n, err := in.Read(buffer)
			if n > 0 {
				chunks <- chunk{
					data: buffer[:n],
					due:  time.Now().Add(r.rule(from, to).Delay),
				}
			}
			if err != nil {
				return
			}
		}
	}()
	stopped := false
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		if stopped || !r.waitWhileCut(ctx, l, from, to) {
			stopped = true
			continue
		}
		if _, err := out.Write(c.data); err != nil {
			break
		}
	}
	if stopped {
		<-ctx.Done()
		return
	}
	time.Sleep(r.rule(from, to).EndDelay)
	_ = out.Close()
	_ = in.Close()
}
