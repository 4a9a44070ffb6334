// Command chivefield schedules requests for heterogeneous model engines and services. It
// contains the daemon and the tools to operate and measure it.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
)

// options holds the subcommands.
type options struct {
	Serve   serveCommand   `command:"serve" description:"Run one VM's daemon" long-description:"Reads the settings, joins the other VMs and serves callers until SIGTERM, which starts a graceful shutdown. A second signal terminates it at once."`
	Check   checkCommand   `command:"check" description:"Check settings or a configuration document" long-description:"Reports every fault with its location. Exits with status 1 if there is one."`
	Status  statusCommand  `command:"status" description:"Show a daemon's state"`
	Drain   drainCommand   `command:"drain" description:"Start the graceful shutdown of a daemon"`
	Config  configCommand  `command:"config" description:"Submit a configuration or show the current one"`
	Audit   auditCommand   `command:"audit" description:"List every configuration change on the log, with its verdict"`
	Explain explainCommand `command:"explain" description:"Show the events of one request from the logs of all VMs"`
	Report  reportCommand  `command:"report" description:"Summarise an incident from the logs of all VMs" long-description:"Prints the outcomes of requests by route, the worst time steps with their likely cause, and the endpoints that failed."`
	Load    loadCommand    `command:"load" description:"Measure policies on the users' workloads in virtual time"`
	Demo    demoCommand    `command:"demo" description:"Run requests through four VMs and built-in stand-ins, and print the events"`
	Slopes  slopesCommand  `command:"slopes" description:"Measure the slopes on which docs/CAPACITY.md is based"`
	Traffic trafficCommand `command:"traffic" description:"Measure the traffic between VMs, over real connections"`
	Standin standinCommand `command:"standin" description:"Run a stand-in of an external system, for tests"`
	Version versionCommand `command:"version" description:"Print the version"`
}

func main() {
	var opts options
	p := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Chivefield schedules requests of several tiers for model engines and plain services.\n" +
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
