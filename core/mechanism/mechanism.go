// Package mechanism names the mechanisms for placing, refusing and limiting requests that
// can be switched off one by one: to measure the benefit of each, and for an operator
// who suspects one during an incident.
package mechanism

import (
	"slices"
	"strings"
)

// Mechanism identifies one of them.
type Mechanism uint

// Mechanisms, with the behaviour when they are switched off.
const (
	// Turns: free slots that other VMs may have taken are used immediately.
	Turns Mechanism = iota
	// StaleCost: endpoints with an old load report are ranked as if it were current.
	StaleCost
	// NearFirst: endpoints of other failure domains rank the same as those of the VM's own.
	NearFirst
	// ScarceSlowFirst: the fastest endpoints are used first even when few have free slots.
	ScarceSlowFirst
	// ShortFirst: short jobs wait behind late jobs of the next higher tier.
	ShortFirst
	// Hopeless: jobs that cannot finish in time are refused only at their deadline.
	Hopeless
	// Ejection: endpoints that fail more often than others are used like the others.
	Ejection
	// PeerDoubts: each VM detects unreachable endpoints on its own.
	PeerDoubts
	// Cells: each VM places its own requests.
	Cells
	// TierReserve: all tiers draw on their organisation's allowance without a reserve.
	TierReserve
	// RestartAllowance: restarted processes begin with no allowance.
	RestartAllowance
	// StartWait: requests are refused until a process has its configuration.
	StartWait
	// StallRetry: a silent endpoint is waited for until the request times out.
	StallRetry
	// Trials: requests that may crash endpoints are placed like all others.
	Trials
	// Bootstrap: each process reads the registry of endpoints from the store when it starts.
	Bootstrap
	// Carriers: a VM that reaches no endpoint refuses its callers.
	Carriers
	// OrganisationShares: the jobs of a tier are ordered without regard to whose they are.
	OrganisationShares
	// EndpointLimits: endpoints get as many requests as the registry allows, however slow they become.
	EndpointLimits
	// ReturnTimes: refused callers are told to return soon, whatever waits.
	ReturnTimes
)

// names are the names in settings, indexed by Mechanism.
var names = [...]string{
	"turns", "stale_cost", "near_first", "scarce_slow_first", "short_first", "hopeless", "ejection",
	"peer_doubts", "cells", "tier_reserve", "restart_allowance", "start_wait", "stall_retry", "trials", "bootstrap", "carriers",
	"organisation_shares", "endpoint_limits", "return_times",
}

// String returns the name of the mechanism in settings.
func (m Mechanism) String() string { return names[m] }

// Off is the set of mechanisms that are switched off; the zero value switches off none.
type Off uint

// Has reports whether a mechanism is switched off.
func (o Off) Has(m Mechanism) bool { return o&(1<<m) != 0 }

// With returns the set with one more mechanism.
func (o Off) With(m Mechanism) Off { return o | 1<<m }

// String returns the names in the set, separated by commas.
func (o Off) String() string {
	var list []string
	for m := range Mechanism(len(names)) {
		if o.Has(m) {
			list = append(list, m.String())
		}
	}
	return strings.Join(list, ",")
}

// UnknownError reports a name that no mechanism has.
type UnknownError struct{ Name string }

// Error lists the valid names.
func (e *UnknownError) Error() string {
	return "unknown mechanism " + e.Name + "; known mechanisms: " + strings.Join(names[:], ", ")
}

// Parse parses a list of names. The error is an *UnknownError.
func Parse(list []string) (Off, error) {
	var off Off
	for _, name := range list {
		i := slices.Index(names[:], name)
		if i < 0 {
			return 0, &UnknownError{Name: name}
		}
		off |= 1 << i
	}
	return off, nil
}
