// Command chivefield-entry runs one entry VM's daemon on the users' platform.
// It uses cgo only because the platform's machines need programs that are linked
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
	Check bool `long:"check" description:"Only check the settings, and report every fault with its place"`
	Args  struct {
		Settings string `positional-arg-name:"SETTINGS" description:"TOML file; by default the file that the platform names"`
	} `positional-args:"yes"`
}

// gcPercent trades processor time for memory: the live heap is a few MB, and
// what matters is the peak.
const gcPercent = 60

func main() {
	var opts options
	p := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Serves callers on one entry VM until SIGTERM, which starts a graceful shutdown."
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
	sink := logging.NewSink(os.Stdout, logging.DefaultBudget)
	defer sink.Close()
	log := logging.New(sink).With().Str("vm", set.Vm.Name).Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangup := hangups()
	dialer := &net.Dialer{Timeout: storeDialTimeout}
	store := &platform.Store{
		BaseURL: "http://" + set.Platform.Address,
		HTTP:    &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, DisableCompression: true}},
	}
	return entry.New(entry.Options{
		Settings: set, Log: log, Codec: platform.Codec{}, Store: store,
		Reload: func() (*settings.Entry, error) { return settings.LoadEntry(path) }, Hangup: hangup,
	}).Run(ctx)
}

const storeDialTimeout = time.Second

// hangups delivers SIGHUP.
func hangups() <-chan struct{} {
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
