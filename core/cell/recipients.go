package cell

import "slices"

// Peer is another VM that has a role for this one.
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

// Neighbours are the other VMs of the deployment.
type Neighbours struct {
	// WithRole are those that place requests or belong to this VM's cell, in any order.
	WithRole []Peer
	// Near and Far are the addresses of all others in this VM's failure domain and elsewhere, with or
	// without a role. Their order must not change while no VM is added.
	Near, Far []string
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
// through them, so that neither the traffic of a VM nor the time to choose grows with the deployment.
// selfIsPlacer reports whether the sender places requests itself, so that others need its loads.
func ChooseRecipients(n Neighbours, i uint64, selfIsPlacer bool) Recipients {
	var sameDomain, otherDomains []string
	var r Recipients
	skip := make(map[string]bool, len(n.WithRole))
	for _, p := range n.WithRole {
		switch {
		case p.SameCell && !selfIsPlacer, selfIsPlacer && p.Successor:
			r.Loads = append(r.Loads, p.Address)
		case p.SameCell:
			r.State = append(r.State, p.Address)
		case selfIsPlacer && p.IsPlacer && p.SameDomain:
			sameDomain = append(sameDomain, p.Address)
		case selfIsPlacer && p.IsPlacer:
			otherDomains = append(otherDomains, p.Address)
		default:
			continue
		}
		skip[p.Address] = true
	}
	slices.Sort(sameDomain)
	slices.Sort(otherDomains)
	r.Loads = rotate(r.Loads, sameDomain, maxLoadsSameDomain, i, nil)
	r.Loads = rotate(r.Loads, otherDomains, maxLoadsOtherDomains, i, nil)
	r.Heartbeats = rotate(r.Heartbeats, n.Near, maxHeartbeatsSameDomain, i, skip)
	r.Heartbeats = rotate(r.Heartbeats, n.Far, maxHeartbeatsOtherDomains, i, skip)
	return r
}

// rotate appends the n entries of list for round i, less those to skip, so that all come up equally
// often.
func rotate(picked, list []string, n int, i uint64, skip map[string]bool) []string {
	for k := range min(n, len(list)) {
		if a := list[(i*uint64(n)+uint64(k))%uint64(len(list))]; !skip[a] {
			picked = append(picked, a)
		}
	}
	return picked
}
