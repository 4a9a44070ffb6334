package settings

import (
	"fmt"
	"os"
	"time"

	"github.com/chivefield/chivefield/config"
	"github.com/chivefield/chivefield/core/mechanism"
	"github.com/chivefield/chivefield/core/suspect"
	"github.com/chivefield/chivefield/schema"
	"github.com/chivefield/chivefield/tomlproto"
)

// Defaults and minimums of an entry daemon's settings.
const (
	defaultMemoryMB         = 128
	defaultMaxDescriptors   = 1024
	defaultConfigApplyBound = 3 * time.Second
	defaultDrainBound       = 3 * time.Second
	defaultGracePeriod      = 8 * time.Second
	defaultExposureShare    = 0.1
	defaultBudgetWindow     = 10 * time.Second
	minGracePeriod          = 2 * time.Second
)

// Entry holds the validated settings of an entry daemon, with durations and digests parsed.
type Entry struct {
	*schema.EntrySettings
	// ConfigApplyBound is the time within which a configuration change must be applied on all VMs,
	// DrainBound that within which a leaving endpoint must stop receiving requests, and GracePeriod
	// the time from SIGTERM to SIGKILL.
	ConfigApplyBound, DrainBound, GracePeriod time.Duration
	// RetryWindow and AllowanceWindow are the windows of the retry budget and of the allowances.
	RetryWindow, AllowanceWindow time.Duration
	// Disabled is the set of mechanisms that are switched off.
	Disabled mechanism.Off
	// Released lists the requests that are run although they have crashed endpoints.
	Released []suspect.Digest
	regions  map[string]string
}

// Inactive returns the mechanisms that do not act: those that are switched off, and those that the settings do
// not ask for.
func (e *Entry) Inactive() mechanism.Off {
	off := e.Disabled
	if !e.Overload.ReturnTimes {
		off = off.With(mechanism.ReturnTimes)
	}
	if !e.Overload.EndpointLimits {
		off = off.With(mechanism.EndpointLimits)
	}
	return off
}

// Region returns the region of a failure domain; empty if the settings do not name one.
func (e *Entry) Region(failureDomain string) string { return e.regions[failureDomain] }

// LoadEntry reads, parses and validates the settings file of an entry daemon.
func LoadEntry(path string) (*Entry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Err: err}
	}
	return ParseEntry(data)
}

// ParseEntry parses and validates an entry daemon's settings. It returns a config.FaultsError if
// they are invalid.
func ParseEntry(data []byte) (*Entry, error) {
	raw := &schema.EntrySettings{}
	if faults := tomlproto.Decode(data, raw); len(faults) > 0 {
		return nil, &config.FaultsError{Faults: faults}
	}
	c := &checker{}
	e := c.checkEntry(raw)
	if len(c.faults) > 0 {
		return nil, &config.FaultsError{Faults: c.faults}
	}
	return e, nil
}

// checkEntry applies defaults to the settings of an entry daemon and records their faults.
func (c *checker) checkEntry(raw *schema.EntrySettings) *Entry {
	ensureSection(&raw.Vm)
	ensureSection(&raw.Listen)
	ensureSection(&raw.Platform)
	ensureSection(&raw.Limits)
	ensureSection(&raw.Bounds)
	ensureSection(&raw.Experiments)
	ensureSection(&raw.Suspects)
	ensureSection(&raw.Rollouts)
	ensureSection(&raw.Overload)
	setDefault(&raw.Bounds.ExposureShare, defaultExposureShare)
	setDefault(&raw.Limits.MemoryMb, defaultMemoryMB)
	setDefault(&raw.Limits.MaxDescriptors, defaultMaxDescriptors)
	e := &Entry{
		EntrySettings:    raw,
		ConfigApplyBound: c.parseDuration("bounds.config_in_force", raw.Bounds.ConfigInForce, defaultConfigApplyBound),
		DrainBound:       c.parseDuration("bounds.drain", raw.Bounds.Drain, defaultDrainBound),
		GracePeriod:      c.parseDuration("bounds.grace", raw.Bounds.Grace, defaultGracePeriod),
		RetryWindow:      c.parseDuration("bounds.retry_window", raw.Bounds.RetryWindow, defaultBudgetWindow),
		AllowanceWindow:  c.parseDuration("bounds.allowance_window", raw.Bounds.AllowanceWindow, defaultBudgetWindow),
	}
	e.regions = make(map[string]string, len(raw.FailureDomains))
	for i, d := range raw.FailureDomains {
		if d.Name == "" {
			c.addFault(fmt.Sprintf("failure_domains[%d].name", i), "is missing")
		}
		e.regions[d.Name] = d.Region
	}
	off, err := mechanism.Parse(raw.Experiments.Off)
	if err != nil {
		c.addFault("experiments.off", err.Error())
	}
	e.Disabled = off
	for i, text := range raw.Suspects.Released {
		d, err := suspect.ParseDigest(text)
		if err != nil {
			c.addFault(fmt.Sprintf("suspects.released[%d]", i), err.Error())
			continue
		}
		e.Released = append(e.Released, d)
	}
	if raw.Vm.Name == "" {
		c.addFault("vm.name", "is missing")
	}
	if raw.Vm.FailureDomain == "" {
		c.addFault("vm.failure_domain", "is missing")
	}
	if e.GracePeriod < minGracePeriod {
		c.addFault("bounds.grace", "must be at least "+minGracePeriod.String())
	}
	c.checkNotNegative("bounds.retry_ratio", raw.Bounds.RetryRatio)
	c.checkNotNegative("bounds.retry_slack", raw.Bounds.RetrySlack)
	c.checkNotNegative("bounds.allowance_over", raw.Bounds.AllowanceOver)
	c.checkNotNegative("bounds.allowance_slack", raw.Bounds.AllowanceSlack)
	c.checkNotNegative("bounds.exposure_slack", raw.Bounds.ExposureSlack)
	if raw.Bounds.ExposureShare < 0 || raw.Bounds.ExposureShare > 1 {
		c.addFault("bounds.exposure_share", "must be from 0 to 1")
	}
	c.checkAddress("listen.callers", raw.Listen.Callers)
	c.checkAddress("listen.ready", raw.Listen.Ready)
	c.checkAddress("listen.peers", raw.Listen.Peers)
	c.checkAddress("platform.address", raw.Platform.Address)
	if raw.Listen.Metrics != "" {
		c.checkAddress("listen.metrics", raw.Listen.Metrics)
	}
	return e
}

func (c *checker) checkNotNegative(path string, v float64) {
	if v < 0 {
		c.addFault(path, "must not be negative")
	}
}
