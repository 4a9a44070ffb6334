package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// maxPrintedEndpoints bounds the number of printed endpoints: those with the most failures.
const maxPrintedEndpoints = 12

// Write prints the summary as tables. worst is the number of worst steps to print.
func (sum *Summary) Write(w io.Writer, worst int) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "route\tasked\ton time\tlate\trefused\tbroken\tleft\twaited\tlate by a pause\tobserved/predicted")
	for _, r := range sum.Routes {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\n", nameOrDash(r.Name), r.cells(), r.MeanWait.Round(time.Millisecond), r.LateByPause, &r.Predictions)
	}
	fmt.Fprintln(t, "\nworst\tasked\ton time\tlate\trefused\tbroken\tleft\tlikely cause")
	for _, s := range sum.WorstSteps(worst) {
		fmt.Fprintf(t, "%s\t%s\t%s\n", s.From.Format("15:04:05.0"), s.cells(), s.Cause)
	}
	fmt.Fprintln(t, "\nendpoint\tplaced\tfailed\tejected\tgap\tobserved/predicted")
	for _, e := range sum.Endpoints[:min(maxPrintedEndpoints, len(sum.Endpoints))] {
		fmt.Fprintf(t, "%s\t%d\t%s\t%d\t%s\t%s\n", nameOrDash(e.Name), e.Placed, formatCounts(e.Failures), e.Ejections, e.EventGap, &e.Predictions)
	}
	writeRetries(t, sum.Retries)
	if len(sum.Rollouts) > 0 {
		fmt.Fprintln(t, "\nrollouts\tvm\tservice\tto\tstep\twhy")
	}
	for _, r := range sum.Rollouts {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", r.At.Format("15:04:05.000"), r.VM, r.Service, r.Version, r.Event, r.Detail)
	}
	if sum.Dropped > 0 {
		fmt.Fprintf(t, "\n%d lines are missing from the logs\n", sum.Dropped)
	}
	return t.Flush()
}

// String returns the quantiles, such as "0.98, 1.52 (3 impossible)".
func (p *Predictions) String() string {
	if p.Compared == 0 {
		return "-"
	}
	s := fmt.Sprintf("%.2f, %.2f", p.Median, p.P90)
	if p.NonPositive > 0 {
		s += fmt.Sprintf(" (%d impossible)", p.NonPositive)
	}
	return s
}

// cells returns the counts as tab-separated cells.
func (c *Counts) cells() string {
	return fmt.Sprintf("%d\t%d\t%d\t%s\t%d\t%d", c.Requests, c.OnTime, c.Late, formatCounts(c.Refused), c.Broken, c.CallerDisconnected)
}

// formatCounts returns the sum of the counts and each count by name, such as "3 (too_late 2, no_route 1)".
func formatCounts(counts map[string]int) string {
	n, parts := 0, make([]string, 0, len(counts))
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		n += counts[k]
		parts = append(parts, fmt.Sprintf("%s %d", k, counts[k]))
	}
	if n == 0 {
		return "0"
	}
	return fmt.Sprintf("%d (%s)", n, strings.Join(parts, ", "))
}

func nameOrDash(name string) string {
	if name == "" {
		return "-"
	}
	return name
}
