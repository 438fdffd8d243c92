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
	dialer *dialer.Dialer
	peers  map[string]*peer
}

type peer struct {
	name    string
	address string
	queue   chan *messenger.ReplicaMessage
	heard   atomic.Int64
}

// New returns a new Transport to all replicas but the one called self.
func New(self string, replicas []loader.Replica, dialer *dialer.Dialer) *Transport {
	t := &Transport{
		dialer: dialer,
		peers:  map[string]*peer{},
	}
	for _, r := range replicas {
		if r.Name != self {
			t.peers[r.Name] = &peer{
				name:    r.Name,
				address: r.Address,
				queue:   make(chan *messenger.ReplicaMessage, queueLength),
			}
		}
	}
	return t
}

// Send queues a message.
func (t *Transport) Send(m *messenger.ReplicaMessage) {
	p := t.peers[m.GetTo()]
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
	if p := t.peers[name]; p != nil {
		p.heard.Store(time.Now().UnixNano())
	}
}

// Run sends until ctx ends.
func (t *Transport) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, p := range t.peers {
		group.Go(func() {
			for ctx.Err() == nil {
				_ = t.stream(ctx, p)
				wait(ctx, redialWait)
			}
		})
	}
	group.Wait()
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
func (t *Transport) Identify(ctx context.Context, name, address string) (*messenger.Identity, error) {
	conn, err := neighbour.Dial(ctx, address, t.dialer)
	if err != nil {
		return nil, errors.Wrapf(err, "replica %s: identify", name)
	}
	defer closeConn(conn)
	identity, err := messenger.NewDRPCReplicationClient(conn).Identify(ctx, &messenger.Empty{})
	return identity, errors.Wrapf(err, "replica %s: identify", name)
}
