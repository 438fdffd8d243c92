package controller

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/persister"
	"github.com/fireflymoor/fireflymoor/internal/replicator"
)

var errNoSpace = errors.New("no space left on device")

// fullDisk is a disk that refuses writes while full is set.
type fullDisk struct {
	persister.Persister

	full    atomic.Bool
	refused atomic.Int64
}

func (f *fullDisk) refuse() error {
	if !f.full.Load() {
		return nil
	}
	f.refused.Add(1)
	return errors.Mark(errNoSpace, persister.ErrUnchanged)
}

// Save implements persister.Persister.
func (f *fullDisk) Save(save replicator.Save) error {
	if err := f.refuse(); err != nil {
		return err
	}
	return f.Persister.Save(save)
}

// Probe implements persister.Persister.
func (f *fullDisk) Probe(size int) error {
	if err := f.refuse(); err != nil {
		return err
	}
	return f.Persister.Probe(size)
}

// TestFullDisk fills the disk of a replica. The process must not end, a change
// must be refused at once as not taken, and the earlier change must still be
// there and a new one be accepted when the disk takes writes again.
func TestFullDisk(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	opened, err := persister.New(t.TempDir())
	is.NoErr(err)
	disk := &fullDisk{
		Persister: opened,
	}
	c, stop := startReplicaOn(t, disk, func(uint64) {})
	defer stop()
	self := &messenger.Member{
		Name: "replica",
		Disk: disk.Disk(),
	}
	is.NoErr(c.Bootstrap(ctx, self, 1, func(context.Context) ([]*messenger.Identity, error) { return nil, nil }))
	change := func(id string, parent uint64) error {
		_, err := c.Change(ctx, &messenger.Change{
			Id:       id,
			Team:     "team",
			Template: "template " + id,
			Parent:   parent,
		})
		return err
	}
	is.NoErr(change("first", 0))
	disk.full.Store(true)
	is.True(change("second", 1) != nil) // its write is refused
	began := time.Now()
	is.True(errors.Is(change("third", 1), ErrNotSent))
	is.True(time.Since(began) < changeRetryInterval)
	time.Sleep(2 * initialProbeInterval)
	is.True(disk.refused.Load() >= 2) // the disk was probed
	disk.full.Store(false)
	for errors.Is(change("fourth", 1), ErrNotSent) {
		time.Sleep(tickInterval)
	}
	manifest, err := c.Confirm(ctx)
	is.NoErr(err)
	is.Equal(manifest.Number(), uint64(2))
}
