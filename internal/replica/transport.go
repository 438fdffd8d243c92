// Package replica sends messages to the other control replicas.
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
	"github.com/fireflymoor/fireflymoor/internal/linker"
	"github.com/fireflymoor/fireflymoor/internal/loader"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

const (
	queueLength = 256
	redialWait  = 100 * time.Millisecond
	// receiveTimeout is the time without a message from a peer after which the
	// connection to it is reopened.
	receiveTimeout = 1500 * time.Millisecond
)

// A Transport sends messages to the other replicas. It drops a message that it
// cannot send or queue immediately: the replicated log resends it.
type Transport struct {
	self   string
	dialer *dialer.Dialer

	lock  sync.Mutex
	ctx   context.Context
	peers map[string]*peer
}

type peer struct {
	name         string
	address      string
	queue        chan *messenger.ReplicaMessage
	lastReceived atomic.Int64
	cancel       context.CancelFunc
}

// New returns a new Transport without peers for the replica named self.
func New(self string, dialer *dialer.Dialer) *Transport {
	return &Transport{
		self:   self,
		dialer: dialer,
		peers:  map[string]*peer{},
	}
}

// SetPeers replaces the replicas that messages can be sent to. It is safe for
// concurrent use.
func (t *Transport) SetPeers(replicas []loader.Replica) {
	t.lock.Lock()
	defer t.lock.Unlock()
	wanted := map[string]bool{}
	for _, r := range replicas {
		if r.Name == t.self || r.Address == "" {
			continue
		}
		wanted[r.Name] = true
		current := t.peers[r.Name]
		if current != nil && current.address == r.Address {
			continue
		}
		t.removePeer(r.Name)
		p := &peer{
			name:    r.Name,
			address: r.Address,
			queue:   make(chan *messenger.ReplicaMessage, queueLength),
		}
		t.peers[r.Name] = p
		t.startSending(p)
	}
	for name := range t.peers {
		if !wanted[name] {
			t.removePeer(name)
		}
	}
}

func (t *Transport) removePeer(name string) {
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

// Send queues a message. It drops the message if the receiver is unknown or its
// queue is full.
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

// MarkReceived records that a message was received from a replica.
func (t *Transport) MarkReceived(name string) {
	if p := t.peer(name); p != nil {
		p.lastReceived.Store(time.Now().UnixNano())
	}
}

// Run sends the queued messages until ctx is done.
func (t *Transport) Run(ctx context.Context) {
	t.lock.Lock()
	t.ctx = ctx
	for _, p := range t.peers {
		t.startSending(p)
	}
	t.lock.Unlock()
	<-ctx.Done()
}

// startSending starts to send a peer's messages if the transport is running.
func (t *Transport) startSending(p *peer) {
	if t.ctx == nil {
		return
	}
	ctx, cancel := context.WithCancel(t.ctx)
	p.cancel = cancel
	go func() {
		for ctx.Err() == nil {
			_ = t.stream(ctx, p)
			sleep(ctx, redialWait)
		}
	}()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// stream sends one peer's messages over one connection until the connection
// fails or the peer is unresponsive.
func (t *Transport) stream(ctx context.Context, p *peer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := linker.Dial(ctx, p.address, t.dialer)
	if err != nil {
		return err
	}
	defer closeConn(conn)
	s, err := messenger.NewDRPCReplicationClient(conn).Exchange(ctx)
	if err != nil {
		return errors.Wrapf(err, "replica %s: open a stream", p.name)
	}
	opened := time.Now()
	// Closing the connection unblocks a Send on a stuck connection.
	stopClosing := context.AfterFunc(ctx, func() { closeConn(conn) })
	defer stopClosing()
	go t.watchReceived(ctx, cancel, p, opened)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-p.queue:
			if err := s.Send(m); err != nil {
				return errors.Wrapf(err, "replica %s: send", p.name)
			}
			t.dialer.Counter().CountSent("replica", proto.Size(m))
		}
	}
}

// watchReceived cancels a stream if no message was received from the peer within
// receiveTimeout.
func (t *Transport) watchReceived(ctx context.Context, cancel context.CancelFunc, p *peer, opened time.Time) {
	defer cancel()
	for ctx.Err() == nil {
		sleep(ctx, receiveTimeout/2)
		lastReceived := time.Unix(0, p.lastReceived.Load())
		if time.Since(lastReceived) > receiveTimeout && time.Since(opened) > receiveTimeout {
			return
		}
	}
}

func closeConn(conn *drpcconn.Conn) {
	_ = conn.Close()
}

// Identify queries the replica at an address for its identity.
func (t *Transport) Identify(ctx context.Context, address string) (*messenger.Identity, error) {
	conn, err := linker.Dial(ctx, address, t.dialer)
	if err != nil {
		return nil, errors.Wrapf(err, "replica at %s: identify", address)
	}
	defer closeConn(conn)
	identity, err := messenger.NewDRPCReplicationClient(conn).Identify(ctx, &messenger.Empty{})
	return identity, errors.Wrapf(err, "replica at %s: identify", address)
}
