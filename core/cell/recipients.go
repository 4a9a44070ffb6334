package cell

import (
	"slices"
	"strings"
)

// Peer is another VM as the choice of recipients sees it.
type Peer struct {
	Address string
	// SameDomain says that it is of the own failure domain.
	SameDomain bool
	// IsPlacer says that it places requests by itself: it needs to know loads.
	IsPlacer bool
	// SameCell says that it is this VM's placer, or asks this one; Successor that it would
	// place if this one were lost.
	SameCell, Successor bool
}

// Recipients are who gets a note.
type Recipients struct {
	// Loads get the whole state with loads, State that without, for those of the own
	// cell that place nothing, Heartbeats only says that the sender lives.
	Loads, State, Heartbeats []string
}

const (
	// maxLoadsSameDomain and farLoads bound those that place and hear of loads at once, of the
	// own failure domain and of others.
	maxLoadsSameDomain   = 16
	maxLoadsOtherDomains = 6
	// maxHeartbeatsSameDomain and farHeartbeats bound heartbeats to all others, so that what a VM
	// sends does not grow with the deployment.
	maxHeartbeatsSameDomain   = 4
	maxHeartbeatsOtherDomains = 1
)

// ChooseRecipients chooses who gets the i-th note, all in turns where there are too many:
// what a VM sends does not grow with the deployment. placesSelf says that the sender
// places requests by itself, so that others need its loads.
func ChooseRecipients(peers []Peer, i uint64, selfIsPlacer bool) Recipients {
	var near, far, nearOthers, farOthers []string
	var r Recipients
	for _, p := range peers {
		switch {
		case p.SameCell && !selfIsPlacer, selfIsPlacer && p.Successor:
			r.Loads = append(r.Loads, p.Address)
		case p.SameCell:
			r.State = append(r.State, p.Address)
		case selfIsPlacer && p.IsPlacer && p.SameDomain:
			near = append(near, p.Address)
		case selfIsPlacer && p.IsPlacer:
			far = append(far, p.Address)
		case p.SameDomain:
			nearOthers = append(nearOthers, p.Address)
		default:
			farOthers = append(farOthers, p.Address)
		}
	}
	r.Loads = append(r.Loads, rotate(near, maxLoadsSameDomain, i)...)
	r.Loads = append(r.Loads, rotate(far, maxLoadsOtherDomains, i)...)
	r.Heartbeats = append(rotate(nearOthers, maxHeartbeatsSameDomain, i), rotate(farOthers, maxHeartbeatsOtherDomains, i)...)
	return r
}

// rotate picks n of a list so that all come up equally often.
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
