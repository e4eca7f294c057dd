package cli

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"

	"oxbowspan/degradation"
	"oxbowspan/internal/admin"
	"oxbowspan/internal/sparkline"
)

const (
	// evaluationInterval is the interval at which a gatherer evaluates its level, in milliseconds.
	evaluationInterval degradation.Time = 100
	// maxReplayGap limits the gap between two records over which the signals of the first are assumed to persist. The level is not
	// evaluated within longer gaps.
	maxReplayGap = 60 * degradation.Second
	// chartWidth is the maximum width of a chart in characters.
	chartWidth = 80
)

// levelReplay replays recorded signals through a degradation.Machine.
type levelReplay struct {
	config    degradation.Config
	machine   *degradation.Machine
	startedAt degradation.Time
	last      degradation.Time   // of the last evaluation
	ranks     []degradation.Rank // rank after each record
	changes   int
	out       io.Writer
}

// replayLevels replays a recording, one admin.Record in JSON per line, and prints each change of the level, a summary and a chart.
func replayLevels(config degradation.Config, in io.Reader, out io.Writer) error {
	r := &levelReplay{config: config, out: out}
	lines := bufio.NewScanner(in)
	for number := 1; lines.Scan(); number++ {
		var record admin.Record
		if err := json.Unmarshal(lines.Bytes(), &record); err != nil {
			return fmt.Errorf("line %d is not a record: %w", number, err)
		}
		if err := r.add(record); err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	if r.machine == nil {
		return errors.New("the recording is empty")
	}
	fmt.Fprintf(out, "%d changes in %.0f s, at most %d per minute are possible\n%s\n", r.changes, seconds(r.last-r.startedAt),
		config.MaxChangesPerMinute(), sparkline.Line(r.chart()))
	return nil
}

func seconds(t degradation.Time) float64 { return float64(t) / float64(degradation.Second) }

// add replays one record, after the evaluations that a gatherer would have made since the previous record.
func (r *levelReplay) add(record admin.Record) error {
	now := degradation.Time(record.At.UnixMilli())
	if r.machine == nil {
		r.machine, r.startedAt, r.last = degradation.New(r.config, now), now, now
	}
	for ; r.last+evaluationInterval < now && now-r.last < maxReplayGap; r.last += evaluationInterval {
		r.evaluate(r.last)
	}
	var readings degradation.Readings
	for name, value := range record.Signals {
		signal, known := degradation.ParseSignal(name)
		if !known {
			return fmt.Errorf("%s is no signal", strconv.Quote(name))
		}
		readings[signal] = degradation.Reading{Value: value, Known: true}
	}
	r.machine.Observe(now, readings)
	r.evaluate(now)
	r.last = now
	r.ranks = append(r.ranks, r.machine.Rank())
	return nil
}

// evaluate evaluates the level and prints a change of it.
func (r *levelReplay) evaluate(now degradation.Time) {
	c, changed := r.machine.Evaluate(now)
	if !changed {
		return
	}
	r.changes++
	fmt.Fprintf(r.out, "%8.1f s  %s > %s: %s\n", seconds(now-r.startedAt), r.config.Levels[c.From].Name, r.config.Levels[c.To].Name, c.Reason)
}

// chart returns the highest rank in each of up to chartWidth equal parts of the recording.
func (r *levelReplay) chart() (values []float64) {
	width := min(chartWidth, len(r.ranks))
	for i := range width {
		highest := slices.Max(r.ranks[i*len(r.ranks)/width : (i+1)*len(r.ranks)/width])
		values = append(values, float64(highest))
	}
	return values
}
