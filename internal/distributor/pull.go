package distributor

import (
	"time"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/compressor"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

type packKey struct {
	hash fireflymoor.Hash
	base fireflymoor.Hash
}

// OnManifest takes the whole manifest that was asked for.
func (d *Distributor) OnManifest(peer string, m *messenger.Manifest, now time.Time) Effects {
	if peer != d.asked {
		return Effects{}
	}
	d.asked = ""
	manifest, err := messenger.ToManifest(m)
	if err != nil || manifest.Number() <= d.manifest.Number() {
		delete(d.heads, peer)
		d.chase(now)
		return d.take()
	}
	d.heads[peer] = manifest.Number()
	d.want(peer, manifest, now)
	return d.take()
}

// OnPieces takes pieces that were asked for, also late ones. The version is
// stored only when every piece is there and has the hash that the manifest
// names.
func (d *Distributor) OnPieces(peer string, answer *messenger.Pieces, now time.Time) Effects {
	if d.wanted == nil {
		return Effects{}
	}
	got := map[fireflymoor.Hash]string{}
	packed := map[packKey][]byte{}
	for _, p := range answer.GetPieces() {
		if content, hash, ok := d.unpack(p); ok {
			got[hash] = content
			base, _ := fireflymoor.HashFrom(p.GetBase())
			packed[packKey{hash: hash, base: base}] = p.GetContent()
		}
	}
	complete := d.complete(got)
	if !complete && peer != d.asked {
		return Effects{}
	}
	d.asked = ""
	if !complete {
		delete(d.heads, peer)
		d.chase(now)
		return d.take()
	}
	d.store(*d.wanted, got, nil)
	d.packed = packed
	d.chase(now)
	return d.take()
}

func (d *Distributor) unpack(p *messenger.Piece) (string, fireflymoor.Hash, bool) {
	base, _ := fireflymoor.HashFrom(p.GetBase())
	content, err := compressor.Unpack(p.GetContent(), d.pieces[base])
	if err != nil {
		return "", fireflymoor.Hash{}, false
	}
	return content, fireflymoor.HashOf(content), true
}

func (d *Distributor) complete(got map[fireflymoor.Hash]string) bool {
	for _, hash := range d.wanted.Pieces() {
		_, held := d.pieces[hash]
		_, fetched := got[hash]
		if !held && !fetched {
			return false
		}
	}
	return true
}

// want fetches the pieces of a version that are lacking, or stores it.
func (d *Distributor) want(peer string, manifest fireflymoor.Manifest, now time.Time) {
	d.wanted = &manifest
	pull := &messenger.Pull{}
	for _, e := range manifest.Teams() {
		old, _ := d.manifest.Team(e.Team)
		pull.Pieces = d.request(pull.GetPieces(), e.Template, old.Template)
		pull.Pieces = d.request(pull.GetPieces(), e.Values, old.Values)
	}
	if len(pull.GetPieces()) == 0 {
		d.store(manifest, nil, nil)
		d.chase(now)
		return
	}
	d.ask(peer, now, &messenger.Frame{
		Body: &messenger.Frame_Pull{
			Pull: pull,
		},
	})
}

func (d *Distributor) request(requests []*messenger.PieceRequest, hash, base fireflymoor.Hash) []*messenger.PieceRequest {
	if _, ok := d.pieces[hash]; ok {
		return requests
	}
	request := &messenger.PieceRequest{
		Hash: hash[:],
	}
	if _, ok := d.pieces[base]; ok {
		request.Base = base[:]
	}
	return append(requests, request)
}

// OnPull answers with the pieces that are held.
func (d *Distributor) OnPull(peer string, pull *messenger.Pull) Effects {
	answer := &messenger.Pieces{}
	for _, request := range pull.GetPieces() {
		if p := d.pack(request); p != nil {
			answer.Pieces = append(answer.Pieces, p)
		}
	}
	d.send(peer, &messenger.Frame{
		Body: &messenger.Frame_Pieces{
			Pieces: answer,
		},
	})
	return d.take()
}

func (d *Distributor) find(hash fireflymoor.Hash) (string, bool) {
	if content, ok := d.pieces[hash]; ok {
		return content, true
	}
	content, ok := d.previous[hash]
	return content, ok
}

func (d *Distributor) pack(request *messenger.PieceRequest) *messenger.Piece {
	hash, _ := fireflymoor.HashFrom(request.GetHash())
	content, ok := d.find(hash)
	if !ok {
		return nil
	}
	base, _ := fireflymoor.HashFrom(request.GetBase())
	baseContent, hasBase := d.find(base)
	key := packKey{
		hash: hash,
	}
	piece := &messenger.Piece{}
	if hasBase {
		key.base = base
		piece.Base = base[:]
	}
	packed, done := d.packed[key]
	if !done {
		var err error
		packed, err = compressor.Pack(content, baseContent)
		if err != nil {
			return nil
		}
		d.packed[key] = packed
	}
	piece.Content = packed
	return piece
}
