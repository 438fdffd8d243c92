package quarantiner

import (
	"runtime"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

const (
	// maxMemory bounds the memory of all requests that may be remembered, with all their
	// ends, in bytes: a twentieth of that of a small instance.
	maxMemory = 9 << 20
	// maxMessage bounds the message about a target that was serving messageRequests, in
	// bytes.
	maxMessage      = 128
	messageRequests = 11
)

// TestMemoryAndMessageSize checks what requests under which targets have ended cost at most.
func TestMemoryAndMessageSize(t *testing.T) {
	is := is.New(t)
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	f := New()
	now := newFixture().now
	for i := range maxRequests {
		f.Report(uint64(i+1), []Fingerprint{Fingerprint(i + 1)}, nil, now)
	}
	one := heap()
	for i := range maxRequests {
		for e := range maxKnownEnds {
			f.Report(uint64((e+1)*maxRequests+i), []Fingerprint{Fingerprint(i + 1)}, nil, now)
		}
	}
	all := heap()
	runtime.KeepAlive(f)
	t.Logf("%d bytes for a request with one end, %d with %d", (one-before)/maxRequests, (all-before)/maxRequests, maxKnownEnds)
	is.True(all-before < maxMemory)

	var requests []Fingerprint
	for i := range messageRequests {
		requests = append(requests, Fingerprint(1<<60+i))
	}
	size := proto.Size(&messenger.Frame{
		Body: &messenger.Frame_TargetEnds{
			TargetEnds: &messenger.TargetEnds{
				Ends: []*messenger.TargetEnd{
					{
						End:      1 << 60,
						Requests: toMessage(requests),
					},
				},
			},
		},
	})
	t.Logf("%d bytes for a target that was serving %d requests", size, messageRequests)
	is.True(size < maxMessage)
}
