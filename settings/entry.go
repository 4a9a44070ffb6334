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

// Defaults of an entry daemon's settings that may be left out.
const (
	defaultEntryMemory      = 128
	defaultEntryDescriptors = 1024
	defaultInForce          = 3 * time.Second
	defaultDrain            = 3 * time.Second
	defaultGrace            = 8 * time.Second
	defaultExposure         = 0.1
	defaultWindow           = 10 * time.Second
	minGrace                = 2 * time.Second
)

// Entry are the checked settings of an entry daemon with their units resolved.
type Entry struct {
	*schema.EntrySettings
	InForce, Drain, Grace        time.Duration
	RetryWindow, AllowanceWindow time.Duration
	// Off are the mechanisms that are switched off.
	Off mechanism.Off
	// Released are the requests that run though they ended endpoints.
	Released []suspect.Digest
	regions  map[string]string
}

// Region is the region of a failure domain; empty if the settings do not say.
func (e *Entry) Region(failureDomain string) string { return e.regions[failureDomain] }

// LoadEntry reads and checks the settings file of an entry daemon.
func LoadEntry(path string) (*Entry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Err: err}
	}
	return ParseEntry(data)
}

// ParseEntry reads and checks an entry daemon's settings. The error is a
// config.FaultsError.
func ParseEntry(data []byte) (*Entry, error) {
	raw := &schema.EntrySettings{}
	if faults := tomlproto.Decode(data, raw); len(faults) > 0 {
		return nil, &config.FaultsError{Faults: faults}
	}
	c := &checker{}
	e := c.entry(raw)
	if len(c.faults) > 0 {
		return nil, &config.FaultsError{Faults: c.faults}
	}
	return e, nil
}

func (c *checker) entry(raw *schema.EntrySettings) *Entry {
	section(&raw.Vm)
	section(&raw.Listen)
	section(&raw.Platform)
	section(&raw.Limits)
	section(&raw.Bounds)
	section(&raw.Experiments)
	section(&raw.Suspects)
	section(&raw.Rollouts)
	number(&raw.Bounds.ExposureShare, defaultExposure)
	number(&raw.Limits.MemoryMb, defaultEntryMemory)
	number(&raw.Limits.MaxDescriptors, defaultEntryDescriptors)
	e := &Entry{
		EntrySettings:   raw,
		InForce:         c.duration("bounds.config_in_force", raw.Bounds.ConfigInForce, defaultInForce),
		Drain:           c.duration("bounds.drain", raw.Bounds.Drain, defaultDrain),
		Grace:           c.duration("bounds.grace", raw.Bounds.Grace, defaultGrace),
		RetryWindow:     c.duration("bounds.retry_window", raw.Bounds.RetryWindow, defaultWindow),
		AllowanceWindow: c.duration("bounds.allowance_window", raw.Bounds.AllowanceWindow, defaultWindow),
	}
	e.regions = make(map[string]string, len(raw.FailureDomains))
	for i, d := range raw.FailureDomains {
		if d.Name == "" {
			c.fault(fmt.Sprintf("failure_domains[%d].name", i), "is missing")
		}
		e.regions[d.Name] = d.Region
	}
	off, err := mechanism.Parse(raw.Experiments.Off)
	if err != nil {
		c.fault("experiments.off", err.Error())
	}
	e.Off = off
	for i, text := range raw.Suspects.Released {
		d, err := suspect.ParseDigest(text)
		if err != nil {
			c.fault(fmt.Sprintf("suspects.released[%d]", i), err.Error())
			continue
		}
		e.Released = append(e.Released, d)
	}
	if raw.Vm.Name == "" {
		c.fault("vm.name", "is missing")
	}
	if raw.Vm.FailureDomain == "" {
		c.fault("vm.failure_domain", "is missing")
	}
	if e.Grace < minGrace {
		c.fault("bounds.grace", "must be at least "+minGrace.String())
	}
	c.notNegative("bounds.retry_ratio", raw.Bounds.RetryRatio)
	c.notNegative("bounds.retry_slack", raw.Bounds.RetrySlack)
	c.notNegative("bounds.allowance_over", raw.Bounds.AllowanceOver)
	c.notNegative("bounds.allowance_slack", raw.Bounds.AllowanceSlack)
	c.notNegative("bounds.exposure_slack", raw.Bounds.ExposureSlack)
	if raw.Bounds.ExposureShare < 0 || raw.Bounds.ExposureShare > 1 {
		c.fault("bounds.exposure_share", "must be from 0 to 1")
	}
	c.address("listen.callers", raw.Listen.Callers)
	c.address("listen.ready", raw.Listen.Ready)
	c.address("listen.peers", raw.Listen.Peers)
	c.address("platform.address", raw.Platform.Address)
	if raw.Listen.Metrics != "" {
		c.address("listen.metrics", raw.Listen.Metrics)
	}
	return e
}

func (c *checker) notNegative(path string, v float64) {
	if v < 0 {
		c.fault(path, "must not be negative")
	}
}
