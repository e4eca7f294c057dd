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
	// defaultLeastLoss is the share of a day's worth below which a loss is not shown.
	defaultLeastLoss = 0.002
	// lateAnswerWorth is what a late answer earns, as a share of its whole worth: the same in all deployments.
	lateAnswerWorth = 0.3
)

func newLossesCommand(stdout io.Writer) *cobra.Command {
	least := defaultLeastLoss
	cmd := &cobra.Command{
		Use:   "losses REPORT...",
		Short: "Show where days that the operators' bench played lost their worth, as a Markdown table",
		Long: "losses reads the reports of played days, which the bench writes with --report, and shows for each the seconds in which\n" +
			"worth was lost, in which way, and what was going on. The same days played again with another version compare row by row.",
		Args:    cobra.MinimumNArgs(1),
		Example: "  oxbowlab losses trouble-1.json scale-1.json",
		RunE: func(_ *cobra.Command, args []string) error {
			fmt.Fprint(stdout, lossesHeader)
			for _, path := range args {
				if err := writeLosses(stdout, path, least); err != nil {
					return err
				}
			}
			return nil
		},
	}
	cmd.Flags().Float64Var(&least, "least", least, "smallest share of a day's worth that is shown")
	return cmd
}

const lossesHeader = "| day | worth | greatest price | seconds | lost | lowest | late, refused, failed | parts left out | during |\n" +
	"| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"

// writeLosses writes the rows of one report. The day is named by the file.
func writeLosses(w io.Writer, path string, least float64) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	report, err := dayreport.Parse(text)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	day := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	price := report.GreatestPrice()
	losses := report.Losses(least)
	if len(losses) == 0 {
		fmt.Fprintf(w, "| %s | %.3f | %s %.3f | - | below %.3f each | - | - | - | - |\n", day, report.Worth, price.Name, price.Share, least)
	}
	for _, l := range losses {
		fmt.Fprintf(w, "| %s | %.3f | %s %.3f | %g to %g | %.4f | %.2f | %d, %d, %d of %d | %.4f | %s |\n", day, report.Worth, price.Name, price.Share,
			l.From, l.To, l.Share, l.Lowest, l.Tally.Late, l.Tally.Refused, l.Tally.Failed, l.Tally.Count, l.Partial(lateAnswerWorth),
			strings.Join(l.Events, ", "))
	}
	return nil
}
