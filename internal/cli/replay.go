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
	// evaluationInterval is how often a gatherer evaluates its level.
	evaluationInterval degradation.Time = 100
	// maxReplayGap is the longest gap between two records in which the last signals are taken to have lasted.
	maxReplayGap = 60 * degradation.Second
	// chartWidth is the number of characters of a chart.
	chartWidth = 80
)

// levelReplay replays recorded signals through a machine.
type levelReplay struct {
	config    degradation.Config
	machine   *degradation.Machine
	startedAt degradation.Time
	last      degradation.Time
	ranks     []degradation.Rank // after each record
	changes   int
	out       io.Writer
}

// replayLevels replays a recording and prints each change of the level, a summary and a chart.
func replayLevels(config degradation.Config, in io.Reader, out io.Writer) error {
	r := &levelReplay{config: config, out: out}
	lines := bufio.NewScanner(in)
	for number := 1; lines.Scan(); number++ {
		var record admin.Record
		if err := json.Unmarshal(lines.Bytes(), &record); err != nil {
			return fmt.Errorf("line %d is not of a record: %w", number, err)
		}
		if err := r.add(record); err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	if r.machine == nil {
		return errors.New("the record is empty")
	}
	fmt.Fprintf(out, "%d changes in %.0f s, %d a minute are possible at the most\n%s\n", r.changes, seconds(r.last-r.startedAt),
		config.MaxChangesPerMinute(), sparkline.Line(r.chart()))
	return nil
}

func seconds(t degradation.Time) float64 { return float64(t) / float64(degradation.Second) }

// add replays one record, after what the machine would have done since the last one.
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

func (r *levelReplay) evaluate(now degradation.Time) {
	c, changed := r.machine.Evaluate(now)
	if !changed {
		return
	}
	r.changes++
	fmt.Fprintf(r.out, "%8.1f s  %s > %s: %s\n", seconds(now-r.startedAt), r.config.Levels[c.From].Name, r.config.Levels[c.To].Name, c.Reason)
}

// chart returns the worst rank in each of chartWidth parts of the recording.
func (r *levelReplay) chart() (values []float64) {
	width := min(chartWidth, len(r.ranks))
	for i := range width {
		worst := slices.Max(r.ranks[i*len(r.ranks)/width : (i+1)*len(r.ranks)/width])
		values = append(values, float64(worst))
	}
	return values
}
