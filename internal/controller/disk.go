package controller

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/fireflymoor/fireflymoor/internal/persister"
	"github.com/fireflymoor/fireflymoor/internal/replicator"
)

// diskState is what the controller knows of a disk that refuses writes.
type diskState struct {
	// refused is the size of the refused write in bytes.
	refused int
	// wait is the time from one probe of the disk to the next.
	wait time.Duration
	// probeDue is the time of the next probe.
	probeDue time.Time
	// resumedAt is when a probe last succeeded.
	resumedAt time.Time
}

// suspend takes the replica out of the log after a refused write of the given size,
// or another fault that leaves the disk unchanged. Nothing of the step in which it
// happened is carried out. If it is not known what the disk holds, the process
// ends.
func (c *Controller) suspend(err error, size int) {
	if !errors.Is(err, persister.ErrUnchanged) {
		c.options.Log.Error().Err(err).Msg("control: the disk failed")
		c.options.Exit(exitStatusDisk)
		return
	}
	durable, loadErr := c.options.Persister.Load()
	if loadErr != nil {
		c.options.Log.Error().Err(errors.CombineErrors(loadErr, err)).Msg("control: the disk failed")
		c.options.Exit(exitStatusDisk)
		return
	}
	c.replicator.Suspend(durable, c.applied)
	now := time.Now()
	if c.disk.wait == 0 || now.Sub(c.disk.resumedAt) > 2*maxProbeInterval {
		c.disk.wait = initialProbeInterval
	}
	c.disk.refused = size
	c.disk.probeDue = now.Add(c.disk.wait)
	c.disk.wait = min(2*c.disk.wait, maxProbeInterval)
	c.options.Log.Error().Err(err).Int("bytes", size).Msg("control: replica suspended")
	c.logRole()
}

// probeDisk lets a suspended replica take part in the log again if its disk takes
// a write of the size that it refused.
func (c *Controller) probeDisk(now time.Time) {
	if !c.replicator.Suspended() || now.Before(c.disk.probeDue) {
		return
	}
	err := c.options.Persister.Probe(c.disk.refused)
	switch {
	case err == nil:
		c.disk.resumedAt = now
		c.replicator.Resume(now)
		c.options.Log.Info().Msg("control: replica resumed, as the disk takes writes")
	case errors.Is(err, persister.ErrUnchanged):
		c.disk.probeDue = now.Add(c.disk.wait)
		c.disk.wait = min(2*c.disk.wait, maxProbeInterval)
	default:
		c.options.Log.Error().Err(err).Msg("control: the disk failed")
		c.options.Exit(exitStatusDisk)
	}
}

// sizeOf returns the size of a write in bytes, without the overhead of the file's
// format.
func sizeOf(save *replicator.Save) int {
	size := proto.Size(save.Snapshot)
	for _, e := range save.Entries {
		size += proto.Size(e)
	}
	return size
}
