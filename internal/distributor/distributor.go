// Package distributor decides how accepted versions spread over the overlay.
// Heads are flooded; what a process lacks it pulls from the neighbour that
// told it. It is a pure step function.
package distributor

import (
	"time"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/asserter"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// pullTimeout is how long an asked neighbour may take to answer.
const pullTimeout = 300 * time.Millisecond

// A Send is one frame for one neighbour.
type Send struct {
	// Peer is the neighbour's name.
	Peer string
	// Frame is the message.
	Frame *messenger.Frame
}

// Effects is what a step asks its caller to do.
type Effects struct {
	// Sends are to be sent.
	Sends []Send
	// Stored says that a newer version is now held whole.
	Stored bool
}

// A Distributor holds the newest whole version and fetches newer ones. Its
// methods are called from one goroutine.
type Distributor struct {
	asserter asserter.Asserter
	manifest fireflymoor.Manifest
	pieces   map[fireflymoor.Hash]string
	previous map[fireflymoor.Hash]string
	// packed are pieces as they travel. Those that came packed are passed on
	// as they are, so that only the source packs.
	packed map[packKey][]byte
	// recent are the updates that led to the version held, without a gap.
	recent []*messenger.Update

	heads   map[string]uint64
	wanted  *fireflymoor.Manifest
	asked   string
	askedAt time.Time
	effects Effects
}

// New returns a new Distributor that holds the empty version.
func New(asserter asserter.Asserter) *Distributor {
	return &Distributor{
		asserter: asserter,
		pieces:   map[fireflymoor.Hash]string{},
		packed:   map[packKey][]byte{},
		heads:    map[string]uint64{},
	}
}

// Manifest returns the newest version that is held whole.
func (d *Distributor) Manifest() fireflymoor.Manifest {
	return d.manifest
}

// Inputs returns a team's inputs in the version that is held.
func (d *Distributor) Inputs(team string) (fireflymoor.Inputs, bool) {
	entry, ok := d.manifest.Team(team)
	if !ok {
		return fireflymoor.Inputs{}, false
	}
	return fireflymoor.Inputs{
		Template: d.pieces[entry.Template],
		Values:   d.pieces[entry.Values],
	}, true
}

// Pieces returns the content of all pieces of the version that is held.
func (d *Distributor) Pieces() []string {
	pieces := make([]string, 0, len(d.pieces))
	for _, content := range d.pieces {
		pieces = append(pieces, content)
	}
	return pieces
}

// Adopt takes a whole version from the log or the disk.
func (d *Distributor) Adopt(manifest fireflymoor.Manifest, pieces []string) Effects {
	if manifest.Number() <= d.manifest.Number() {
		return Effects{}
	}
	known := map[fireflymoor.Hash]string{}
	for _, content := range pieces {
		known[fireflymoor.HashOf(content)] = content
	}
	d.store(manifest, known, d.updateTo(manifest, known))
	return d.take()
}

// OnPeer takes the head of a neighbour whose link has just come up, and tells
// it this one's.
func (d *Distributor) OnPeer(peer string, head *messenger.Head, now time.Time) Effects {
	if d.manifest.Number() > head.GetNumber() {
		d.tell(peer)
	}
	return d.OnHead(peer, head, now)
}

// OnPeerDown forgets a neighbour whose link is down.
func (d *Distributor) OnPeerDown(peer string, now time.Time) Effects {
	delete(d.heads, peer)
	if d.asked == peer {
		d.asked = ""
		d.chase(now)
	}
	return d.take()
}

// OnHead takes a neighbour's head.
func (d *Distributor) OnHead(peer string, head *messenger.Head, now time.Time) Effects {
	d.heads[peer] = max(d.heads[peer], head.GetNumber())
	if head.GetNumber() == d.manifest.Number() && len(head.GetHash()) > 0 && head.GetNumber() > 0 {
		own := d.manifest.Hash()
		same := string(own[:]) == string(head.GetHash())
		d.asserter.Check(same, "one-content-per-version", peer)
	}
	if d.asked == "" {
		d.chase(now)
	}
	return d.take()
}

// OnHeartbeat takes the version number in a neighbour's heartbeat, and closes
// the gap that a lost head has left on either side.
func (d *Distributor) OnHeartbeat(peer string, number uint64, now time.Time) Effects {
	if number < d.manifest.Number() {
		d.tell(peer)
	}
	if known, ok := d.heads[peer]; ok && number <= known {
		return d.take()
	}
	return d.OnHead(peer, &messenger.Head{Number: number}, now)
}

// Tick lets time pass: a neighbour that was asked and did not answer is
// passed over for another.
func (d *Distributor) Tick(now time.Time) Effects {
	if d.asked != "" && now.Sub(d.askedAt) >= pullTimeout {
		delete(d.heads, d.asked)
		d.asked = ""
		d.chase(now)
	}
	return d.take()
}

// chase asks the neighbour with the newest version for what is lacking.
func (d *Distributor) chase(now time.Time) {
	d.wanted = nil
	if peer := d.newest(); peer != "" {
		d.askSince(peer, d.manifest.Number(), now)
	}
}

// askSince asks for the updates since a version, or the whole manifest.
func (d *Distributor) askSince(peer string, held uint64, now time.Time) {
	d.ask(peer, now, &messenger.Frame{
		Body: &messenger.Frame_ManifestRequest{
			ManifestRequest: &messenger.ManifestRequest{
				Held: held,
			},
		},
	})
}

// newest returns the neighbour with the newest version, if that is newer than
// what is held.
func (d *Distributor) newest() string {
	peer := ""
	best := d.manifest.Number()
	for name, number := range d.heads {
		tie := peer != "" && number == best && name < peer
		if number > best || tie {
			peer = name
			best = number
		}
	}
	return peer
}

func (d *Distributor) ask(peer string, now time.Time, frame *messenger.Frame) {
	d.asked = peer
	d.askedAt = now
	d.send(peer, frame)
}

// store moves to a whole version and tells all neighbours that lack it. The
// pieces of the version before stay, to pack against. Update is what led here
// from the version before, or nil.
func (d *Distributor) store(manifest fireflymoor.Manifest, got map[fireflymoor.Hash]string, update *messenger.Update) {
	d.asserter.Check(manifest.Number() > d.manifest.Number(), "version-only-grows", "distributor")
	pieces := map[fireflymoor.Hash]string{}
	for _, hash := range manifest.Pieces() {
		content, ok := got[hash]
		if !ok {
			content = d.pieces[hash]
		}
		pieces[hash] = content
	}
	d.remember(update)
	d.previous = d.pieces
	d.pieces = pieces
	d.manifest = manifest
	d.wanted = nil
	d.packed = map[packKey][]byte{}
	d.effects.Stored = true
	for peer, known := range d.heads {
		if known < manifest.Number() {
			d.tell(peer)
		}
	}
}

// tell tells a neighbour which version is held.
func (d *Distributor) tell(peer string) {
	d.send(peer, &messenger.Frame{
		Body: &messenger.Frame_Head{
			Head: &messenger.Head{
				Number: d.manifest.Number(),
			},
		},
	})
}

// OnManifestRequest answers with the updates since the version that the
// neighbour holds, or else with the whole manifest.
func (d *Distributor) OnManifestRequest(peer string, held uint64) Effects {
	if updates := d.since(held); len(updates) > 0 {
		d.send(peer, &messenger.Frame{
			Body: &messenger.Frame_Updates{
				Updates: &messenger.Updates{
					Updates: updates,
				},
			},
		})
		return d.take()
	}
	d.send(peer, &messenger.Frame{
		Body: &messenger.Frame_Manifest{
			Manifest: messenger.FromManifest(d.manifest),
		},
	})
	return d.take()
}

func (d *Distributor) send(peer string, frame *messenger.Frame) {
	d.effects.Sends = append(d.effects.Sends, Send{
		Peer:  peer,
		Frame: frame,
	})
}

func (d *Distributor) take() Effects {
	effects := d.effects
	d.effects = Effects{}
	return effects
}
