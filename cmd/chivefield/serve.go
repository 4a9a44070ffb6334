package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/chivefield/chivefield/daemon"
	"github.com/chivefield/chivefield/logging"
	"github.com/chivefield/chivefield/settings"
)

type serveCommand struct {
	Args struct {
		Settings string `positional-arg-name:"SETTINGS" description:"TOML file"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	set, err := settings.Load(c.Args.Settings)
	if err != nil {
		return err
	}
	log := logging.New(os.Stderr)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		<-signals
		stop()
		<-signals
		log.Warn().Msg("second_signal")
		os.Exit(secondSignalExitCode)
	}()
	return daemon.New(daemon.Options{Settings: set, Log: log}).Run(ctx)
}

// secondSignalExitCode is the exit code after a second signal.
const secondSignalExitCode = 3
