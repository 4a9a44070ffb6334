// Package settings parses and validates the settings of a daemon.
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
	// UndeclaredMayBeRetry treats a request without an attempt number as a possible retry.
	UndeclaredMayBeRetry = "repeat"
	// UndeclaredFirstAttempt treats it as a first attempt and trusts callers to number all retries.
	UndeclaredFirstAttempt = "first"
)

// Defaults and minimums of settings.
const (
	defaultPollInterval      = 100 * time.Millisecond
	defaultPlatformTimeout   = 2 * time.Second
	defaultMaxBodyBytes      = 4 << 20
	defaultMaxHeaderBytes    = 16 << 10
	defaultMaxConnections    = 10000
	defaultReadTimeout       = 10 * time.Second
	defaultIdleTimeout       = 90 * time.Second
	defaultMaxQueuedRequests = 10000
	defaultLease             = time.Second
	defaultMaxRecords        = 200000
	defaultShutdownBound     = 5 * time.Minute
	minKeyBytes              = 16
	minLease                 = 200 * time.Millisecond
)

// Settings holds the validated settings of a daemon, with durations parsed.
type Settings struct {
	*schema.Settings
	PollInterval, PlatformTimeout time.Duration
	ReadTimeout, IdleTimeout      time.Duration
	Lease, ClaimTimeout           time.Duration
	ShutdownBound                 time.Duration
}

// FileError reports that a settings file cannot be read.
type FileError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *FileError) Error() string { return "settings " + e.Path + ": " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *FileError) Unwrap() error { return e.Err }

// Load reads, parses and validates a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Err: err}
	}
	return Parse(data)
}

// Parse parses and validates settings. It returns a config.FaultsError if they are invalid.
func Parse(data []byte) (*Settings, error) {
	raw := &schema.Settings{}
	if faults := tomlproto.Decode(data, raw); len(faults) > 0 {
		return nil, &config.FaultsError{Faults: faults}
	}
	c := &checker{}
	s := c.checkSettings(raw)
	if len(c.faults) > 0 {
		return nil, &config.FaultsError{Faults: c.faults}
	}
	return s, nil
}

// checker collects the faults of settings.
type checker struct{ faults []config.Fault }

func (c *checker) addFault(path, problem string) {
	c.faults = append(c.faults, config.Fault{Path: path, Problem: problem})
}

// checkSettings applies defaults to settings and records their faults.
func (c *checker) checkSettings(raw *schema.Settings) *Settings {
	applyDefaults(raw)
	s := &Settings{
		Settings:        raw,
		PollInterval:    c.parseDuration("platform.poll_interval", raw.Platform.PollInterval, defaultPollInterval),
		PlatformTimeout: c.parseDuration("platform.timeout", raw.Platform.Timeout, defaultPlatformTimeout),
		ReadTimeout:     c.parseDuration("limits.read_timeout", raw.Limits.ReadTimeout, defaultReadTimeout),
		IdleTimeout:     c.parseDuration("limits.idle_timeout", raw.Limits.IdleTimeout, defaultIdleTimeout),
		Lease:           c.parseDuration("claims.lease", raw.Claims.Lease, defaultLease),
		ShutdownBound:   c.parseDuration("shutdown.bound", raw.Shutdown.Bound, defaultShutdownBound),
	}
	s.ClaimTimeout = c.parseDuration("claims.timeout", raw.Claims.Timeout, 2*s.Lease)
	c.checkVMs(raw)
	c.checkAddresses(raw)
	c.checkKeys(raw)
	c.checkClaims(s)
	return s
}

// applyDefaults creates missing sections and sets missing numbers and undeclared_attempt to their
// defaults. Durations get theirs from parseDuration.
func applyDefaults(raw *schema.Settings) {
	ensureSection(&raw.Vm)
	ensureSection(&raw.Listen)
	ensureSection(&raw.Platform)
	ensureSection(&raw.Keys)
	ensureSection(&raw.Tls)
	ensureSection(&raw.Limits)
	ensureSection(&raw.Claims)
	ensureSection(&raw.Shutdown)
	setDefault(&raw.Limits.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&raw.Limits.MaxHeaderBytes, defaultMaxHeaderBytes)
	setDefault(&raw.Limits.MaxConnections, defaultMaxConnections)
	setDefault(&raw.Limits.MaxQueuedRequests, defaultMaxQueuedRequests)
	setDefault(&raw.Claims.MaxRecords, defaultMaxRecords)
	if raw.Claims.UndeclaredAttempt == "" {
		raw.Claims.UndeclaredAttempt = UndeclaredMayBeRetry
	}
}

func ensureSection[T any](p **T) {
	if *p == nil {
		*p = new(T)
	}
}

func setDefault[T uint32 | float64](p *T, def T) {
	if *p == 0 {
		*p = def
	}
}

// parseDuration parses the duration of a setting and returns def if it is missing or invalid.
func (c *checker) parseDuration(path, s string, def time.Duration) time.Duration {
	if s == "" {
		return def
	}
	d, err := time.ParseDuration(s)
	if err != nil || d <= 0 {
		c.addFault(path, `must be a positive duration with a unit, such as "250ms"`)
		return def
	}
	return d
}

func (c *checker) checkVMs(raw *schema.Settings) {
	if raw.Vm.Id == 0 {
		c.addFault("vm.id", "must be positive")
	}
	if raw.Vm.FailureDomain == "" {
		c.addFault("vm.failure_domain", "is missing")
	}
	ids := map[uint32]bool{raw.Vm.Id: true}
	for i, p := range raw.Peers {
		path := fmt.Sprintf("peers[%d].", i)
		if p.Id == 0 || ids[p.Id] {
			c.addFault(path+"id", "must be positive and unique among all VMs")
		}
		ids[p.Id] = true
		if p.FailureDomain == "" {
			c.addFault(path+"failure_domain", "is missing")
		}
		c.checkAddress(path+"address", p.Address)
	}
}

func (c *checker) checkAddresses(raw *schema.Settings) {
	c.checkAddress("listen.callers", raw.Listen.Callers)
	c.checkAddress("listen.peers", raw.Listen.Peers)
	c.checkAddress("listen.operators", raw.Listen.Operators)
	c.checkAddress("platform.address", raw.Platform.Address)
	if raw.Listen.Callers == raw.Listen.Peers || raw.Listen.Callers == raw.Listen.Operators || raw.Listen.Peers == raw.Listen.Operators {
		c.addFault("listen", "callers, peers and operators must have addresses of their own")
	}
}

func (c *checker) checkAddress(path, a string) {
	host, _, err := net.SplitHostPort(a)
	if err != nil || net.ParseIP(host) == nil {
		c.addFault(path, `must be an IP address and port, such as "10.0.0.1:7001"`)
	}
}

func (c *checker) checkKeys(raw *schema.Settings) {
	if len(raw.Keys.Peer) < minKeyBytes {
		c.addFault("keys.peer", fmt.Sprintf("must have at least %d characters", minKeyBytes))
	}
	if len(raw.Keys.Operator) < minKeyBytes {
		c.addFault("keys.operator", fmt.Sprintf("must have at least %d characters", minKeyBytes))
	}
	if raw.Keys.Peer != "" && raw.Keys.Peer == raw.Keys.Operator {
		c.addFault("keys", "peer and operator keys must differ")
	}
	if (raw.Tls.CertificateFile == "") != (raw.Tls.KeyFile == "") {
		c.addFault("tls", "certificate_file and key_file must be set together")
	}
}

func (c *checker) checkClaims(s *Settings) {
	if s.Lease < minLease {
		c.addFault("claims.lease", "must be at least "+minLease.String())
	}
	if s.ClaimTimeout <= s.Lease {
		c.addFault("claims.timeout", "must be longer than claims.lease")
	}
	if u := s.Claims.UndeclaredAttempt; u != UndeclaredMayBeRetry && u != UndeclaredFirstAttempt {
		c.addFault("claims.undeclared_attempt", `must be "repeat" or "first"`)
	}
}
