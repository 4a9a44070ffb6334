package main

import (
	"net/http"
	"time"

	"github.com/chivefield/chivefield/engine"
	"github.com/chivefield/chivefield/standin"
)

type standinCommand struct {
	Platform standinPlatform `command:"platform" description:"The log and the list of VMs"`
	Engine   standinEngine   `command:"engine" description:"A model engine"`
	Service  standinService  `command:"service" description:"A plain service"`
}

type standinPlatform struct {
	Listen  string `long:"listen" required:"yes" description:"Address"`
	Appends int    `long:"appends-per-second" default:"400" description:"Append rate limit of the log"`
}

// Execute implements flags.Commander.
func (c *standinPlatform) Execute([]string) error {
	p := &standin.Platform{AppendsPerSecond: c.Appends}
	return listenAndServe(c.Listen, p.Handler())
}

type standinEngine struct {
	Listen  string        `long:"listen" required:"yes" description:"Address"`
	Name    string        `long:"name" default:"engine" description:"Name"`
	Slots   int           `long:"slots" default:"8" description:"Maximum batch size"`
	Prefill float64       `long:"prefill-speed" default:"8000" description:"Prompt tokens per second"`
	Output  float64       `long:"output-speed" default:"60" description:"Output tokens per second of a single request"`
	Batch   float64       `long:"batch-cost" default:"0.03" description:"Share by which each additional request slows down the others"`
	Cache   int           `long:"cache-blocks" default:"2000" description:"Prompt blocks in the cache"`
	NoFence bool          `long:"ignore-fencing" description:"Run requests without checking their fencing"`
	Lag     time.Duration `long:"report-lag" default:"1s" description:"Age of the load report"`
}

// Execute implements flags.Commander.
func (c *standinEngine) Execute([]string) error {
	e := standin.NewEngine(c.Name, engine.Config{
		Slots: c.Slots, PrefillSpeed: c.Prefill, OutputSpeed: c.Output, BatchCost: c.Batch, CacheBlocks: c.Cache,
	})
	e.ReportLag = c.Lag
	e.IgnoresFencing = c.NoFence
	return listenAndServe(c.Listen, e.Handler())
}

type standinService struct {
	Listen string `long:"listen" required:"yes" description:"Address"`
	Name   string `long:"name" default:"service" description:"Name"`
}

// Execute implements flags.Commander.
func (c *standinService) Execute([]string) error {
	return listenAndServe(c.Listen, (&standin.Service{Name: c.Name}).Handler())
}

func listenAndServe(addr string, h http.Handler) error {
	s := &http.Server{Addr: addr, Handler: h, ReadHeaderTimeout: 10 * time.Second}
	return s.ListenAndServe()
}
