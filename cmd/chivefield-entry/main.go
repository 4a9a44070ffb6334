// Command chivefield-entry runs the daemon of one entry VM on the users' platform.
// It imports "C" only because the platform's machines require programs that are linked
// against the C library.
package main

import "C"

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/chivefield/chivefield/entry"
	"github.com/chivefield/chivefield/logging"
	"github.com/chivefield/chivefield/platform"
	"github.com/chivefield/chivefield/settings"
)

type options struct {
	Check bool `long:"check" description:"Only check the settings, and report every fault with its location"`
	Args  struct {
		Settings string `positional-arg-name:"SETTINGS" description:"TOML file; by default the file named by the platform"`
	} `positional-args:"yes"`
}

// gcPercent trades CPU time for memory: the live heap is a few MB, and the peak heap
// size is what counts.
const gcPercent = 60

// softMemoryShare is the share of the memory limit from which the garbage collector works harder, instead of letting the
// heap grow. The rest is for what the runtime does not count, the program's own pages among them.
const softMemoryShare = 0.7

func main() {
	if isCheckConfig(os.Args[1:]) {
		os.Exit(checkConfig(os.Args[3:], os.Stdout, os.Stderr))
	}
	var opts options
	p := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Serves callers on one entry VM until SIGTERM, which starts a graceful shutdown. " +
		"With the words \"check config\" it checks a configuration document instead: see check config --help."
	if _, err := p.Parse(); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			fmt.Println(err)
			return
		}
		fail(err)
	}
	if err := run(&opts); err != nil {
		fail(err)
	}
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "chivefield-entry:", err)
	os.Exit(1)
}

func run(opts *options) error {
	path := opts.Args.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	set, err := settings.LoadEntry(path)
	if err != nil || opts.Check {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(set.Limits.MemoryMb) * softMemoryShare * (1 << 20)))
	sink := logging.NewSink(os.Stdout, logging.DefaultBudget)
	defer sink.Close()
	log := logging.New(sink).With().Str("vm", set.Vm.Name).Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangup := hangupSignals()
	dialer := &net.Dialer{Timeout: storeDialTimeout}
	store := &platform.Store{
		BaseURL: "http://" + set.Platform.Address,
		HTTP:    &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, DisableCompression: true, MaxResponseHeaderBytes: platform.MaxHeadBytes}},
	}
	return entry.New(entry.Options{
		Settings: set, Log: log, Codec: platform.Codec{}, Store: store,
		Reload: func() (*settings.Entry, error) { return settings.LoadEntry(path) }, Hangup: hangup,
	}).Run(ctx)
}

const storeDialTimeout = time.Second

// hangupSignals returns a channel that receives a value for each SIGHUP.
func hangupSignals() <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	out := make(chan struct{})
	go func() {
		for range signals {
			out <- struct{}{}
		}
	}()
	return out
}
