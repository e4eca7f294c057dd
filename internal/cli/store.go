package cli

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"unicode/utf8"

	"github.com/spf13/cobra"

	"oxbowspan/gatherer"
	"oxbowspan/idempotency"
	"oxbowspan/internal/command"
	"oxbowspan/store"
)

func newStoreCommand(stdout io.Writer) *cobra.Command {
	c := &cobra.Command{
		Use:   "store",
		Short: "Inspect and repair the store that a gatherer keeps across restarts",
		Long: "store operates on the directory that [store] path names, while no gatherer uses it. check, dump and stats change nothing.\n" +
			"They exit with 1 if the store is damaged, cannot be read or is in use.",
	}
	check := newDirCommand("check", "Report whether a store is intact", func(dir string) error { return checkStore(dir, stdout) })
	stats := newDirCommand("stats", "Print the sizes of a store", func(dir string) error { return printStoreStats(dir, stdout) })
	dump := newDirCommand("dump", "Print the contents of a store, one line for each key", func(dir string) error { return dumpStore(dir, stdout) })
	compact := newDirCommand("compact", "Rewrite a store so that it holds only its live keys", func(dir string) error { return compactStore(dir, stdout) })
	var acceptLoss bool
	repair := newDirCommand("repair", "Repair a damaged store", func(dir string) error { return repairStore(dir, acceptLoss, stdout) })
	repair.Long = "repair rewrites both mirrors from the records that either holds. If records are in neither, it changes nothing\n" +
		"unless --accept-loss is given, which continues without them."
	repair.Flags().BoolVar(&acceptLoss, "accept-loss", false, "continue without records that neither mirror holds")
	c.AddCommand(check, stats, dump, compact, repair)
	return c
}

// newDirCommand returns a command that calls do with the directory of a store.
func newDirCommand(name, short string, do func(dir string) error) *cobra.Command {
	return &cobra.Command{Use: name + " DIR", Short: short, Args: command.ExactArgs(1, "DIR"), RunE: func(_ *cobra.Command, args []string) error {
		if err := do(args[0]); err != nil {
			return fmt.Errorf("store %s: %w", args[0], err)
		}
		return nil
	}}
}

// withLockedStore calls read with the files of a store, opened read-only and locked against other processes.
func withLockedStore(dir string, read func(store.Files) error) error {
	disk, err := store.OpenDiskReadOnly(dir)
	if err != nil {
		return err
	}
	unlock, err := disk.Lock()
	if err != nil {
		return err
	}
	defer unlock()
	return read(disk)
}

// openStore opens an existing store for writing. The report is valid even if store.Open fails.
func openStore(dir string, acceptLoss bool) (*store.Store, store.Report, error) {
	if _, err := store.OpenDiskReadOnly(dir); err != nil {
		return nil, store.Report{}, err
	}
	disk, err := store.OpenDisk(dir)
	if err != nil {
		return nil, store.Report{}, err
	}
	return store.Open(disk, store.Options{AcceptLoss: acceptLoss})
}

func checkStore(dir string, out io.Writer) error {
	var report store.Report
	err := withLockedStore(dir, func(files store.Files) (err error) {
		report, err = store.Check(files)
		return err
	})
	printReport(out, report)
	if err != nil {
		return err
	}
	return printIntegrity(out, report)
}

// printReport prints the damaged files and the lost records of a store.
func printReport(out io.Writer, r store.Report) {
	for _, damage := range r.Damage {
		fmt.Fprintln(out, "damaged:", damage)
	}
	for _, lost := range r.Lost {
		fmt.Fprintln(out, "lost:", lost)
	}
}

// printIntegrity prints that a store is intact, or returns an error that describes the loss or damage.
func printIntegrity(out io.Writer, r store.Report) error {
	switch {
	case len(r.Lost) > 0:
		return &store.LossError{Lost: r.Lost}
	case len(r.Damage) > 0:
		return errors.New("damaged in one mirror: nothing is lost; a gatherer's start or 'oxbowspan store repair' repairs it")
	}
	fmt.Fprintf(out, "intact: %d records, %d live keys\n", r.LastRecord, r.Keys)
	return nil
}

func compactStore(dir string, out io.Writer) error {
	s, report, err := openStore(dir, false)
	printReport(out, report)
	if err != nil {
		return err
	}
	before := s.Stats()
	err = s.Compact()
	after := s.Stats()
	if err = errors.Join(err, s.Close()); err != nil {
		return err
	}
	fmt.Fprintf(out, "compacted: %d live keys, %d bytes per mirror, %d before\n",
		after.Keys, after.MirrorBytes, max(before.MirrorBytes, after.MirrorBytes))
	return nil
}

// repairStore repairs a store by opening it, which rewrites damaged files.
func repairStore(dir string, acceptLoss bool, out io.Writer) error {
	s, report, err := openStore(dir, acceptLoss)
	printReport(out, report)
	if err != nil {
		return err
	}
	if err := s.Close(); err != nil {
		return err
	}
	switch {
	case len(report.Lost) > 0:
		fmt.Fprintln(out, "repaired without the lost records: requests among them may be dispatched again")
	case report.Repaired:
		fmt.Fprintln(out, "repaired: nothing is lost")
	default:
		fmt.Fprintln(out, "the store is intact")
	}
	return nil
}

// storeContents holds the values of a store by table and key.
type storeContents map[store.Table]map[string][]byte

func readContents(dir string) (contents storeContents, report store.Report, err error) {
	err = withLockedStore(dir, func(files store.Files) (err error) {
		contents, report, err = store.Contents(files)
		return err
	})
	return contents, report, err
}

func printStoreStats(dir string, out io.Writer) error {
	contents, report, err := readContents(dir)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "records %d\n", report.LastRecord)
	for _, table := range slices.Sorted(maps.Keys(contents)) {
		bytes := 0
		for key, value := range contents[table] {
			bytes += len(key) + len(value)
		}
		fmt.Fprintf(out, "%s %d keys, %d bytes\n", tableName(table), len(contents[table]), bytes)
	}
	return printIntegrity(out, report)
}

func dumpStore(dir string, out io.Writer) error {
	contents, report, err := readContents(dir)
	if err != nil {
		return err
	}
	for _, table := range slices.Sorted(maps.Keys(contents)) {
		for _, key := range slices.Sorted(maps.Keys(contents[table])) {
			fmt.Fprintf(out, "%s %s: %s\n", tableName(table), strconv.Quote(key), describeValue(table, contents[table][key]))
		}
	}
	printReport(out, report)
	return nil
}

func tableName(t store.Table) string {
	switch t {
	case gatherer.TableRequests:
		return "request"
	case gatherer.TableServerList:
		return "server"
	case gatherer.TableServerRecords:
		return "server-record"
	}
	return fmt.Sprintf("table-%d", t)
}

// describeValue returns the description of a request's outcome, or a value as text if it is valid UTF-8, else in hex.
func describeValue(t store.Table, value []byte) string {
	if t == gatherer.TableRequests {
		if text, err := idempotency.Describe(value); err == nil {
			return text
		}
	}
	if utf8.Valid(value) {
		return string(value)
	}
	return hex.EncodeToString(value)
}
