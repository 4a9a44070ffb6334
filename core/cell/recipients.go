package cell

import (
	"slices"
	"strings"
)

// Peer is another VM, as a candidate recipient.
type Peer struct {
	Address string
	// SameDomain reports whether it is in this VM's failure domain.
	SameDomain bool
	// IsPlacer reports whether it places requests itself and therefore needs loads.
	IsPlacer bool
	// SameCell reports whether it is this VM's placer, or this VM is its placer. Successor
	// reports whether it would be placer next if this VM were lost.
	SameCell, Successor bool
}

// Recipients are the addresses that receive one peer note.
type Recipients struct {
	// Loads receive the full state with loads. State receive it without loads: they are members
	// of the sender's cell, which place nothing. Heartbeats receive only a sign of life.
	Loads, State, Heartbeats []string
}

const (
	// maxLoadsSameDomain and maxLoadsOtherDomains bound the placers that receive loads in one
	// round, in this VM's failure domain and in others.
	maxLoadsSameDomain   = 16
	maxLoadsOtherDomains = 6
	// maxHeartbeatsSameDomain and maxHeartbeatsOtherDomains bound the heartbeats to all other
	// VMs, so that the traffic of a VM does not grow with the deployment.
	maxHeartbeatsSameDomain   = 4
	maxHeartbeatsOtherDomains = 1
)

// ChooseRecipients returns the recipients of the i-th note. Where there are too many it rotates
// through them, so that the traffic of a VM does not grow with the deployment. selfIsPlacer
// reports whether the sender places requests itself, so that others need its loads.
func ChooseRecipients(peers []Peer, i uint64, selfIsPlacer bool) Recipients {
	var sameDomain, otherDomains, sameDomainRest, otherDomainsRest []string
	var r Recipients
	for _, p := range peers {
		switch {
		case p.SameCell && !selfIsPlacer, selfIsPlacer && p.Successor:
			r.Loads = append(r.Loads, p.Address)
		case p.SameCell:
			r.State = append(r.State, p.Address)
		case selfIsPlacer && p.IsPlacer && p.SameDomain:
			sameDomain = append(sameDomain, p.Address)
		case selfIsPlacer && p.IsPlacer:
			otherDomains = append(otherDomains, p.Address)
		case p.SameDomain:
			sameDomainRest = append(sameDomainRest, p.Address)
		default:
			otherDomainsRest = append(otherDomainsRest, p.Address)
		}
	}
	r.Loads = append(r.Loads, rotate(sameDomain, maxLoadsSameDomain, i)...)
	r.Loads = append(r.Loads, rotate(otherDomains, maxLoadsOtherDomains, i)...)
	r.Heartbeats = append(rotate(sameDomainRest, maxHeartbeatsSameDomain, i), rotate(otherDomainsRest, maxHeartbeatsOtherDomains, i)...)
	return r
}

// rotate returns n entries of list for round i, so that all are returned equally often.
func rotate(list []string, n int, i uint64) []string {
	if len(list) <= n {
		return list
	}
	slices.SortFunc(list, strings.Compare)
	picked := make([]string, 0, n)
	for k := range n {
		picked = append(picked, list[(i*uint64(n)+uint64(k))%uint64(len(list))])
	}
	return picked
}
