package main

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/chivefield/chivefield/load"
)

type loadCommand struct {
	Scenarios []string `long:"scenario" description:"Scenario, such as atelier or karrawong-burst; all by default"`
	Policies  []string `long:"policy" default:"current" default:"round-robin" default:"least-reported" description:"Policy to measure"`
	Seed      uint64   `long:"seed" default:"1" description:"First seed"`
	Seeds     uint64   `long:"seeds" default:"1" description:"Number of seeds"`
	JSON      bool     `long:"json" description:"Print one JSON object per run"`
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	if len(c.Scenarios) == 0 {
		for _, w := range load.Workloads {
			for _, v := range load.Variants {
				c.Scenarios = append(c.Scenarios, scenarioName(w, v))
			}
		}
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	if !c.JSON {
		_, _ = fmt.Fprintln(w, "scenario\tseed\tpolicy\tgoodput/bound by tier\tlate\tnot run\tcancelled\tunknown\tprefill paid\tdiscarded\trecomputed\tprice\ttwice\tfirst token p95 by tier")
	}
	for _, sc := range c.Scenarios {
		for seed := c.Seed; seed < c.Seed+c.Seeds; seed++ {
			for _, p := range c.Policies {
				r, err := load.Run(sc, p, seed)
				if err != nil {
					return err
				}
				c.print(w, r)
			}
		}
	}
	return nil
}

// scenarioName returns the name of a scenario from its workload and variant.
func scenarioName(workload, variant string) string {
	if variant == "" {
		return workload
	}
	return workload + "-" + variant
}

func (c *loadCommand) print(w *tabwriter.Writer, r *load.Report) {
	if c.JSON {
		data, _ := json.Marshal(r)
		fmt.Println(string(data))
		return
	}
	goodput, first := "", ""
	var late, notRun, cancelled, unknown int
	for _, t := range r.Tiers {
		goodput += fmt.Sprintf("%.3f ", t.Goodput)
		first += fmt.Sprintf("%dms ", t.FirstP95.Milliseconds())
		late += t.Late + t.Unfinished
		notRun += t.NotRun
		cancelled += t.Cancelled
		unknown += t.Unknown
	}
	share := func(n int) string { return fmt.Sprintf("%.2f%%", 100*float64(n)/float64(max(1, r.PrefillPaid))) }
	_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%.2f\t%d\t%s\n", r.Scenario, r.Seed, r.Policy, goodput,
		late, notRun, cancelled, unknown, r.PrefillPaid, share(r.WastedDiscarded), share(r.WastedRepeated), r.Price, r.Twice, first)
}

type slopesCommand struct{}

// Execute implements flags.Commander.
func (slopesCommand) Execute([]string) error {
	fmt.Println("| quantity | size | measured | slope | intercept |")
	fmt.Println("| --- | --- | --- | --- | --- |")
	for _, s := range load.Slopes() {
		fmt.Println(s)
	}
	took, size := load.MeasureCheck(3400, 12000)
	fmt.Printf("\nA document of 3,400 organisations and 12,000 endpoints: %d bytes, checked and compiled in %v.\n", size, took)
	return nil
}
