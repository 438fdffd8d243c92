// Package distributor decides how accepted versions spread over the overlay.
// Heads are flooded. A process pulls the content that it lacks from a neighbour
// that announced it. The package is a pure step function: it does no I/O and
// receives the time from its caller.
package distributor

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/asserter"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

const (
	// requestTimeout bounds the wait for a neighbour's response to a request. If
	// recent responses were slow, the bound is responseFactor times their time, up
	// to maxRequestTimeout: on a link with a long queue, more requests only
	// lengthen the queue.
	requestTimeout    = 300 * time.Millisecond
	maxRequestTimeout = 2 * time.Second
	responseFactor    = 1.5
	// responseSmoothing is the weight of a response that came faster than the
	// recent ones in their time.
	responseSmoothing = 0.3
	// largeFrame is the size in bytes from which frames are sent one after the other on a
	// link whose rate is known. The first neighbour can pass its copy on while the
	// second one receives it.
	largeFrame = 4 << 10
	// maxQueued bounds the large frames that wait. Further neighbours are told to ask
	// later, and may ask another one meanwhile.
	maxQueued = 1
	// largeResponse is the size in bytes of a response for whose time on this process's
	// link more is waited, maxTransferTime at most.
	largeResponse   = maxRecentBytes
	maxTransferTime = time.Second
	bitsPerByte     = 8
	// lentTime is how long a version is kept for a neighbour after its manifest was sent.
	// The request for its pieces may take a response time that is still waited for.
	lentTime = 2 * maxRequestTimeout
	// maxLent bounds the number of versions kept so, and maxPending that of versions
	// whose pieces may still arrive.
	maxLent    = 4
	maxPending = 4
	// maxLentLag is how many versions a lent version may be behind to be lent again.
	maxLentLag = 8
)

// An OutgoingFrame is one frame to send to one neighbour.
type OutgoingFrame struct {
	// Peer is the neighbour's name.
	Peer string
	// Frame is the message to send.
	Frame *messenger.Frame
}

// Effects are the actions that a step requires of its caller.
type Effects struct {
	// Sends are the frames to send.
	Sends []OutgoingFrame
	// Stored reports whether the step stored a newer, complete version.
	Stored bool
	// TickAfter is the time after which Tick is to be called, earlier than it would be
	// otherwise, or 0.
	TickAfter time.Duration
}

// A Distributor holds the newest complete version and fetches newer ones. It is
// not safe for concurrent use.
type Distributor struct {
	asserter asserter.Asserter
	manifest fireflymoor.Manifest
	pieces   map[fireflymoor.Hash]string
	// previousPieces are the pieces of the version held before, kept as bases
	// for packing.
	previousPieces map[fireflymoor.Hash]string
	// packed caches pieces in their packed form. Pieces that were received
	// packed are forwarded unchanged, so that only the source packs them.
	packed map[packKey][]byte
	// recentUpdates are consecutive updates that end at the version held.
	recentUpdates []*messenger.Update

	// peers is what is known of the neighbours, by name.
	peers map[string]*peer
	// announcements counts the announcements of newer versions by neighbours.
	announcements int
	// responseTime is the time of recent responses.
	responseTime time.Duration
	// pendingManifests are the versions whose pieces are being fetched, the oldest first.
	// The response to a request that timed out may still arrive.
	pendingManifests []fireflymoor.Manifest
	// lent are the versions whose manifests were sent to neighbors that are going to
	// request the pieces, the oldest first.
	lent []lentVersion
	// pendingPeer is the neighbour whose response is awaited, or "".
	pendingPeer string
	requestedAt time.Time
	// linkRate is the rate of this process's link, in bits a second, or 0.
	linkRate float64
	// queue holds the large frames that wait until linkFreeAt.
	queue      []queuedFrame
	linkFreeAt time.Time
	// effects collects the effects of the current step.
	effects Effects
}

// queuedFrame is a large frame that waits for the link.
type queuedFrame struct {
	OutgoingFrame

	size int
	// version is the version that the frame leads to.
	version uint64
}

// lentVersion is a version that is kept for neighbors that fetch it.
type lentVersion struct {
	manifest fireflymoor.Manifest
	pieces   map[fireflymoor.Hash]string
	at       time.Time
}

// peer is what is known of a neighbour.
type peer struct {
	// version is the newest version that it announced.
	version uint64
	// order is the number of that announcement.
	order int
	// failures counts the requests to it in a row that failed.
	failures int
	// busyUntil is until when it has asked not to be asked.
	busyUntil time.Time
	// requestedAt is when the last request was sent to it that it has not responded
	// to, or zero.
	requestedAt time.Time
}

// New returns a Distributor that holds the empty version.
func New(asserter asserter.Asserter) *Distributor {
	return &Distributor{
		asserter: asserter,
		pieces:   map[fireflymoor.Hash]string{},
		packed:   map[packKey][]byte{},
		peers:    map[string]*peer{},
	}
}

// SetLinkRate sets the rate of this process's link, in bits a second, or 0 if it is not
// known.
func (d *Distributor) SetLinkRate(rate float64) {
	d.linkRate = rate
}

// transferTime returns how long bytes take on this process's link.
func (d *Distributor) transferTime(bytes int) time.Duration {
	if d.linkRate <= 0 {
		return 0
	}
	seconds := float64(bytes*bitsPerByte) / d.linkRate
	return time.Duration(min(seconds, maxTransferTime.Seconds()) * float64(time.Second))
}

// Manifest returns the manifest of the newest complete version.
func (d *Distributor) Manifest() fireflymoor.Manifest {
	return d.manifest
}

// Inputs returns a team's inputs in the version held, and whether the version
// has the team.
func (d *Distributor) Inputs(team string) (fireflymoor.Inputs, bool) {
	entry, ok := d.manifest.Team(team)
	if !ok {
		return fireflymoor.Inputs{}, false
	}
	return fireflymoor.Inputs{
		Template: d.pieces[entry.Template],
		Values:   d.pieces[entry.Values],
		Rollouts: d.pieces[entry.Rollouts],
	}, true
}

// Pieces returns the contents of all pieces of the version held, in no
// particular order.
func (d *Distributor) Pieces() []string {
	pieces := make([]string, 0, len(d.pieces))
	for _, content := range d.pieces {
		pieces = append(pieces, content)
	}
	return pieces
}

// Store stores a complete version that was read from the log or the disk. It
// ignores a version that is not newer than the one held.
func (d *Distributor) Store(manifest fireflymoor.Manifest, pieces []string) Effects {
	if manifest.Number() <= d.manifest.Number() {
		return Effects{}
	}
	contents := map[fireflymoor.Hash]string{}
	for _, content := range pieces {
		contents[fireflymoor.HashOf(content)] = content
	}
	d.store(manifest, contents, d.updateTo(manifest, contents))
	return d.takeEffects()
}

// OnPeerUp handles the head of a neighbour whose link has just come up, and
// announces the local version to a neighbour that holds an older one.
func (d *Distributor) OnPeerUp(peer string, head *messenger.Head, now time.Time) Effects {
	if d.manifest.Number() > head.GetNumber() {
		d.announce(peer)
	}
	return d.OnHead(peer, head, now)
}

// OnPeerDown removes a neighbour whose link is down. A request that was pending
// at this neighbour goes to another one.
func (d *Distributor) OnPeerDown(peer string, now time.Time) Effects {
	delete(d.peers, peer)
	d.queue = slices.DeleteFunc(d.queue, func(q queuedFrame) bool { return q.Peer == peer })
	if d.pendingPeer == peer {
		d.pendingPeer = ""
		d.requestNewest(now)
	}
	return d.takeEffects()
}

// recordVersion records the version that a neighbour has announced.
func (d *Distributor) recordVersion(name string, version uint64) {
	p := d.peers[name]
	if p == nil {
		p = &peer{}
		d.peers[name] = p
	}
	if version > p.version {
		d.announcements++
		p.version = version
		p.order = d.announcements
	}
}

// recordFailure records that a request to a neighbour failed.
func (d *Distributor) recordFailure(name string) {
	if p := d.peers[name]; p != nil {
		p.failures++
	}
}

// recordResponse records that a neighbour has responded to a request.
func (d *Distributor) recordResponse(name string, now time.Time) {
	p := d.peers[name]
	if p == nil {
		return
	}
	p.failures = 0
	if p.requestedAt.IsZero() {
		return
	}
	took := now.Sub(p.requestedAt)
	p.requestedAt = time.Time{}
	decayed := d.responseTime + time.Duration(responseSmoothing*float64(took-d.responseTime))
	d.responseTime = max(took, decayed)
}

// OnHead handles a neighbour's head. It requests a newer version unless another
// request is pending.
func (d *Distributor) OnHead(peer string, head *messenger.Head, now time.Time) Effects {
	d.recordVersion(peer, head.GetNumber())
	if head.GetNumber() == d.manifest.Number() && len(head.GetHash()) > 0 && head.GetNumber() > 0 {
		localHash := d.manifest.Hash()
		same := string(localHash[:]) == string(head.GetHash())
		d.asserter.Check(same, "one-content-per-version", peer)
	}
	if d.pendingPeer == "" {
		d.requestNewest(now)
	}
	return d.takeEffects()
}

// OnHeartbeat handles the version number in a neighbour's heartbeat. It makes up
// for a head that was lost in either direction.
func (d *Distributor) OnHeartbeat(peer string, number uint64, now time.Time) Effects {
	if number < d.manifest.Number() {
		d.announce(peer)
	}
	if known := d.peers[peer]; known != nil && number <= known.version {
		return d.takeEffects()
	}
	return d.OnHead(peer, &messenger.Head{Number: number}, now)
}

// Tick expires a request that was not answered in time, and sends a request to
// another neighbour if there is one.
func (d *Distributor) Tick(now time.Time) Effects {
	d.lent = slices.DeleteFunc(d.lent, func(l lentVersion) bool { return now.Sub(l.at) >= lentTime })
	d.sendQueued(now)
	timeout := requestTimeout + d.transferTime(largeResponse)
	timeout = min(max(time.Duration(responseFactor*float64(d.responseTime)), timeout), maxRequestTimeout)
	if d.pendingPeer != "" && now.Sub(d.requestedAt) >= timeout {
		d.recordFailure(d.pendingPeer)
		d.pendingPeer = ""
	}
	if d.pendingPeer == "" {
		d.requestNewest(now)
	}
	return d.takeEffects()
}

// OnLater handles the response of a neighbour whose link has no room for a large one.
// Another neighbour is asked, or the same one later.
func (d *Distributor) OnLater(peer string, after time.Duration, now time.Time) Effects {
	p := d.peers[peer]
	if peer != d.pendingPeer || p == nil {
		return Effects{}
	}
	after = min(after, maxRequestTimeout)
	p.busyUntil = now.Add(after)
	p.requestedAt = time.Time{}
	d.pendingPeer = ""
	d.requestNewest(now)
	if d.pendingPeer == "" {
		d.effects.TickAfter = after
	}
	return d.takeEffects()
}

// requestNewest requests the missing updates from the neighbour with the newest
// version.
func (d *Distributor) requestNewest(now time.Time) {
	if peer := d.newestPeer(now); peer != "" {
		d.requestUpdates(peer, d.manifest.Number(), now)
	}
}

// requestUpdates requests the updates after the version with the number held. The
// neighbour responds with its full manifest if it does not have them all.
func (d *Distributor) requestUpdates(peer string, held uint64, now time.Time) {
	d.sendRequest(peer, now, &messenger.Frame{
		Body: &messenger.Frame_ManifestRequest{
			ManifestRequest: &messenger.ManifestRequest{
				Held: held,
			},
		},
	})
}

// newestPeer returns the neighbour to request a newer version from, or "" if no
// neighbour that may be asked has a newer version than the local one. It prefers the neighbours with
// the fewest failures in a row, of these the ones with the newest version, and of
// these the one that announced it first: it is likely to be near, and not all
// members of a zone turn to the same one.
func (d *Distributor) newestPeer(now time.Time) string {
	best := ""
	for name, p := range d.peers {
		if p.version <= d.manifest.Number() || now.Before(p.busyUntil) {
			continue
		}
		if best == "" || p.before(d.peers[best]) {
			best = name
		}
	}
	return best
}

// before reports whether a neighbour is preferred to another one.
func (p *peer) before(other *peer) bool {
	switch {
	case p.failures != other.failures:
		return p.failures < other.failures
	case p.version != other.version:
		return p.version > other.version
	}
	return p.order < other.order
}

func (d *Distributor) sendRequest(peer string, now time.Time, frame *messenger.Frame) {
	if p := d.peers[peer]; p != nil {
		p.requestedAt = now
	}
	d.pendingPeer = peer
	d.requestedAt = now
	d.send(peer, frame)
}

// store replaces the version held by a complete newer one, and announces it to
// all neighbours that lack it. The pieces of the replaced version are kept as
// bases for packing. update leads from the replaced version to the new one, or
// is nil.
func (d *Distributor) store(manifest fireflymoor.Manifest, received map[fireflymoor.Hash]string, update *messenger.Update) {
	d.asserter.Check(manifest.Number() > d.manifest.Number(), "version-only-grows", "distributor")
	pieces := map[fireflymoor.Hash]string{}
	for _, hash := range manifest.Pieces() {
		content, ok := received[hash]
		if !ok {
			content = d.pieces[hash]
		}
		pieces[hash] = content
	}
	d.recordUpdate(update)
	d.previousPieces = d.pieces
	d.pieces = pieces
	d.manifest = manifest
	d.pendingManifests = slices.DeleteFunc(d.pendingManifests, func(pending fireflymoor.Manifest) bool {
		return pending.Number() <= manifest.Number()
	})
	d.packed = map[packKey][]byte{}
	d.effects.Stored = true
	for name, p := range d.peers {
		if p.version < manifest.Number() {
			d.announce(name)
		}
	}
}

// announce sends the number of the version held to a neighbour.
func (d *Distributor) announce(peer string) {
	d.send(peer, &messenger.Frame{
		Body: &messenger.Frame_Head{
			Head: &messenger.Head{
				Number: d.manifest.Number(),
			},
		},
	})
}

// OnManifestRequest responds with the updates after the version that the
// neighbour holds, or with a full manifest if they are not all available or it holds none.
// The pieces of that version are kept for a while, as the neighbour requests them next.
func (d *Distributor) OnManifestRequest(peer string, held uint64, now time.Time) Effects {
	if updates := d.updatesSince(held); len(updates) > 0 {
		d.respond(peer, &messenger.Frame{
			Body: &messenger.Frame_Updates{
				Updates: &messenger.Updates{
					Updates: updates,
				},
			},
		}, d.manifest.Number(), now)
		return d.takeEffects()
	}
	d.send(peer, &messenger.Frame{
		Body: &messenger.Frame_Manifest{
			Manifest: messenger.FromManifest(d.lend(now)),
		},
	})
	return d.takeEffects()
}

// lend returns the version to send to a neighbour that needs a whole one. While versions
// follow each other quickly it is one that was lent before and that recent updates
// lead on from, so that few versions are kept and packed.
func (d *Distributor) lend(now time.Time) fireflymoor.Manifest {
	if last := len(d.lent) - 1; last >= 0 {
		number := d.lent[last].manifest.Number()
		behind := d.manifest.Number() - number
		if behind == 0 || behind <= maxLentLag && len(d.updatesSince(number)) > 0 {
			d.lent[last].at = now
			return d.lent[last].manifest
		}
	}
	if len(d.lent) >= maxLent {
		d.lent = slices.Delete(d.lent, 0, 1)
	}
	d.lent = append(d.lent, lentVersion{
		manifest: d.manifest,
		pieces:   d.pieces,
		at:       now,
	})
	return d.manifest
}

// respond sends a response that leads to a version, or queues it if it is large and
// another one is being sent.
func (d *Distributor) respond(peer string, frame *messenger.Frame, version uint64, now time.Time) {
	size := proto.Size(frame)
	if d.linkRate <= 0 || size < largeFrame {
		d.send(peer, frame)
		return
	}
	if len(d.queue) >= maxQueued {
		wait := d.linkFreeAt.Sub(now)
		for i := range d.queue {
			wait += d.transferTime(d.queue[i].size)
		}
		d.send(peer, &messenger.Frame{
			Body: &messenger.Frame_Later{
				Later: &messenger.Later{
					AfterMilliseconds: uint32(max(wait.Milliseconds(), 1)),
				},
			},
		})
		return
	}
	d.queue = append(d.queue, queuedFrame{
		OutgoingFrame: OutgoingFrame{
			Peer:  peer,
			Frame: frame,
		},
		size:    size,
		version: version,
	})
	d.sendQueued(now)
}

// sendQueued sends the next large frame if the link is free, unless the neighbour has got
// the version from another one meanwhile.
func (d *Distributor) sendQueued(now time.Time) {
	for len(d.queue) > 0 && !now.Before(d.linkFreeAt) {
		next := d.queue[0]
		d.queue = d.queue[1:]
		if p := d.peers[next.Peer]; p != nil && p.version >= next.version {
			continue
		}
		d.linkFreeAt = now.Add(d.transferTime(next.size))
		d.send(next.Peer, next.Frame)
	}
	if len(d.queue) > 0 {
		d.effects.TickAfter = max(d.linkFreeAt.Sub(now), time.Millisecond)
	}
}

func (d *Distributor) send(peer string, frame *messenger.Frame) {
	d.effects.Sends = append(d.effects.Sends, OutgoingFrame{
		Peer:  peer,
		Frame: frame,
	})
}

// takeEffects returns the collected effects and clears them.
func (d *Distributor) takeEffects() Effects {
	effects := d.effects
	d.effects = Effects{}
	return effects
}
