// Package mechanism names the mechanisms by which requests are placed, refused and
// bounded that can be switched off one by one: to weigh what each is worth, and for an
// operator who suspects one during an incident.
package mechanism

import (
	"slices"
	"strings"
)

// Mechanism is one of them.
type Mechanism uint

// Mechanisms, with what happens without them.
const (
	// Turns: free slots that others may have taken are taken at once.
	Turns Mechanism = iota
	// StaleCost: endpoints whose load is known late count as if it were known well.
	StaleCost
	// NearFirst: endpoints of other failure domains count as near ones.
	NearFirst
	// ScarceSlowFirst: the fastest endpoints are taken first also when few have room.
	ScarceSlowFirst
	// ShortFirst: short jobs wait behind late jobs of the tier above.
	ShortFirst
	// Hopeless: jobs that wait in vain are refused only when their time is over.
	Hopeless
	// Ejection: endpoints that fail more than others are used as the others.
	Ejection
	// PeerDoubts: what other VMs cannot reach is found out by each VM alone.
	PeerDoubts
	// Cells: each VM places its own requests.
	Cells
	// TierReserve: all tiers draw on their organisation's allowance alike.
	TierReserve
	// RestartAllowance: restarted processes begin with no allowance.
	RestartAllowance
	// StartWait: requests are refused until a process knows its configuration.
	StartWait
	// StallRetry: silent endpoints are waited for to the end.
	StallRetry
	// Trials: requests that may end endpoints are placed as all others.
	Trials
)

// names are the mechanisms as settings name them, in order.
var names = [...]string{
	"turns", "stale_cost", "near_first", "scarce_slow_first", "short_first", "hopeless", "ejection",
	"peer_doubts", "cells", "tier_reserve", "restart_allowance", "start_wait", "stall_retry", "trials",
}

// String is the mechanism's name in settings.
func (m Mechanism) String() string { return names[m] }

// Off is the set of mechanisms that are switched off; the zero value switches off none.
type Off uint

// Has says whether a mechanism is switched off.
func (o Off) Has(m Mechanism) bool { return o&(1<<m) != 0 }

// String lists their names.
func (o Off) String() string {
	var list []string
	for m := range Mechanism(len(names)) {
		if o.Has(m) {
			list = append(list, m.String())
		}
	}
	return strings.Join(list, ",")
}

// UnknownError reports a name that is no mechanism's.
type UnknownError struct{ Name string }

// Error describes the failure, with the names there are.
func (e *UnknownError) Error() string {
	return "there is no mechanism " + e.Name + "; there are " + strings.Join(names[:], ", ")
}

// Parse reads a list of names. The error is an UnknownError.
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
