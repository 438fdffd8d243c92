package runner

import (
	"context"
	"slices"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/waiter"
)

const (
	// bootstrapInterval is the time between attempts to bootstrap the log.
	bootstrapInterval = 200 * time.Millisecond
	// bootstrapStagger is the delay between the first attempts of consecutive
	// seeds, in the order of their addresses.
	bootstrapStagger = 2 * time.Second
	// identifyTimeout bounds one round of Identify requests to the other replicas.
	identifyTimeout = time.Second
)

// bootstrapLog creates the replicated log when the system starts for the first
// time. It does nothing unless this replica is founding and one of the seeds.
// All seeds must be reachable and blank. The seeds stagger their attempts; if
// two of them succeed, no harm is done, because both create the same log.
func (c *control) bootstrapLog(ctx context.Context) {
	var seeds []string
	if err := c.sequencer.Do(ctx, func() { seeds = slices.Clone(c.settings.SeedAddresses) }); err != nil {
		return
	}
	slices.Sort(seeds)
	turn := slices.Index(seeds, c.settings.AdvertisedOverlay)
	if !c.settings.Founding || turn < 0 {
		return
	}
	waiter.Pause(ctx, time.Duration(turn)*bootstrapStagger)
	for ctx.Err() == nil && c.isBlank(ctx) {
		err := c.controller.Bootstrap(ctx, c.asMember(), len(seeds), func(ctx context.Context) ([]*messenger.Identity, error) {
			return c.identifyAll(ctx, seeds)
		})
		if err == nil {
			c.log.Info().Int("members", len(seeds)).Msg("control: log bootstrapped")
			return
		}
		c.log.Info().Err(err).Msg("control: log cannot be bootstrapped yet")
		waiter.Pause(ctx, bootstrapInterval)
	}
}

// isBlank reports whether the disk of this replica has never held any of the
// log. It reports false if ctx or the sequencer ends first.
func (c *control) isBlank(ctx context.Context) bool {
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
		Disk:    c.persister.Disk(),
		Address: c.settings.AdvertisedOverlay,
	}
}

// identifyAll returns the identities of the replicas at the addresses, except
// for the address of this replica.
func (c *control) identifyAll(ctx context.Context, addresses []string) ([]*messenger.Identity, error) {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	var identities []*messenger.Identity
	for _, address := range addresses {
		if address == c.settings.AdvertisedOverlay {
			continue
		}
		identity, err := c.transport.Identify(ctx, address)
		if err != nil {
			return nil, err
		}
		identities = append(identities, identity)
	}
	return identities, nil
}
