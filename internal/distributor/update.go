package distributor

import (
	"time"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/compressor"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// recentMost is the number of updates kept for neighbours that are a little
// behind.
const recentMost = 16

// remember keeps the update that leads to the next version. Without one the
// chain of updates begins anew.
func (d *Distributor) remember(update *messenger.Update) {
	if update == nil {
		d.recent = nil
		return
	}
	first := max(len(d.recent)+1-recentMost, 0)
	d.recent = append(d.recent[first:len(d.recent):len(d.recent)], update)
}

// since returns the updates that lead from a version to the one held, or nil
// if they are not all there.
func (d *Distributor) since(held uint64) []*messenger.Update {
	for i, u := range d.recent {
		if u.GetNumber() == held+1 {
			return d.recent[i:]
		}
	}
	return nil
}

// updateTo makes the update from the version held to the next, or nil if that
// is not the very next. Only the source makes updates: all others pass on
// those that they got.
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
	return u
}

// OnUpdates takes the updates that were asked for, also late ones. Each leads
// to a version only if all of that has the hash that the update names;
// otherwise the whole manifest is asked for.
func (d *Distributor) OnUpdates(peer string, updates []*messenger.Update, now time.Time) Effects {
	late := peer != d.asked
	if !late {
		d.asked = ""
	}
	for _, u := range updates {
		if u.GetNumber() <= d.manifest.Number() {
			continue
		}
		if d.apply(u) {
			continue
		}
		if !late {
			d.askSince(peer, 0, now)
		}
		return d.take()
	}
	if !late || d.newest() == "" {
		d.asked = ""
		d.chase(now)
	}
	return d.take()
}

// apply moves to the version that an update leads to, or reports false.
func (d *Distributor) apply(u *messenger.Update) bool {
	rendered, ok := fireflymoor.HashFrom(u.GetRenderedHash())
	if !ok || u.GetNumber() != d.manifest.Number()+1 {
		return false
	}
	entry, _ := d.manifest.Team(u.GetTeam())
	entry.Team = u.GetTeam()
	entry.Rendered = rendered
	got := map[fireflymoor.Hash]string{}
	if entry.Template, ok = d.unpackInto(got, u.GetTemplate(), entry.Template); !ok {
		return false
	}
	if entry.Values, ok = d.unpackInto(got, u.GetValues(), entry.Values); !ok {
		return false
	}
	next := d.manifest.With(entry)
	hash := next.Hash()
	if string(hash[:]) != string(u.GetHash()) {
		return false
	}
	d.store(next, got, u)
	return true
}

// unpackInto unpacks a changed piece and returns its hash, or the hash of the
// piece before if it did not change.
func (d *Distributor) unpackInto(got map[fireflymoor.Hash]string, packed []byte, before fireflymoor.Hash) (fireflymoor.Hash, bool) {
	if len(packed) == 0 {
		return before, true
	}
	content, err := compressor.Unpack(packed, d.pieces[before])
	if err != nil {
		return fireflymoor.Hash{}, false
	}
	hash := fireflymoor.HashOf(content)
	got[hash] = content
	return hash, true
}
