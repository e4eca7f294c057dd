package controlplane

import (
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"oxbowspan/internal/acceptorstore"
	"oxbowspan/registry"
)

// departureListener is notified of departures that were stored. Its method is called on the event loop.
type departureListener interface {
	departuresStored()
}

// departureLog writes the record of each server that is draining or deregistered to the disk as soon as this controller learns it. A
// departure is acknowledged to the server only when the disks of a majority of the members hold it, so that it outlasts a loss of all
// processes. It is owned by the event loop.
type departureLog struct {
	store    *acceptorstore.Store
	table    *registry.Table
	loop     *eventLoop
	clock    *monotonicClock
	listener departureListener
	log      zerolog.Logger
	newest   registry.Cursor // of the table when the last departure was learned
	stored   registry.Cursor // all departures up to it are on the disk
	saving   bool            // a save is in progress
}

func newDepartureLog(store *acceptorstore.Store, table *registry.Table, loop *eventLoop, clock *monotonicClock, listener departureListener,
	log zerolog.Logger) *departureLog {
	sampled := log.Sample(&zerolog.BurstSampler{Burst: diskLogBurst, Period: time.Second})
	return &departureLog{store: store, table: table, loop: loop, clock: clock, listener: listener, log: sampled}
}

// restored records that all records in the table are from the disk.
func (d *departureLog) restored() { d.stored = d.table.Cursor() }

// isStored reports whether all departures up to a cursor of the table are on the disk.
func (d *departureLog) isStored(cursor registry.Cursor) bool {
	return min(cursor, d.newest) <= d.stored
}

// record stores the departures that were entered into the table since the last call.
func (d *departureLog) record() {
	d.newest = d.table.Cursor()
	d.save()
}

// save starts to store the departures that are not on the disk, unless a save is in progress. It must be called again after a failure.
func (d *departureLog) save() {
	if d.saving || d.isStored(d.newest) {
		return
	}
	cursor := d.table.Cursor()
	d.saving = true
	err := d.store.SaveDepartures(d.unstored(), func(err error) {
		go d.loop.post(func() { d.saved(cursor, err) })
	})
	if err != nil {
		d.saving = false
		d.log.Warn().Err(err).Msg("departures: not saved")
	}
}

// unstored returns the departures that are not known to be on the disk.
func (d *departureLog) unstored() (departures []acceptorstore.Departure) {
	now := d.clock.now()
	for _, r := range d.table.ChangesAfter(d.stored) {
		if r.State == registry.Ready {
			continue
		}
		report, err := proto.Marshal(encodeReport(r, now))
		if err != nil {
			d.log.Error().Err(err).Str("instance", string(r.Instance)).Msg("departures: record not encoded")
			continue
		}
		departures = append(departures, acceptorstore.Departure{Instance: string(r.Instance), Report: report})
	}
	return departures
}

// saved records the result of a save that included all departures up to a cursor.
func (d *departureLog) saved(cursor registry.Cursor, err error) {
	d.saving = false
	if err != nil {
		d.log.Warn().Err(err).Msg("departures: not saved")
		return // housekeeping calls save again
	}
	d.stored = cursor
	d.listener.departuresStored()
	d.save()
}
