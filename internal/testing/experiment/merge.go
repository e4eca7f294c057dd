package experiment

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"oxbowspan/internal/testing/standin"
)

func init() {
	Register(Experiment{
		Name:  "merge",
		Short: "Merged responses under faults, each compared with the correct result",
		Long: `merge sends ranked, paged and aggregated requests through a built gatherer to shard servers that hold a dataset with known
content, first without and then with faults: servers that delay or never send responses, die while they respond, corrupt rows, send
them out of order or in another schema, send fewer or more rows than requested, respond twice, and data that changes between pages.
Every response, every paged list that is read to its end and every statement of completeness is compared with the correct result,
which is computed independently of the program. It ends at the first difference.`,
		Run: runMerge,
	})
}

const (
	mergeServers = 8
	// mergeCursorKeys is the content of the file of keys that cursors are signed with.
	mergeCursorKeys     = "k1 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n"
	mergeCursorKeysFile = "cursor.keys"
	// mergeMaxLimit is the maximum limit and offset in the configuration.
	mergeMaxLimit = 300
)

// Query types of the experiment.
const (
	completeQueryType = "report" // does not allow missing segments
	partialQueryType  = "loose"  // allows missing segments
)

// mergeAggregates are the aggregates that the configuration allows, in addition to count.
var mergeAggregates = []string{"sum(amount)", "sum(bills)", "min(due)", "max(due)", "min(amount)", "max(amount)", "mean(amount)",
	"distinct(customer)", "p50(amount)", "p95(amount)"}

// mergeOperatorConfig returns the operator's configuration.
func mergeOperatorConfig() string {
	text := "[merging]\nmemory = 24MiB\nrows = 400000\nopen = 400\ncursor_keys = " + mergeCursorKeysFile + "\n" +
		"[schema " + standin.DatasetSchemaName + "]\n" + standin.DatasetSchema
	for _, queryType := range []string{completeQueryType, partialQueryType} {
		text += fmt.Sprintf("[merge %s]\nschema = %s\nkinds = ranked paged aggregated\nlimit = %d\noffset = %d\n"+
			"order = due amount account customer bills\ngroup = customer due bills\ngroups = 120\nfigures = %s\n",
			queryType, standin.DatasetSchemaName, mergeMaxLimit, mergeMaxLimit, strings.Join(mergeAggregates, " "))
	}
	return text
}

// mergeTypes are the query types of the gatherer.
func mergeTypes() []QueryType {
	return []QueryType{
		{Name: completeQueryType, Effect: effectFree, LatencyTarget: 700 * time.Millisecond, Timeout: 2500 * time.Millisecond, MinimumShare: 1, CompleteAt: 1},
		{Name: partialQueryType, Effect: effectFree, LatencyTarget: 400 * time.Millisecond, Timeout: 2 * time.Second, MinimumShare: 0.5, CompleteAt: 1},
	}
}

// mergeCounts counts the checked responses, pages and paged lists.
type mergeCounts struct {
	verified, rejected, pages, completedWalks atomic.Int64
}

func runMerge(ctx context.Context, e *Env) error {
	counts := &mergeCounts{}
	for _, dataset := range []struct {
		name  string
		shape standin.DatasetShape
	}{
		{"ordinary", standin.DatasetShape{Segments: mergeServers, Accounts: e.Scale(600, 3000), NegativeAmounts: true}},
		{"equal keys", standin.DatasetShape{Segments: mergeServers, Accounts: e.Scale(240, 800), EqualKeys: true, SharedAccounts: true}},
		{"one segment", standin.DatasetShape{Segments: mergeServers, Accounts: e.Scale(200, 600), SingleSegment: true}},
	} {
		r := &mergeRun{
			env:         e,
			name:        dataset.name,
			dataset:     standin.NewDataset(e.Seed, dataset.shape),
			client:      newHTTPClient(64, 20*time.Second),
			mergeCounts: counts,
		}
		if err := r.run(ctx); err != nil {
			return fmt.Errorf("%s: %w", dataset.name, err)
		}
	}
	e.Record.SetMetric("responses checked", float64(counts.verified.Load()))
	e.Record.SetMetric("responses rightly rejected", float64(counts.rejected.Load()))
	e.Record.SetMetric("pages", float64(counts.pages.Load()))
	e.Record.SetMetric("walks to the end", float64(counts.completedWalks.Load()))
	fmt.Fprintf(e.Out, "checked %d responses, 0 wrong, %d rightly rejected (%d pages in %d walks)\n", counts.verified.Load(),
		counts.rejected.Load(), counts.pages.Load(), counts.completedWalks.Load())
	return nil
}

// mergeRun is the part of the experiment with one dataset.
type mergeRun struct {
	*mergeCounts
	env          *Env
	name         string
	deployment   *Deployment
	dataset      *standin.Dataset
	activeFaults atomic.Pointer[faultRates]
	lastID       atomic.Uint64
	client       *http.Client
	fail         context.CancelCauseFunc // ends the run
}

// mergeCheck sends a request, or several that belong together, and checks the responses.
type mergeCheck func(ctx context.Context, rng *rand.Rand, latency *LatencyRecorder) error

// mergePhase is a number of checks under given faults.
type mergePhase struct {
	name   string
	faults *faultRates
	times  int
	check  mergeCheck
}

func (r *mergeRun) phases() []mergePhase {
	n := r.env.Scale(160, 2500)
	walks, fewerWalks := r.env.Scale(12, 60), r.env.Scale(8, 40)
	return []mergePhase{
		{"no faults", &noFaults, n, r.checkRequest(noFaults)},
		{"walks without faults", &noFaults, walks, r.checkPages(noFaults, false)},
		{"faults", &mixedFaults, n * 3 / 2, r.checkRequest(mixedFaults)},
		{"truncated", &truncatingFaults, n, r.checkRequest(truncatingFaults)},
		{"walks with faults", &unresponsiveFaults, walks, r.checkPages(unresponsiveFaults, false)},
		{"truncated walks", &truncatingFaults, fewerWalks, r.checkPages(truncatingFaults, false)},
		{"walks over changing data", &mixedFaults, fewerWalks, r.checkPages(mixedFaults, true)},
		{"invalid requests", &noFaults, n / 4, r.checkInvalidRequest},
	}
}

// run runs all phases on one deployment.
func (r *mergeRun) run(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.fail = cancel
	r.activeFaults.Store(&noFaults)
	r.deployment, err = r.env.StartDeployment(DeploymentOptions{
		Name:            strings.ReplaceAll(r.name, " ", "-"),
		Servers:         mergeServers,
		Segments:        r.dataset.Segments(),
		Types:           mergeTypes(),
		OperatorConfig:  mergeOperatorConfig(),
		Files:           map[string]string{mergeCursorKeysFile: mergeCursorKeys},
		Handle:          r.handleCall,
		OnProtocolError: func(problem string) { r.fail(errors.New(problem)) },
		OnLogLine:       r.checkLogLine,
	})
	if err != nil {
		return err
	}
	defer func() {
		if stopErr := r.deployment.Stop(); err == nil && stopErr != nil {
			err = stopErr
		}
	}()
	for _, phase := range r.phases() {
		if err := r.runPhase(ctx, phase); err != nil {
			return fmt.Errorf("%s: %w", phase.name, err)
		}
	}
	return nil
}

// checkLogLine ends the run if the gatherer logs a panic or a data race.
func (r *mergeRun) checkLogLine(line string) {
	if strings.Contains(line, "panic") || strings.Contains(line, "DATA RACE") {
		r.fail(fmt.Errorf("the gatherer logs %s", line))
	}
}

// runPhase runs the checks of a phase from several clients. The random decisions of a check depend only on the seed, the phase
// and the check's number.
func (r *mergeRun) runPhase(ctx context.Context, phase mergePhase) error {
	r.activeFaults.Store(phase.faults)
	latency := NewLatencyRecorder()
	r.env.Progress(r.name+", "+phase.name, phase.times)
	err := runClients(ctx, concurrentClients, phase.times, func(ctx context.Context, n int) error {
		hash := fnv.New64a()
		fmt.Fprintf(hash, "%d %s %d", r.env.Seed, phase.name, n)
		if err := phase.check(ctx, rand.New(rand.NewPCG(hash.Sum64(), 1)), latency); err != nil {
			return err
		}
		r.env.Step()
		return nil
	})
	if err != nil {
		return err
	}
	r.env.Record.AddLatency(r.name+", "+phase.name, latency)
	return nil
}
