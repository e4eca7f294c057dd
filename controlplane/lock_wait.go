package controlplane

import (
	"context"
	"time"

	"github.com/rs/zerolog"
)

// lockLogInterval is the minimum time between two log lines about the lock of the state file.
const lockLogInterval = 10 * time.Second

// lockWait logs that a controller waits for the lock of its state file. The process that holds it may have been killed: it ends only once its
// last access to the disk has ended.
type lockWait struct {
	ctx      context.Context
	log      zerolog.Logger
	loggedAt time.Time
}

// proceed reports whether to wait for the lock any longer.
func (w *lockWait) proceed() bool {
	if w.loggedAt.IsZero() || time.Since(w.loggedAt) >= lockLogInterval {
		w.loggedAt = time.Now()
		w.log.Warn().Msg("state: waiting for the lock of the state file, which another process holds")
	}
	return w.ctx.Err() == nil
}
