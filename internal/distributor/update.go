package distributor

import (
	"slices"
	"time"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/compressor"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

const (
	// maxRecentUpdates bounds the updates kept for neighbours that lag by some versions,
	// and maxRecentBytes their size. Applying an update takes milliseconds for a large
	// configuration, and a whole version a second of a link with 1 Mbit/s.
	maxRecentUpdates = 64
	maxRecentBytes   = 64 << 10
)

// recordUpdate appends the update that leads to the next version to the recent
// ones. A nil update clears them, as they would no longer be consecutive.
func (d *Distributor) recordUpdate(update *messenger.Update) {
	if update == nil {
		d.recentUpdates = nil
		return
	}
	updates := append(slices.Clip(d.recentUpdates), update)
	size := 0
	for _, u := range updates {
		size += sizeOf(u)
	}
	for len(updates) > 1 && (len(updates) > maxRecentUpdates || size > maxRecentBytes) {
		size -= sizeOf(updates[0])
		updates = updates[1:]
	}
	d.recentUpdates = updates
}

// sizeOf returns the size of the content of an update, in bytes.
func sizeOf(u *messenger.Update) int {
	return len(u.GetTemplate()) + len(u.GetValues()) + len(u.GetRollouts())
}

// updatesSince returns the updates that lead from a version to the one held, or
// nil if they are not all available.
func (d *Distributor) updatesSince(held uint64) []*messenger.Update {
	for i, u := range d.recentUpdates {
		// A neighbour that holds no version, or that could not apply an update, asks for
		// the updates after version 0.
		if held > 0 && u.GetNumber() == held+1 {
			return d.recentUpdates[i:]
		}
	}
	return nil
}

// updateTo returns the update from the version held to next, or nil if next does
// not directly follow it. Only the source creates updates. All other processes
// forward the updates that they received.
func (d *Distributor) updateTo(next fireflymoor.Manifest, pieces map[fireflymoor.Hash]string) *messenger.Update {
	if next.Number() != d.manifest.Number()+1 {
		return nil
	}
	for _, e := range next.Teams() {
		if e.Number == next.Number() {
			return d.makeUpdate(next, e, pieces)
		}
	}
	return nil
}

func (d *Distributor) makeUpdate(next fireflymoor.Manifest, e fireflymoor.TeamEntry, pieces map[fireflymoor.Hash]string) *messenger.Update {
	hash := next.Hash()
	old, _ := d.manifest.Team(e.Team)
	u := &messenger.Update{
		Number:       next.Number(),
		Hash:         hash[:],
		Team:         e.Team,
		RenderedHash: e.Rendered[:],
	}
	var err error
	if e.Template != old.Template {
		if u.Template, err = compressor.Pack(pieces[e.Template], d.pieces[old.Template]); err != nil {
			return nil
		}
	}
	if e.Values != old.Values {
		if u.Values, err = compressor.Pack(pieces[e.Values], d.pieces[old.Values]); err != nil {
			return nil
		}
	}
	if e.Rollouts != old.Rollouts {
		if u.Rollouts, err = compressor.Pack(pieces[e.Rollouts], d.pieces[old.Rollouts]); err != nil {
			return nil
		}
	}
	return u
}

// OnUpdates handles requested updates, including a response that arrives after
// its timeout. An update is applied only if the resulting version has the hash
// that the update gives. Otherwise the full manifest is requested, unless the
// response was late.
func (d *Distributor) OnUpdates(peer string, updates []*messenger.Update, now time.Time) Effects {
	late := peer != d.pendingPeer
	if !late {
		d.pendingPeer = ""
	}
	d.recordResponse(peer, now)
	for _, u := range updates {
		if u.GetNumber() <= d.manifest.Number() {
			continue
		}
		if d.applyUpdate(u) {
			continue
		}
		if !late {
			d.requestUpdates(peer, 0, now)
		}
		return d.takeEffects()
	}
	if !late || d.newestPeer(now) == "" {
		d.pendingPeer = ""
		d.requestNewest(now)
	}
	return d.takeEffects()
}

// applyUpdate stores the version that an update leads to. It reports whether the
// update was applicable and the resulting hash matched.
func (d *Distributor) applyUpdate(u *messenger.Update) bool {
	rendered, ok := fireflymoor.HashFrom(u.GetRenderedHash())
	if !ok || u.GetNumber() != d.manifest.Number()+1 {
		return false
	}
	entry, _ := d.manifest.Team(u.GetTeam())
	entry.Team = u.GetTeam()
	entry.Rendered = rendered
	received := map[fireflymoor.Hash]string{}
	if entry.Template, ok = d.unpackInto(received, u.GetTemplate(), entry.Template); !ok {
		return false
	}
	if entry.Values, ok = d.unpackInto(received, u.GetValues(), entry.Values); !ok {
		return false
	}
	if entry.Rollouts, ok = d.unpackInto(received, u.GetRollouts(), entry.Rollouts); !ok {
		return false
	}
	next := d.manifest.With(entry)
	hash := next.Hash()
	if string(hash[:]) != string(u.GetHash()) {
		return false
	}
	d.store(next, received, u)
	return true
}

// unpackInto unpacks a changed piece into received and returns its hash. An
// empty packed piece stands for no change: its hash is that of the base. The
// result is false if the piece can't be unpacked.
func (d *Distributor) unpackInto(received map[fireflymoor.Hash]string, packed []byte, base fireflymoor.Hash) (fireflymoor.Hash, bool) {
	if len(packed) == 0 {
		return base, true
	}
	content, err := compressor.Unpack(packed, d.pieces[base])
	if err != nil {
		return fireflymoor.Hash{}, false
	}
	hash := fireflymoor.HashOf(content)
	received[hash] = content
	return hash, true
}
