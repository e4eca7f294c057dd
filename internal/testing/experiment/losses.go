package experiment

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"oxbowspan/internal/testing/dayreport"
)

const (
	// defaultMinLoss is the share of a day's value below which a loss is not shown.
	defaultMinLoss = 0.002
	// lateResponseValue is the value of a late response relative to one in time, the same in all deployments.
	lateResponseValue = 0.3
)

func newLossesCommand(stdout io.Writer) *cobra.Command {
	minLoss := defaultMinLoss
	cmd := &cobra.Command{
		Use:   "losses REPORT...",
		Short: "Show when and how value was lost on days that the operators' bench played, as a Markdown table",
		Long: "losses reads reports of played days, which the bench writes with --report, and shows in which seconds value was lost, in which\n" +
			"way and during which events. Reports of the same days with different versions of the programs compare row by row.",
		Args:    cobra.MinimumNArgs(1),
		Example: "  oxbowlab losses trouble-1.json scale-1.json",
		RunE: func(_ *cobra.Command, args []string) error {
			fmt.Fprint(stdout, lossesHeader)
			for _, path := range args {
				if err := writeLosses(stdout, path, minLoss); err != nil {
					return err
				}
			}
			return nil
		},
	}
	cmd.Flags().Float64Var(&minLoss, "least", minLoss, "smallest loss that is shown, as a share of a day's value")
	return cmd
}

const lossesHeader = "| day | worth | greatest price | seconds | lost | lowest | late, refused, failed | parts left out | during |\n" +
	"| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"

// writeLosses writes the table rows of one report. The name of the day is the file's name without its extension.
func writeLosses(w io.Writer, path string, minLoss float64) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	report, err := dayreport.Parse(text)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	day := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	deduction := report.LargestDeduction()
	losses := report.Losses(minLoss)
	if len(losses) == 0 {
		fmt.Fprintf(w, "| %s | %.3f | %s %.3f | - | below %.3f each | - | - | - | - |\n", day, report.Score, deduction.Name, deduction.Share, minLoss)
	}
	for _, l := range losses {
		fmt.Fprintf(w, "| %s | %.3f | %s %.3f | %g to %g | %.4f | %.2f | %d, %d, %d of %d | %.4f | %s |\n", day, report.Score, deduction.Name, deduction.Share,
			l.From, l.To, l.Share, l.MinValue, l.Counts.Late, l.Counts.Refused, l.Counts.Failed, l.Counts.Count, l.PartialShare(lateResponseValue),
			strings.Join(l.Events, ", "))
	}
	return nil
}
