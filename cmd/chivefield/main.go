// Command chivefield schedules requests before unlike engines.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
)

// options are the commands.
type options struct {
	Serve   serveCommand   `command:"serve" description:"Run one VM's daemon" long-description:"Reads the settings, joins the other VMs and serves callers until SIGTERM, which starts a graceful shutdown. A second signal ends it at once."`
	Check   checkCommand   `command:"check" description:"Check settings or a configuration document" long-description:"Reports every fault with its place. Exits with 1 if there is one."`
	Status  statusCommand  `command:"status" description:"Show a daemon's state"`
	Drain   drainCommand   `command:"drain" description:"Start the graceful shutdown of a daemon's work"`
	Config  configCommand  `command:"config" description:"Submit or show the configuration in force"`
	Audit   auditCommand   `command:"audit" description:"List every change of configuration on the log, with its verdict"`
	Explain explainCommand `command:"explain" description:"Tell the story of one request from the logs of all VMs"`
	Report  reportCommand  `command:"report" description:"Give an account of an incident from the logs of all VMs" long-description:"What became of the requests by route and second, the worst seconds with their likely cause, and what endpoints failed."`
	Load    loadCommand    `command:"load" description:"Measure policies on the users' workloads in virtual time"`
	Demo    demoCommand    `command:"demo" description:"Run the whole path on built-in stand-ins and tell what happens"`
	Slopes  slopesCommand  `command:"slopes" description:"Measure the slopes from which docs/CAPACITY.md is worked out"`
	Traffic trafficCommand `command:"traffic" description:"Measure what VMs send each other, over real connections"`
	Standin standinCommand `command:"standin" description:"Run a stand-in of an outside system, for trials"`
	Version versionCommand `command:"version" description:"Print the version"`
}

func main() {
	var opts options
	p := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Chivefield schedules requests of several tiers before model engines and plain services.\n" +
		"Start with 'chivefield demo', then 'chivefield check settings FILE' and 'chivefield serve FILE'."
	if _, err := p.Parse(); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			fmt.Println(err)
			return
		}
		fmt.Fprintln(os.Stderr, "chivefield:", err)
		os.Exit(1)
	}
}

type versionCommand struct{}

// Execute implements flags.Commander.
func (versionCommand) Execute([]string) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Println("chivefield, built without version information")
		return nil
	}
	fmt.Println("chivefield", info.Main.Version, info.GoVersion)
	return nil
}
