package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/chivefield/chivefield/core/routing"
	"github.com/chivefield/chivefield/entry"
	"github.com/chivefield/chivefield/platform"
)

// Exit codes of the check of a configuration document.
const (
	exitClean = iota
	exitErrors
	exitWarnings
	exitUnreadable
)

// storeReadTimeout bounds the reading of the version in force: a document of some MB over a slow link.
const storeReadTimeout = 30 * time.Second

type checkOptions struct {
	Against string `long:"against" value-name:"FILE|VERSION" description:"Also list the differences from a document: a file, or, for a number, the version in force, which must be this one"`
	Store   string `long:"store" value-name:"HOST:PORT" description:"Address of the store that has the version in force"`
	JSON    bool   `long:"json" description:"Write the result as JSON"`
	Args    struct {
		File string `positional-arg-name:"FILE" description:"Configuration document"`
	} `positional-args:"yes" required:"yes"`
}

// isCheckConfig reports whether the arguments ask for the check of a configuration document.
func isCheckConfig(args []string) bool {
	return len(args) >= 2 && args[0] == "check" && args[1] == "config"
}

// checkConfig checks a configuration document and returns the exit code.
func checkConfig(args []string, out, errOut io.Writer) int {
	var opts checkOptions
	p := flags.NewNamedParser("chivefield-entry check config", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Checks a configuration document before it is published. Exit codes: 0 clean, 1 errors, 2 warnings only, 3 cannot be read."
	if _, err := p.AddGroup("Options", "", &opts); err != nil {
		return reportUnreadable(errOut, err)
	}
	if _, err := p.ParseArgs(args); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(out, err)
			return exitClean
		}
		return reportUnreadable(errOut, err)
	}
	report, err := checkDocument(&opts)
	if err != nil {
		return reportUnreadable(errOut, err)
	}
	if err := writeReport(out, &opts, report); err != nil {
		return reportUnreadable(errOut, err)
	}
	switch {
	case report.Errors() > 0:
		return exitErrors
	case len(report.Findings) > 0:
		return exitWarnings
	}
	return exitClean
}

func reportUnreadable(errOut io.Writer, err error) int {
	_, _ = fmt.Fprintln(errOut, "chivefield-entry:", err)
	return exitUnreadable
}

func checkDocument(opts *checkOptions) (*platform.ConfigReport, error) {
	data, err := os.ReadFile(opts.Args.File)
	if err != nil {
		return nil, err
	}
	report := platform.CheckConfig(data)
	if opts.Against == "" {
		return report, nil
	}
	from, err := readOther(opts)
	if err != nil {
		return nil, err
	}
	report.Compare(from)
	return report, nil
}

// readOther reads the document to compare with.
func readOther(opts *checkOptions) (*routing.Document, error) {
	version, err := strconv.ParseUint(opts.Against, 10, 64)
	if err != nil {
		data, err := os.ReadFile(opts.Against)
		if err != nil {
			return nil, err
		}
		return platform.ParseConfig(data)
	}
	if opts.Store == "" {
		return nil, &NoStoreError{Version: version}
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeReadTimeout)
	defer cancel()
	return readInForce(ctx, &platform.Store{BaseURL: "http://" + opts.Store, HTTP: &http.Client{}}, version)
}

// readInForce reads the version in force from the store.
func readInForce(ctx context.Context, store *platform.Store, version uint64) (*routing.Document, error) {
	records, _, err := store.Snapshot(ctx, entry.FeedConfig)
	if err != nil {
		return nil, err
	}
	for _, r := range records {
		doc, err := platform.Codec{}.DecodeConfig(r)
		if err != nil {
			return nil, err
		}
		if doc == nil {
			continue
		}
		if doc.Version != version {
			return nil, &VersionError{Wanted: version, InForce: doc.Version}
		}
		return doc, nil
	}
	return nil, &VersionError{Wanted: version}
}

// NoStoreError reports a version to compare with and no store to read it from.
type NoStoreError struct{ Version uint64 }

// Error implements error.
func (e *NoStoreError) Error() string {
	return fmt.Sprintf("--store must name the store that has version %d (a file of that name is ./%d)", e.Version, e.Version)
}

// VersionError reports that another version is in force than the one to compare with.
type VersionError struct {
	Wanted uint64
	// InForce is 0 if there is none.
	InForce uint64
}

// Error implements error.
func (e *VersionError) Error() string {
	if e.InForce == 0 {
		return fmt.Sprintf("version %d is not in force: the store has none", e.Wanted)
	}
	return fmt.Sprintf("version %d is not in force, but %d", e.Wanted, e.InForce)
}

// jsonReport is the output for scripts.
type jsonReport struct {
	File     string `json:"file"`
	Errors   int    `json:"errors"`
	Warnings int    `json:"warnings"`
	*platform.ConfigReport
}

func writeReport(out io.Writer, opts *checkOptions, r *platform.ConfigReport) error {
	errorCount := r.Errors()
	warnings := len(r.Findings) - errorCount
	if opts.JSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		e.SetEscapeHTML(false)
		return e.Encode(jsonReport{opts.Args.File, errorCount, warnings, r})
	}
	for _, f := range r.Findings {
		if _, err := fmt.Fprintf(out, "%s:%s\n", opts.Args.File, f); err != nil {
			return err
		}
	}
	for _, c := range r.Changes {
		if _, err := fmt.Fprintln(out, c.String()); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "%s: %d errors, %d warnings, %d differences\n", opts.Args.File, errorCount, warnings, len(r.Changes))
	return err
}
