package distributor

import (
	"slices"
	"time"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/compressor"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// packKey identifies a packed piece. The base is zero for a piece that was
// packed without one.
type packKey struct {
	hash fireflymoor.Hash
	base fireflymoor.Hash
}

// OnManifest handles a full manifest. It ignores one from a neighbour without a
// pending request.
func (d *Distributor) OnManifest(peer string, m *messenger.Manifest, now time.Time) Effects {
	if peer != d.pendingPeer {
		return Effects{}
	}
	d.pendingPeer = ""
	manifest, err := messenger.ToManifest(m)
	if err != nil || manifest.Number() <= d.manifest.Number() {
		delete(d.peers, peer)
		d.requestNewest(now)
		return d.takeEffects()
	}
	d.recordResponse(peer, now)
	d.recordVersion(peer, manifest.Number())
	d.fetchPieces(peer, manifest, now)
	return d.takeEffects()
}

// OnPieces handles requested pieces, including a response that arrives after
// its timeout. The version is stored only if every piece is present and has the
// hash that the manifest gives.
func (d *Distributor) OnPieces(peer string, response *messenger.Pieces, now time.Time) Effects {
	if len(d.pendingManifests) == 0 {
		return Effects{}
	}
	received := map[fireflymoor.Hash]string{}
	packed := map[packKey][]byte{}
	for _, p := range response.GetPieces() {
		if content, hash, ok := d.unpack(p); ok {
			received[hash] = content
			base, _ := fireflymoor.HashFrom(p.GetBase())
			packed[packKey{hash: hash, base: base}] = p.GetContent()
		}
	}
	manifest, complete := d.completedBy(received)
	if !complete && peer != d.pendingPeer {
		return Effects{}
	}
	d.pendingPeer = ""
	if !complete {
		delete(d.peers, peer)
		d.requestNewest(now)
		return d.takeEffects()
	}
	d.recordResponse(peer, now)
	d.store(manifest, received, nil)
	d.packed = packed
	d.requestNewest(now)
	return d.takeEffects()
}

// completedBy returns the newest pending version of which every piece is held or
// received. It reports false if there is none.
func (d *Distributor) completedBy(received map[fireflymoor.Hash]string) (fireflymoor.Manifest, bool) {
	for _, manifest := range slices.Backward(d.pendingManifests) {
		if d.hasAllPieces(manifest, received) {
			return manifest, true
		}
	}
	return fireflymoor.Manifest{}, false
}

func (d *Distributor) unpack(p *messenger.Piece) (string, fireflymoor.Hash, bool) {
	base, _ := fireflymoor.HashFrom(p.GetBase())
	content, err := compressor.Unpack(p.GetContent(), d.pieces[base])
	if err != nil {
		return "", fireflymoor.Hash{}, false
	}
	return content, fireflymoor.HashOf(content), true
}

// hasAllPieces reports whether every piece of a manifest is held or received.
func (d *Distributor) hasAllPieces(manifest fireflymoor.Manifest, received map[fireflymoor.Hash]string) bool {
	for _, hash := range manifest.Pieces() {
		_, held := d.pieces[hash]
		_, fetched := received[hash]
		if !held && !fetched {
			return false
		}
	}
	return true
}

// fetchPieces requests the missing pieces of a version. It stores the version at
// once if no piece is missing.
func (d *Distributor) fetchPieces(peer string, manifest fireflymoor.Manifest, now time.Time) {
	if len(d.pendingManifests) >= maxPending {
		d.pendingManifests = slices.Delete(d.pendingManifests, 0, 1)
	}
	d.pendingManifests = append(d.pendingManifests, manifest)
	pull := &messenger.Pull{}
	for _, e := range manifest.Teams() {
		old, _ := d.manifest.Team(e.Team)
		pull.Pieces = d.appendRequest(pull.GetPieces(), e.Template, old.Template)
		pull.Pieces = d.appendRequest(pull.GetPieces(), e.Values, old.Values)
		if e.Rollouts != (fireflymoor.Hash{}) {
			pull.Pieces = d.appendRequest(pull.GetPieces(), e.Rollouts, old.Rollouts)
		}
	}
	if len(pull.GetPieces()) == 0 {
		d.store(manifest, nil, nil)
		d.requestNewest(now)
		return
	}
	d.sendRequest(peer, now, &messenger.Frame{
		Body: &messenger.Frame_Pull{
			Pull: pull,
		},
	})
}

// appendRequest appends a request for a piece, unless it is held. The request
// names the base if that is held, so that the piece can be packed against it.
func (d *Distributor) appendRequest(requests []*messenger.PieceRequest, hash, base fireflymoor.Hash) []*messenger.PieceRequest {
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

// OnPull responds with those of the requested pieces that are available.
func (d *Distributor) OnPull(peer string, pull *messenger.Pull, now time.Time) Effects {
	response := &messenger.Pieces{}
	for _, request := range pull.GetPieces() {
		if p := d.pack(request); p != nil {
			response.Pieces = append(response.Pieces, p)
		}
	}
	d.respond(peer, &messenger.Frame{
		Body: &messenger.Frame_Pieces{
			Pieces: response,
		},
	}, d.manifest.Number(), now)
	return d.takeEffects()
}

// lookup returns a piece of the version held, of the one before or of a lent one.
func (d *Distributor) lookup(hash fireflymoor.Hash) (string, bool) {
	if content, ok := d.pieces[hash]; ok {
		return content, true
	}
	if content, ok := d.previousPieces[hash]; ok {
		return content, true
	}
	for i := range d.lent {
		if content, ok := d.lent[i].pieces[hash]; ok {
			return content, true
		}
	}
	return "", false
}

// pack returns a requested piece in its packed form, or nil if it is not
// available. It uses the requested base only if that is available.
func (d *Distributor) pack(request *messenger.PieceRequest) *messenger.Piece {
	hash, _ := fireflymoor.HashFrom(request.GetHash())
	content, ok := d.lookup(hash)
	if !ok {
		return nil
	}
	base, _ := fireflymoor.HashFrom(request.GetBase())
	baseContent, hasBase := d.lookup(base)
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
