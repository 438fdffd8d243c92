package runner

import (
	"context"
	"slices"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/waiter"
)

const (
	// foundInterval is the time between tries to start the first log.
	foundInterval = 200 * time.Millisecond
	// foundTurn is how much later each further seed begins to try than the
	// one before it.
	foundTurn = 2 * time.Second
	// identifyTimeout bounds one question to all other seeds.
	identifyTimeout = time.Second
)

// found starts the system's first log, if this replica is one of the seeds of
// its first start. All seeds must be reached and blank. The seeds take turns;
// that two of them start it does no harm, as both start the same log.
func (c *control) found(ctx context.Context) {
	seeds := slices.Clone(c.settings.SeedAddresses)
	slices.Sort(seeds)
	turn := slices.Index(seeds, c.settings.AdvertisedOverlay)
	if !c.settings.Founding || turn < 0 {
		return
	}
	waiter.Pause(ctx, time.Duration(turn)*foundTurn)
	for ctx.Err() == nil && c.blank(ctx) {
		err := c.controller.Bootstrap(ctx, c.asMember(), len(seeds), func(ctx context.Context) ([]*messenger.Identity, error) {
			return c.identifyAll(ctx, seeds)
		})
		if err == nil {
			c.log.Info().Int("members", len(seeds)).Msg("control: started the first log")
			return
		}
		c.log.Info().Err(err).Msg("control: the first log cannot be started yet")
		waiter.Pause(ctx, foundInterval)
	}
}

func (c *control) blank(ctx context.Context) bool {
	blank := false
	err := c.sequencer.Do(ctx, func() {
		blank = c.controller.Blank()
	})
	return err == nil && blank
}

// asMember returns this replica as a member of the log.
func (c *control) asMember() *messenger.Member {
	return &messenger.Member{
		Name:    c.settings.Name,
		Disk:    c.keeper.Disk(),
		Address: c.settings.AdvertisedOverlay,
	}
}

// identifyAll asks the replicas at all addresses but this one's.
func (c *control) identifyAll(ctx context.Context, addresses []string) ([]*messenger.Identity, error) {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	var others []*messenger.Identity
	for _, address := range addresses {
		if address == c.settings.AdvertisedOverlay {
			continue
		}
		identity, err := c.transport.Identify(ctx, address)
		if err != nil {
			return nil, err
		}
		others = append(others, identity)
	}
	return others, nil
}
