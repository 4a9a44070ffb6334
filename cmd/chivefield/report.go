package main

import (
	"encoding/json"
	"os"
	"time"

	"github.com/chivefield/chivefield/report"
)

type reportCommand struct {
	Step  time.Duration `long:"step" default:"1s" description:"length of a time step"`
	Worst int           `long:"worst" default:"10" description:"number of worst steps to print"`
	JSON  bool          `long:"json" description:"print the whole report as JSON"`
	Args  struct {
		Logs []string `positional-arg-name:"LOG" description:"log files of any number of VMs; standard input if none is given"`
	} `positional-args:"yes"`
}

// stepError reports a step length that is not positive.
type stepError struct{ step time.Duration }

func (e *stepError) Error() string { return "--step must be greater than 0, not " + e.step.String() }

// Execute implements flags.Commander.
func (c *reportCommand) Execute([]string) error {
	if c.Step <= 0 {
		return &stepError{c.Step}
	}
	in, closeLogs, err := openLogs(c.Args.Logs)
	if err != nil {
		return err
	}
	defer closeLogs()
	summary, err := report.Read(in, c.Step)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(summary)
	}
	return summary.Write(os.Stdout, c.Worst)
}
