package runner

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor/internal/loader"
)

// Reload implements fireflymoor.Reloader. The seeds take effect at once, and
// all other settings at the next start.
func (m *member) Reload(path string) error {
	settings, err := loader.Load(path)
	if err != nil {
		m.log.Error().Err(err).Msg("process: the changed settings are faulty, those before stay")
		return errors.Wrapf(err, "process %s: reload", m.settings.Name)
	}
	m.sequencer.Post(func() {
		changed := !slices.Equal(m.settings.SeedAddresses, settings.SeedAddresses)
		m.settings.SeedAddresses = settings.SeedAddresses
		m.coordinator.SetSeeds(m.settings.Seeds())
		m.log.Info().Bool("seeds-changed", changed).Strs("seeds", m.settings.Seeds()).Msg("process: settings read again")
	})
	return nil
}
