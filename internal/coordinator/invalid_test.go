package coordinator

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/fireflymoor/fireflymoor/internal/linker"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/waiter"
)

// noText is a text that no protocol buffer can hold.
const noText = "\xff\xfe"

// startMembers starts members in three zones and waits until all know each other.
func startMembers(ctx context.Context, is *is.I, group *sync.WaitGroup, count int) (members []*overlayMember, names, addresses []string) {
	seed := ""
	for i := range count {
		name := fmt.Sprintf("member-%02d", i)
		m, address := startMember(ctx, is, group, name, fmt.Sprint("zone-", i%3), seed)
		if seed == "" {
			seed = address
		}
		members, names, addresses = append(members, m), append(names, name), append(addresses, address)
	}
	for _, m := range members {
		is.True(eventually(ctx, func() bool { return m.hasFacts(ctx, names, 1) }))
	}
	return members, names, addresses
}

// eventually reports whether a condition comes about within convergeTimeout.
func eventually(ctx context.Context, condition func() bool) bool {
	for deadline := time.Now().Add(convergeTimeout); !condition(); waiter.Pause(ctx, pollInterval) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}

// TestInvalidRecordCostsItself guards against members that lose their links, and go on with
// an old configuration, because a record of theirs cannot be encoded (CONFIG).
func TestInvalidRecordCostsItself(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	members, names, addresses := startMembers(ctx, is, &group, 4)
	last, lastName := members[3], names[3]
	last.sequencer.Post(func() {
		last.coordinator.SetTargets([]*messenger.Target{
			{Id: noText, Service: "service"},
			{Id: "sound", Service: "service"},
			{Id: "version", Service: "service", Version: noText},
		}, []*messenger.Departure{
			{Id: noText, Started: 1},
			{Id: "left", Started: 2},
		})
	})
	for _, m := range members[:3] {
		is.True(eventually(ctx, func() bool {
			var fact *messenger.Fact
			is.NoErr(m.sequencer.Do(ctx, func() { fact = m.coordinator.announcer.Fact(lastName) }))
			return len(fact.GetTargets()) == 1 && fact.GetTargets()[0].GetId() == "sound" &&
				len(fact.GetDepartures()) == 1 && fact.GetDepartures()[0].GetId() == "left"
		})) // it gets the sound records
	}
	// A member that joins now gets the fact in a hello, or from others.
	joined, _ := startMember(ctx, is, &group, "member-04", "zone-0", addresses[3])
	is.True(eventually(ctx, func() bool { return joined.hasFacts(ctx, names, 1) }))
	is.True(last.coordinator.Links() > 0)
}

// rawEncoding sends messages that are encoded already.
type rawEncoding struct{}

// Marshal implements drpc.Encoding.
func (rawEncoding) Marshal(message drpc.Message) ([]byte, error) {
	raw, ok := message.([]byte)
	if !ok {
		return nil, errors.Newf("%T is not encoded", message)
	}
	return raw, nil
}

// Unmarshal implements drpc.Encoding.
func (rawEncoding) Unmarshal([]byte, drpc.Message) error {
	return errors.New("not supported")
}

// TestUndecodableFrameKeepsLink guards against links that end with one frame that cannot
// be decoded, such as one of another build.
func TestUndecodableFrameKeepsLink(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	members, _, addresses := startMembers(ctx, is, &group, 1)
	conn, err := linker.Dial(ctx, addresses[0], members[0].coordinator.options.Dialer)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	link, err := messenger.NewDRPCOverlayClient(conn).Link(ctx)
	is.NoErr(err)
	fact := func(name string) *messenger.Fact {
		return &messenger.Fact{
			Name:           name,
			Zone:           "zone-0",
			Boot:           1,
			Sequence:       1,
			OverlayAddress: "127.0.0.1:9",
		}
	}
	is.NoErr(link.Send(&messenger.Frame{
		Body: &messenger.Frame_Hello{
			Hello: &messenger.Hello{
				Self: fact("stranger"),
			},
		},
	}))
	frame := factsFrame(&messenger.Facts{
		Facts: []*messenger.Fact{fact("another")},
	})
	encoded, err := proto.Marshal(frame)
	is.NoErr(err)
	raw, ok := link.(interface{ GetStream() drpc.Stream })
	is.True(ok)
	for _, invalid := range [][]byte{
		bytes.ReplaceAll(encoded, []byte("another"), []byte("another"[:5]+noText)), // no UTF-8
		encoded[:len(encoded)/2],
		{0xff},
	} {
		is.NoErr(raw.GetStream().MsgSend(invalid, rawEncoding{}))
	}
	is.NoErr(link.Send(frame))
	is.True(eventually(ctx, func() bool { return members[0].hasFacts(ctx, []string{"another"}, 1) }))
}
