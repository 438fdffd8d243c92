package distributor

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// stepTime is the time between steps of the network.
const stepTime = 100 * time.Millisecond

// failing is an asserter that fails the test.
type failing struct {
	testing.TB
}

// Check implements asserter.Asserter.
func (f failing) Check(ok bool, invariant, detail string) {
	if !ok {
		f.Fatalf("%s: %s", invariant, detail)
	}
}

// network is a line of members with jumps, without sockets.
type network struct {
	random  *rand.Rand
	now     time.Time
	members []*Distributor
	links   map[int][]int
	frames  []delivery
	loss    float64
}

type delivery struct {
	from, to int
	frame    *messenger.Frame
}

func newNetwork(t *testing.T, size int, seed uint64) *network {
	n := &network{
		random: rand.New(rand.NewPCG(seed, seed)),
		now:    time.Unix(1, 0),
		links:  map[int][]int{},
	}
	for i := range size {
		n.members = append(n.members, New(failing{TB: t}))
		for _, j := range []int{(i + 1) % size, (i + 3) % size} {
			n.links[i] = append(n.links[i], j)
			n.links[j] = append(n.links[j], i)
		}
	}
	for i, links := range n.links {
		for _, j := range links {
			n.take(i, n.members[i].OnPeer(fmt.Sprint(j), &messenger.Head{}, n.now))
		}
	}
	return n
}

func (n *network) take(from int, effects Effects) {
	for _, send := range effects.Sends {
		to := 0
		_, _ = fmt.Sscan(send.Peer, &to)
		n.frames = append(n.frames, delivery{
			from:  from,
			to:    to,
			frame: proto.CloneOf(send.Frame),
		})
	}
}

// step delivers what is on its way in random order, with loss and doubles,
// and lets a heartbeat pass on each link.
func (n *network) step() {
	n.now = n.now.Add(stepTime)
	frames := n.frames
	n.frames = nil
	slices.SortStableFunc(frames, func(a, b delivery) int {
		return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to))
	})
	n.random.Shuffle(len(frames), func(i, j int) { frames[i], frames[j] = frames[j], frames[i] })
	for _, d := range frames {
		if n.random.Float64() < n.loss {
			continue
		}
		n.deliver(d)
		if n.random.Float64() < n.loss {
			n.deliver(d)
		}
	}
	for i, m := range n.members {
		n.take(i, m.Tick(n.now))
		for _, j := range n.links[i] {
			n.take(i, m.OnHeartbeat(fmt.Sprint(j), n.members[j].Manifest().Number(), n.now))
		}
	}
}

func (n *network) deliver(d delivery) {
	m, peer := n.members[d.to], fmt.Sprint(d.from)
	switch body := d.frame.GetBody().(type) {
	case *messenger.Frame_Head:
		n.take(d.to, m.OnHead(peer, body.Head, n.now))
	case *messenger.Frame_ManifestRequest:
		n.take(d.to, m.OnManifestRequest(peer, body.ManifestRequest.GetHeld()))
	case *messenger.Frame_Updates:
		n.take(d.to, m.OnUpdates(peer, body.Updates.GetUpdates(), n.now))
	case *messenger.Frame_Manifest:
		n.take(d.to, m.OnManifest(peer, body.Manifest, n.now))
	case *messenger.Frame_Pull:
		n.take(d.to, m.OnPull(peer, body.Pull))
	case *messenger.Frame_Pieces:
		n.take(d.to, m.OnPieces(peer, body.Pieces, n.now))
	}
}

// source makes versions as the log would.
type source struct {
	manifest fireflymoor.Manifest
	pieces   map[string][2]string
}

func (s *source) change(team, values string) (fireflymoor.Manifest, []string) {
	template := strings.Repeat("template of "+team+"\n", 50)
	s.pieces[team] = [2]string{template, values}
	s.manifest = s.manifest.With(fireflymoor.TeamEntry{
		Team:     team,
		Template: fireflymoor.HashOf(template),
		Values:   fireflymoor.HashOf(values),
	})
	var pieces []string
	for _, p := range s.pieces {
		pieces = append(pieces, p[0], p[1])
	}
	return s.manifest, pieces
}

// TestSpread has versions follow each other over links that lose, double and
// reorder, so that updates cross on the way. Every member comes to hold the
// newest version whole; a member's version only grows (asserted inside). With
// a tenth of the messages lost this takes no more than the 4 s of the users'
// letter; with three tenths no time is stated, and it must only come to be.
func TestSpread(t *testing.T) {
	t.Run("a tenth lost", func(t *testing.T) { spread(t, 0.1, 4*time.Second) })
	t.Run("three tenths lost", func(t *testing.T) { spread(t, 0.3, time.Minute) })
}

func spread(t *testing.T, loss float64, within time.Duration) {
	slowest := 0
	for seed := range uint64(40) {
		n := newNetwork(t, 9, seed)
		n.loss = loss
		s := &source{
			pieces: map[string][2]string{},
		}
		for i := range 60 {
			manifest, pieces := s.change(fmt.Sprintf("team-%d", i%4), fmt.Sprintf("[values]\nn = %d\n", i))
			n.take(0, n.members[0].Adopt(manifest, pieces))
			if i%3 == 0 {
				n.step()
			}
		}
		steps := 0
		for ; steps < int(within/stepTime) && !n.all(s.manifest); steps++ {
			n.step()
		}
		slowest = max(slowest, steps)
		for i, m := range n.members {
			if m.Manifest().Hash() != s.manifest.Hash() {
				t.Fatalf("seed %d: member %d holds version %d, not %d", seed, i, m.Manifest().Number(), s.manifest.Number())
			}
			for team, p := range s.pieces {
				inputs, _ := m.Inputs(team)
				if inputs.Template != p[0] || inputs.Values != p[1] {
					t.Fatalf("seed %d: member %d lacks the inputs of %s", seed, i, team)
				}
			}
		}
	}
	t.Logf("slowest of 40 seeds: %s", time.Duration(slowest)*stepTime)
}

// all says whether every member holds a version.
func (n *network) all(manifest fireflymoor.Manifest) bool {
	for _, m := range n.members {
		if m.Manifest().Number() != manifest.Number() {
			return false
		}
	}
	return true
}

// TestWholeOrNotAtAll gives a member a version with a piece missing, and one
// with a piece that is not what the manifest names. It keeps the one before.
func TestWholeOrNotAtAll(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	s := &source{
		pieces: map[string][2]string{},
	}
	manifest, _ := s.change("team", "[values]\n")
	d := New(failing{TB: t})
	d.OnPeer("peer", messenger.HeadOf(manifest), now)
	d.OnManifest("peer", messenger.FromManifest(manifest), now)
	is.Equal(d.wanted.Number(), uint64(1)) // its pieces are asked for
	effects := d.OnPieces("peer", &messenger.Pieces{
		Pieces: []*messenger.Piece{
			{
				Content: []byte("nonsense"),
			},
		},
	}, now)
	is.True(!effects.Stored)
	is.Equal(d.Manifest().Number(), uint64(0))
}

// TestSmallChangesAreSmall packs a changed piece against the one held.
func TestSmallChangesAreSmall(t *testing.T) {
	is := is.New(t)
	s := &source{
		pieces: map[string][2]string{},
	}
	long := strings.Repeat("some-parameter = some value\n", 200)
	d := New(failing{TB: t})
	manifest, pieces := s.change("team", "[values]\n"+long+"timeout = 1s\n")
	d.Adopt(manifest, pieces)
	manifest, pieces = s.change("team", "[values]\n"+long+"timeout = 2s\n")
	d.Adopt(manifest, pieces)
	effects := d.OnManifestRequest("peer", manifest.Number()-1)
	size := proto.Size(effects.Sends[0].Frame)
	t.Logf("a change of one value among %d bytes travels in %d bytes", len(long), size)
	is.True(size < 200)
}

// TestBadUpdate gives a member updates that do not lead to what they name: it
// keeps the version before, and asks for the whole manifest.
func TestBadUpdate(t *testing.T) {
	s := &source{
		pieces: map[string][2]string{},
	}
	for name, spoil := range map[string]func(*messenger.Update){
		"another hash":     func(u *messenger.Update) { u.Hash[0]++ },
		"another result":   func(u *messenger.Update) { u.RenderedHash[0]++ },
		"another team":     func(u *messenger.Update) { u.Team = "other" },
		"not the next":     func(u *messenger.Update) { u.Number++ },
		"nonsense values":  func(u *messenger.Update) { u.Values = []byte("nonsense") },
		"values left out":  func(u *messenger.Update) { u.Values = nil },
		"no rendered hash": func(u *messenger.Update) { u.RenderedHash = nil },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1, 0)
			from, to := New(failing{TB: t}), New(failing{TB: t})
			for i := range 2 {
				from.Adopt(s.change("team", fmt.Sprintf("[values]\nn = %s%d\n", name, i)))
				if i == 0 {
					to.Adopt(from.Manifest(), from.Pieces())
				}
			}
			held := to.Manifest().Number()
			to.OnHead("peer", &messenger.Head{Number: from.Manifest().Number()}, now)
			u := proto.CloneOf(from.since(held)[0])
			spoil(u)
			effects := to.OnUpdates("peer", []*messenger.Update{u}, now)
			is.True(!effects.Stored)
			is.Equal(to.Manifest().Number(), held)
			is.Equal(effects.Sends[0].Frame.GetManifestRequest().GetHeld(), uint64(0))
		})
	}
}

func BenchmarkStore(b *testing.B) {
	s := &source{
		pieces: map[string][2]string{},
	}
	d := New(failing{TB: b})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		d.Adopt(s.change(fmt.Sprintf("team-%d", i%110), fmt.Sprint(i)))
	}
}

// TestLateAnswer has a neighbour's answer take longer over its full link than it
// may, so that another is asked. The answer counts when it comes.
func TestLateAnswer(t *testing.T) {
	is := is.New(t)
	s := &source{
		pieces: map[string][2]string{},
	}
	holder, member := New(failing{TB: t}), New(failing{TB: t})
	holder.Adopt(s.change("team", "one"))
	manifest, pieces := s.change("team", "two")
	member.Adopt(s.manifest, pieces)
	first, firstPieces := s.change("team", "three")
	holder.Adopt(manifest, pieces)
	holder.Adopt(first, firstPieces)
	now := time.Unix(1, 0)
	member.OnHead("near", &messenger.Head{Number: first.Number()}, now)
	member.OnHead("far", &messenger.Head{Number: first.Number()}, now)
	asked := member.asked
	now = now.Add(pullTimeout)
	member.Tick(now)
	is.True(member.asked != asked)
	answer := holder.OnManifestRequest("member", manifest.Number())
	is.Equal(len(answer.Sends), 1)
	effects := member.OnUpdates(asked, answer.Sends[0].Frame.GetUpdates().GetUpdates(), now)
	is.True(effects.Stored)
	is.Equal(member.Manifest().Number(), first.Number())
	is.Equal(member.asked, "") // nobody else is waited for
}
