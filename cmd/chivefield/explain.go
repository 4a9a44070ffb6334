package main

import (
	"fmt"
	"os"

	"github.com/chivefield/chivefield/core/suspect"
	"github.com/chivefield/chivefield/explain"
)

type explainCommand struct {
	Args struct {
		Request string   `positional-arg-name:"REQUEST" description:"the request's id, or the digest that all its attempts share" required:"yes"`
		Logs    []string `positional-arg-name:"LOG" description:"log files of any number of VMs; standard input if none is given"`
	} `positional-args:"yes"`
}

// requestNotLoggedError reports that no log line contains the request.
type requestNotLoggedError struct{ id string }

func (e *requestNotLoggedError) Error() string {
	return fmt.Sprintf("no log line contains request %s; check for event=log_lines_dropped at the time of the request, and the logs of the other VMs", e.id)
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	in, closeLogs, err := openLogs(c.Args.Logs)
	if err != nil {
		return err
	}
	defer closeLogs()
	readLines := explain.ReadRequest
	if _, err := suspect.ParseDigest(c.Args.Request); err == nil {
		readLines = explain.ReadDigest
	}
	lines, err := readLines(in, c.Args.Request)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return &requestNotLoggedError{c.Args.Request}
	}
	return explain.Write(os.Stdout, lines)
}
