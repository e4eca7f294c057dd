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
	c := &cobra.Command{Use: "store", Short: "Look at and mend the store that a gatherer keeps across restarts",
		Long: "store works on the directory that [store] path names, while no gatherer uses it. check, dump and stats change nothing.\n" +
			"They end with 1 where the store is damaged, cannot be read or is in use."}
	one := func(use, short, long string, do func(dir string) error) *cobra.Command {
		return &cobra.Command{Use: use + " DIR", Short: short, Long: long, Args: command.ExactArgs(1, "DIR"),
			RunE: func(_ *cobra.Command, args []string) error {
				if err := do(args[0]); err != nil {
					return fmt.Errorf("store %s: %w", args[0], err)
				}
				return nil
			}}
	}
	c.AddCommand(one("check", "Say whether a store is whole", "", func(dir string) error {
		report, err := checkStore(dir)
		printReport(stdout, report)
		if err != nil {
			return err
		}
		return reportError(stdout, report)
	}))
	c.AddCommand(one("stats", "Print a store's figures", "", func(dir string) error { return storeStats(dir, stdout) }))
	c.AddCommand(one("dump", "Print what a store holds, a line each", "", func(dir string) error { return storeDump(dir, stdout) }))
	c.AddCommand(one("compact", "Write a store anew with nothing in it but what lives", "", func(dir string) error {
		s, report, err := openStore(dir, false)
		printReport(stdout, report)
		if err != nil {
			return err
		}
		before := s.Stats()
		err = s.Compact()
		after := s.Stats()
		if err = errors.Join(err, s.Close()); err != nil {
			return err
		}
		fmt.Fprintf(stdout, "compacted: %d live keys, %d bytes a lane, were %d\n", after.Keys, after.MirrorBytes, max(before.MirrorBytes, after.MirrorBytes))
		return nil
	}))
	var accept bool
	repair := one("repair", "Mend a damaged store", "repair writes both lanes anew, whole, from what either holds. Where records are in neither it changes nothing,\n"+
		"unless --accept-loss says that the store is to go on without them.", func(dir string) error {
		s, report, err := openStore(dir, accept)
		printReport(stdout, report)
		if err != nil {
			return err
		}
		if err := s.Close(); err != nil {
			return err
		}
		switch {
		case len(report.Lost) > 0:
			fmt.Fprintln(stdout, "mended without what is lost: searches that it held may be sent again")
		case report.Repaired:
			fmt.Fprintln(stdout, "mended: nothing is lost")
		default:
			fmt.Fprintln(stdout, "the store is whole")
		}
		return nil
	})
	repair.Flags().BoolVar(&accept, "accept-loss", false, "go on without records that neither lane holds")
	c.AddCommand(repair)
	return c
}

// checkStore reads a store without changing it. A lock is taken meanwhile, so that nobody writes.
func checkStore(dir string) (store.Report, error) {
	disk, err := store.OpenDiskReadOnly(dir)
	if err != nil {
		return store.Report{}, err
	}
	unlock, err := disk.Lock()
	if err != nil {
		return store.Report{}, err
	}
	defer unlock()
	return store.Check(disk)
}

func openStore(dir string, accept bool) (*store.Store, store.Report, error) {
	if _, err := store.OpenDiskReadOnly(dir); err != nil {
		return nil, store.Report{}, err
	}
	disk, err := store.OpenDisk(dir)
	if err != nil {
		return nil, store.Report{}, err
	}
	return store.Open(disk, store.Options{AcceptLoss: accept})
}

func printReport(out io.Writer, r store.Report) {
	for _, d := range r.Damage {
		fmt.Fprintln(out, "damaged:", d)
	}
	for _, l := range r.Lost {
		fmt.Fprintln(out, "lost:", l)
	}
}

// reportError says in one sentence how a store is; one that is not whole is an error.
func reportError(out io.Writer, r store.Report) error {
	switch {
	case len(r.Lost) > 0:
		return &store.LossError{Lost: r.Lost}
	case len(r.Damage) > 0:
		return errors.New("damaged in one lane: nothing is lost; a gatherer's start or 'oxbowspan store repair' mends it")
	}
	fmt.Fprintf(out, "whole: %d records, %d live keys\n", r.LastRecord, r.Keys)
	return nil
}

func storeStats(dir string, out io.Writer) error {
	contents, report, err := readContents(dir)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "records %d\n", report.LastRecord)
	for _, t := range slices.Sorted(maps.Keys(contents)) {
		bytes := 0
		for k, v := range contents[t] {
			bytes += len(k) + len(v)
		}
		fmt.Fprintf(out, "%s %d keys, %d bytes\n", tableName(t), len(contents[t]), bytes)
	}
	return reportError(out, report)
}

func storeDump(dir string, out io.Writer) error {
	contents, report, err := readContents(dir)
	if err != nil {
		return err
	}
	for _, t := range slices.Sorted(maps.Keys(contents)) {
		for _, k := range slices.Sorted(maps.Keys(contents[t])) {
			fmt.Fprintf(out, "%s %s: %s\n", tableName(t), strconv.Quote(k), describeValue(t, contents[t][k]))
		}
	}
	printReport(out, report)
	return nil
}

func readContents(dir string) (map[store.Table]map[string][]byte, store.Report, error) {
	disk, err := store.OpenDiskReadOnly(dir)
	if err != nil {
		return nil, store.Report{}, err
	}
	unlock, err := disk.Lock()
	if err != nil {
		return nil, store.Report{}, err
	}
	defer unlock()
	return store.Contents(disk)
}

func tableName(t store.Table) string {
	switch t {
	case gatherer.TableRequests:
		return "search"
	case gatherer.TableServerList:
		return "server"
	case gatherer.TableServerRecords:
		return "learned"
	}
	return fmt.Sprintf("table-%d", t)
}

func describeValue(t store.Table, v []byte) string {
	if t == gatherer.TableRequests {
		if text, err := idempotency.Describe(v); err == nil {
			return text
		}
	}
	if utf8.Valid(v) {
		return string(v)
	}
	return hex.EncodeToString(v)
}
