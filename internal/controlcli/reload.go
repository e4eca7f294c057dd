package controlcli

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"oxbowspan/internal/settings"
)

// settingsCheckInterval is the time between two checks whether the settings file has changed without a signal.
const settingsCheckInterval = 15 * time.Second

// seedField is the field of the settings file that applies without a restart.
const seedField = "seed_addresses"

// seedReceiver is a running program whose seeds can be replaced.
type seedReceiver interface {
	// SetSeeds replaces the internal addresses of controllers. It is safe for concurrent use.
	SetSeeds(addresses []string)
}

// settingsWatcher reads the settings file again on SIGHUP, and when it has changed without a signal, and applies the fields that can be
// applied while the program runs. A file that can't be read or has invalid values changes nothing.
type settingsWatcher struct {
	path     string
	read     func(path string) (set *settings.Settings, problems []string, err error)
	current  *settings.Settings
	text     []byte // contents of the file at the last check
	receiver seedReceiver
	log      zerolog.Logger
}

// run watches until the context is done.
func (w *settingsWatcher) run(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Ignore(syscall.SIGHUP) // it must not end the program while that stops
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-signals:
			w.text = nil
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		w.check()
	}
}

// check reads the file if its contents have changed since the last check.
func (w *settingsWatcher) check() {
	text, err := os.ReadFile(w.path)
	if err == nil && w.text != nil && bytes.Equal(text, w.text) {
		return
	}
	w.text = append([]byte{}, text...)
	w.reload()
}

// reload reads the file and applies what has changed.
func (w *settingsWatcher) reload() {
	next, problems, err := w.read(w.path)
	if err != nil {
		w.log.Warn().Err(err).Msg("settings: the file can't be read again, nothing changes")
		return
	}
	if len(problems) > 0 {
		w.log.Warn().Strs("problems", problems).Msg("settings: the file has invalid values, nothing changes")
		return
	}
	changed := settings.ChangedFields(w.current, next)
	w.current = next
	if i := slices.Index(changed, seedField); i >= 0 {
		changed = slices.Delete(changed, i, i+1)
		w.receiver.SetSeeds(next.SeedControllers())
		w.log.Info().Strs("seeds", next.SeedAddresses).Msg("settings: other seed addresses apply")
	}
	if len(changed) > 0 {
		w.log.Warn().Strs("fields", changed).Msg("settings: changed fields apply after a restart")
	}
}
