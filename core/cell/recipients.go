package cell

import (
	"slices"
	"strings"
)

// Peer is another VM as the choice of recipients sees it.
type Peer struct {
	Address string
	// Near says that it is of the own failure domain.
	Near bool
	// Places says that it places requests by itself: it needs to know loads.
	Places bool
	// Cell says that it is this VM's placer, or asks this one; Successor that it would
	// place if this one were lost.
	Cell, Successor bool
}

// Recipients are who gets a note.
type Recipients struct {
	// Loads get the whole state with loads, State that without, for those of the own
	// cell that place nothing, Heartbeats only says that the sender lives.
	Loads, State, Heartbeats []string
}

const (
	// nearLoads and farLoads bound those that place and hear of loads at once, of the
	// own failure domain and of others.
	nearLoads = 16
	farLoads  = 6
	// nearHeartbeats and farHeartbeats bound heartbeats to all others, so that what a VM
	// sends does not grow with the deployment.
	nearHeartbeats = 4
	farHeartbeats  = 1
)

// RecipientsOf chooses who gets the i-th note, all in turns where there are too many:
// what a VM sends does not grow with the deployment. placesSelf says that the sender
// places requests by itself, so that others need its loads.
func RecipientsOf(peers []Peer, i uint64, placesSelf bool) Recipients {
	var near, far, nearOthers, farOthers []string
	var r Recipients
	for _, p := range peers {
		switch {
		case p.Cell && !placesSelf, placesSelf && p.Successor:
			r.Loads = append(r.Loads, p.Address)
		case p.Cell:
			r.State = append(r.State, p.Address)
		case placesSelf && p.Places && p.Near:
			near = append(near, p.Address)
		case placesSelf && p.Places:
			far = append(far, p.Address)
		case p.Near:
			nearOthers = append(nearOthers, p.Address)
		default:
			farOthers = append(farOthers, p.Address)
		}
	}
	r.Loads = append(r.Loads, inTurn(near, nearLoads, i)...)
	r.Loads = append(r.Loads, inTurn(far, farLoads, i)...)
	r.Heartbeats = append(inTurn(nearOthers, nearHeartbeats, i), inTurn(farOthers, farHeartbeats, i)...)
	return r
}

// inTurn picks n of a list so that all come up equally often.
func inTurn(list []string, n int, i uint64) []string {
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
