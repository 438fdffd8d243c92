package runner

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor/internal/loader"
)

// Reload implements fireflymoor.Reloader. Changed seeds take effect at once, changed times
// of a process that ends when it ends, and all other settings at the next start.
func (m *member) Reload(path string) error {
	settings, err := loader.Load(path)
	if err != nil {
		m.log.Error().Err(err).Msg("process: changed settings are invalid; keeping the previous settings")
		return errors.Wrapf(err, "process %s: reload", m.settings.Name)
	}
	m.sequencer.Post(func() {
		changed := !slices.Equal(m.settings.SeedAddresses, settings.SeedAddresses)
		m.settings.SeedAddresses = settings.SeedAddresses
		m.settings.Grace = settings.Grace
		m.settings.Shutdown = settings.Shutdown
		m.settings.KillDelay = settings.KillDelay
		m.settings.Adapter = settings.Adapter
		m.coordinator.SetSeeds(m.settings.Seeds())
		m.log.Info().Bool("seeds-changed", changed).Strs("seeds", m.settings.Seeds()).Msg("process: settings read again")
	})
	return nil
}
