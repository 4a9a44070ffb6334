// Package settings reads and checks the settings of one daemon.
package settings

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/chivefield/chivefield/config"
	"github.com/chivefield/chivefield/schema"
	"github.com/chivefield/chivefield/tomlproto"
)

// Values of undeclared_attempt.
const (
	// UndeclaredRepeat treats a request without an attempt number as one that
	// may have been sent before.
	UndeclaredRepeat = "repeat"
	// UndeclaredFirst trusts callers never to repeat without a number.
	UndeclaredFirst = "first"
)

// Defaults of settings that may be left out.
const (
	defaultPoll        = 100 * time.Millisecond
	defaultTimeout     = 2 * time.Second
	defaultBody        = 4 << 20
	defaultHeader      = 16 << 10
	defaultConnections = 10000
	defaultRead        = 10 * time.Second
	defaultIdle        = 90 * time.Second
	defaultQueued      = 10000
	defaultLease       = time.Second
	defaultRecords     = 200000
	defaultBound       = 5 * time.Minute
	minKeyBytes        = 16
	minLease           = 200 * time.Millisecond
)

// Settings are checked settings with their units resolved.
type Settings struct {
	*schema.Settings
	PollInterval, PlatformTimeout time.Duration
	ReadTimeout, IdleTimeout      time.Duration
	Lease, ClaimTimeout           time.Duration
	ShutdownBound                 time.Duration
}

// FileError reports a settings file that cannot be read.
type FileError struct {
	Path string
	Err  error
}

// Error describes the failure.
func (e *FileError) Error() string { return "settings " + e.Path + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Err: err}
	}
	return Parse(data)
}

// Parse reads and checks settings. The error is a config.FaultsError.
func Parse(data []byte) (*Settings, error) {
	raw := &schema.Settings{}
	if faults := tomlproto.Decode(data, raw); len(faults) > 0 {
		return nil, &config.FaultsError{Faults: faults}
	}
	c := &checker{}
	s := c.check(raw)
	if len(c.faults) > 0 {
		return nil, &config.FaultsError{Faults: c.faults}
	}
	return s, nil
}

type checker struct{ faults []config.Fault }

func (c *checker) fault(path, problem string) {
	c.faults = append(c.faults, config.Fault{Path: path, Problem: problem})
}

func (c *checker) check(raw *schema.Settings) *Settings {
	fillEmpty(raw)
	s := &Settings{
		Settings:        raw,
		PollInterval:    c.duration("platform.poll_interval", raw.Platform.PollInterval, defaultPoll),
		PlatformTimeout: c.duration("platform.timeout", raw.Platform.Timeout, defaultTimeout),
		ReadTimeout:     c.duration("limits.read_timeout", raw.Limits.ReadTimeout, defaultRead),
		IdleTimeout:     c.duration("limits.idle_timeout", raw.Limits.IdleTimeout, defaultIdle),
		Lease:           c.duration("claims.lease", raw.Claims.Lease, defaultLease),
		ShutdownBound:   c.duration("shutdown.bound", raw.Shutdown.Bound, defaultBound),
	}
	s.ClaimTimeout = c.duration("claims.timeout", raw.Claims.Timeout, 2*s.Lease)
	c.vm(raw)
	c.addresses(raw)
	c.keys(raw)
	c.claims(s)
	return s
}

// fillEmpty gives every section and number its default.
func fillEmpty(raw *schema.Settings) {
	section(&raw.Vm)
	section(&raw.Listen)
	section(&raw.Platform)
	section(&raw.Keys)
	section(&raw.Tls)
	section(&raw.Limits)
	section(&raw.Claims)
	section(&raw.Shutdown)
	number(&raw.Limits.MaxBodyBytes, defaultBody)
	number(&raw.Limits.MaxHeaderBytes, defaultHeader)
	number(&raw.Limits.MaxConnections, defaultConnections)
	number(&raw.Limits.MaxQueuedRequests, defaultQueued)
	number(&raw.Claims.MaxRecords, defaultRecords)
	if raw.Claims.UndeclaredAttempt == "" {
		raw.Claims.UndeclaredAttempt = UndeclaredRepeat
	}
}

func section[T any](p **T) {
	if *p == nil {
		*p = new(T)
	}
}

func number[T uint32 | float64](p *T, def T) {
	if *p == 0 {
		*p = def
	}
}

func (c *checker) duration(path, s string, def time.Duration) time.Duration {
	if s == "" {
		return def
	}
	d, err := time.ParseDuration(s)
	if err != nil || d <= 0 {
		c.fault(path, `must be a positive duration with a unit, such as "250ms"`)
		return def
	}
	return d
}

func (c *checker) vm(raw *schema.Settings) {
	if raw.Vm.Id == 0 {
		c.fault("vm.id", "must be positive")
	}
	if raw.Vm.FailureDomain == "" {
		c.fault("vm.failure_domain", "is missing")
	}
	ids := map[uint32]bool{raw.Vm.Id: true}
	for i, p := range raw.Peers {
		path := fmt.Sprintf("peers[%d].", i)
		if p.Id == 0 || ids[p.Id] {
			c.fault(path+"id", "must be positive and unique among all VMs")
		}
		ids[p.Id] = true
		if p.FailureDomain == "" {
			c.fault(path+"failure_domain", "is missing")
		}
		c.address(path+"address", p.Address)
	}
}

func (c *checker) addresses(raw *schema.Settings) {
	c.address("listen.callers", raw.Listen.Callers)
	c.address("listen.peers", raw.Listen.Peers)
	c.address("listen.operators", raw.Listen.Operators)
	c.address("platform.address", raw.Platform.Address)
	if raw.Listen.Callers == raw.Listen.Peers || raw.Listen.Callers == raw.Listen.Operators || raw.Listen.Peers == raw.Listen.Operators {
		c.fault("listen", "callers, peers and operators must have addresses of their own")
	}
}

func (c *checker) address(path, a string) {
	host, _, err := net.SplitHostPort(a)
	if err != nil || net.ParseIP(host) == nil {
		c.fault(path, `must be an IP number and port, such as "10.0.0.1:7001"`)
	}
}

func (c *checker) keys(raw *schema.Settings) {
	if len(raw.Keys.Peer) < minKeyBytes {
		c.fault("keys.peer", fmt.Sprintf("must have at least %d characters", minKeyBytes))
	}
	if len(raw.Keys.Operator) < minKeyBytes {
		c.fault("keys.operator", fmt.Sprintf("must have at least %d characters", minKeyBytes))
	}
	if raw.Keys.Peer != "" && raw.Keys.Peer == raw.Keys.Operator {
		c.fault("keys", "peer and operator keys must differ")
	}
	if (raw.Tls.CertificateFile == "") != (raw.Tls.KeyFile == "") {
		c.fault("tls", "certificate_file and key_file go together")
	}
}

func (c *checker) claims(s *Settings) {
	if s.Lease < minLease {
		c.fault("claims.lease", "must be at least "+minLease.String())
	}
	if s.ClaimTimeout <= s.Lease {
		c.fault("claims.timeout", "must be longer than claims.lease")
	}
	if u := s.Claims.UndeclaredAttempt; u != UndeclaredRepeat && u != UndeclaredFirst {
		c.fault("claims.undeclared_attempt", `must be "repeat" or "first"`)
	}
}
