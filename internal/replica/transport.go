// Package replica speaks with the other control replicas.
package replica

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"

	"github.com/fireflymoor/fireflymoor/internal/dialer"
	"github.com/fireflymoor/fireflymoor/internal/loader"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/neighbour"
)

const (
	queueLength = 256
	redialWait  = 100 * time.Millisecond
	// silenceTimeout is how long a peer may be silent before the connection
	// to it is opened anew.
	silenceTimeout = 1500 * time.Millisecond
)

// A Transport carries messages to the other replicas. A message that cannot
// be sent at once is dropped: the replicated log sends again.
type Transport struct {
	self   string
	dialer *dialer.Dialer

	lock  sync.Mutex
	ctx   context.Context
	peers map[string]*peer
}

type peer struct {
	name    string
	address string
	queue   chan *messenger.ReplicaMessage
	heard   atomic.Int64
	cancel  context.CancelFunc
}

// New returns a new Transport of the replica called self, to no others yet.
func New(self string, dialer *dialer.Dialer) *Transport {
	return &Transport{
		self:   self,
		dialer: dialer,
		peers:  map[string]*peer{},
	}
}

// SetPeers replaces the replicas that messages may go to. It may be called
// from any goroutine.
func (t *Transport) SetPeers(replicas []loader.Replica) {
	t.lock.Lock()
	defer t.lock.Unlock()
	wanted := map[string]bool{}
	for _, r := range replicas {
		if r.Name == t.self || r.Address == "" {
			continue
		}
		wanted[r.Name] = true
		known := t.peers[r.Name]
		if known != nil && known.address == r.Address {
			continue
		}
		t.drop(r.Name)
		p := &peer{
			name:    r.Name,
			address: r.Address,
			queue:   make(chan *messenger.ReplicaMessage, queueLength),
		}
		t.peers[r.Name] = p
		t.start(p)
	}
	for name := range t.peers {
		if !wanted[name] {
			t.drop(name)
		}
	}
}

func (t *Transport) drop(name string) {
	if p := t.peers[name]; p != nil && p.cancel != nil {
		p.cancel()
	}
	delete(t.peers, name)
}

func (t *Transport) peer(name string) *peer {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.peers[name]
}

// Send queues a message.
func (t *Transport) Send(m *messenger.ReplicaMessage) {
	p := t.peer(m.GetTo())
	if p == nil {
		return
	}
	select {
	case p.queue <- m:
	default:
	}
}

// Heard notes that a message came from a replica.
func (t *Transport) Heard(name string) {
	if p := t.peer(name); p != nil {
		p.heard.Store(time.Now().UnixNano())
	}
}

// Run sends until ctx ends.
func (t *Transport) Run(ctx context.Context) {
	t.lock.Lock()
	t.ctx = ctx
	for _, p := range t.peers {
		t.start(p)
	}
	t.lock.Unlock()
	<-ctx.Done()
}

// start has a peer's messages sent, once the transport runs.
func (t *Transport) start(p *peer) {
	if t.ctx == nil {
		return
	}
	ctx, cancel := context.WithCancel(t.ctx)
	p.cancel = cancel
	go func() {
		for ctx.Err() == nil {
			_ = t.stream(ctx, p)
			wait(ctx, redialWait)
		}
	}()
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// stream sends one peer's messages over one connection until it fails or the
// peer is silent.
func (t *Transport) stream(ctx context.Context, p *peer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := neighbour.Dial(ctx, p.address, t.dialer)
	if err != nil {
		return err
	}
	defer closeConn(conn)
	s, err := messenger.NewDRPCReplicationClient(conn).Exchange(ctx)
	if err != nil {
		return errors.Wrapf(err, "replica %s: open a stream", p.name)
	}
	opened := time.Now()
	stuck := context.AfterFunc(ctx, func() { closeConn(conn) })
	defer stuck()
	go t.watch(ctx, cancel, p, opened)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-p.queue:
			if err := s.Send(m); err != nil {
				return errors.Wrapf(err, "replica %s: send", p.name)
			}
			t.dialer.Counter().Sent("replica", proto.Size(m))
		}
	}
}

// watch ends a stream whose peer is silent.
func (t *Transport) watch(ctx context.Context, cancel context.CancelFunc, p *peer, opened time.Time) {
	defer cancel()
	for ctx.Err() == nil {
		wait(ctx, silenceTimeout/2)
		heard := time.Unix(0, p.heard.Load())
		if time.Since(heard) > silenceTimeout && time.Since(opened) > silenceTimeout {
			return
		}
	}
}

func closeConn(conn *drpcconn.Conn) {
	_ = conn.Close()
}

// Identify asks the replica at an address for its disk.
func (t *Transport) Identify(ctx context.Context, address string) (*messenger.Identity, error) {
	conn, err := neighbour.Dial(ctx, address, t.dialer)
	if err != nil {
		return nil, errors.Wrapf(err, "replica at %s: identify", address)
	}
	defer closeConn(conn)
	identity, err := messenger.NewDRPCReplicationClient(conn).Identify(ctx, &messenger.Empty{})
	return identity, errors.Wrapf(err, "replica at %s: identify", address)
}
