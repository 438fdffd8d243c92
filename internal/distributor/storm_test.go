package distributor

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

const (
	// stormStep is the resolution of the simulated time.
	stormStep = 10 * time.Millisecond
	// stormVersions is the number of versions that a member lacks when its links come
	// up. It is more than the neighbors have as updates.
	stormVersions = 2 * maxRecentUpdates
	// inForceTime is the time within which an accepted version must be held everywhere,
	// and catchUpTime that of a member whose links have come up.
	inForceTime = 2 * time.Second
	catchUpTime = 4 * time.Second
	// stormTime is how long versions follow each other.
	stormTime = 12 * time.Second
)

// delayed is a frame in flight to or from the member.
type delayed struct {
	delivery
	at time.Time
}

// storm is a member with slow links to neighbors that hold every version at once.
type storm struct {
	*network
	delay  time.Duration
	flying []delayed
}

// send puts what a member sends in flight. Only frames between the last member and others
// are delayed; the others do not pass on versions to each other.
func (s *storm) send(from int, effects Effects) {
	s.enqueue(from, effects)
	for _, d := range s.frames {
		s.flying = append(s.flying, delayed{
			delivery: delivery{
				from:  d.from,
				to:    d.to,
				frame: proto.CloneOf(d.frame),
			},
			at: s.now.Add(s.delay),
		})
	}
	s.frames = nil
}

// advance delivers what is due.
func (s *storm) advance() {
	s.now = s.now.Add(stormStep)
	flying := s.flying
	s.flying = nil
	for i := range flying {
		if flying[i].at.After(s.now) {
			s.flying = append(s.flying, flying[i])
			continue
		}
		s.deliver(flying[i].delivery)
		s.send(flying[i].to, Effects{})
	}
	for i, m := range s.members {
		s.send(i, m.Tick(s.now))
	}
}

// TestVersionsInQuickSuccession guards against a member on a slow link that lacks more
// versions than its neighbors have as updates, as after a cut, and does not get any of the
// versions that follow each other quickly, because the content of each is gone by the time
// it is requested (CONFIG).
func TestVersionsInQuickSuccession(t *testing.T) {
	for _, delay := range []time.Duration{50 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond} {
		for _, gap := range []time.Duration{60 * time.Millisecond, 150 * time.Millisecond, 250 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s every %s", delay, gap), func(t *testing.T) {
				is := is.New(t)
				s := &storm{
					network: newNetwork(t, 0, 1),
					delay:   delay,
				}
				for range 3 {
					s.members = append(s.members, New(failingAsserter{TB: t}))
				}
				const member = 2
				source := &source{
					pieces: map[string][2]string{},
				}
				accepted := map[uint64]time.Time{}
				accept := func() {
					manifest, pieces := source.change("team", fmt.Sprintf("values %d", len(accepted)))
					accepted[manifest.Number()] = s.now
					for i := range member {
						s.send(i, s.members[i].Store(manifest, pieces))
					}
				}
				for range stormVersions {
					accept()
				}
				began := s.now
				for i := range member {
					head := messenger.HeadOf(s.members[i].Manifest())
					s.send(member, s.members[member].OnPeerUp(fmt.Sprint(i), head, s.now))
					s.send(i, s.members[i].OnPeerUp(fmt.Sprint(member), &messenger.Head{}, s.now))
				}
				worst, next := time.Duration(0), began.Add(gap)
				for s.now.Sub(began) < stormTime {
					s.advance()
					if !s.now.Before(next) {
						accept()
						next = next.Add(gap)
					}
					held := s.members[member].Manifest().Number()
					if missing, ok := accepted[held+1]; ok && s.now.Sub(began) > catchUpTime {
						worst = max(worst, s.now.Sub(missing))
					}
				}
				t.Logf("a version was held after %s", worst)
				is.True(worst <= inForceTime)
			})
		}
	}
}
