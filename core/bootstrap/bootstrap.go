// Package bootstrap decides where a starting VM gets the state that all VMs of its failure domain
// hold: the registry of endpoints and the configuration. It performs no I/O.
//
// If each of n VMs reads the whole state from the store, a start of all of them reads n times its
// size, and the state itself grows with n: at the store's rate of reading, 1,000 VMs wait for over
// ten seconds, and calls time out and are repeated. So a few VMs of each failure domain read the
// store, and the others fetch from them along a tree. What the store is asked for does not depend
// on the number of VMs, and the time grows with the depth of the tree, the logarithm of it.
package bootstrap

import (
	"slices"

	"github.com/chivefield/chivefield/rendezvous"
)

const (
	// readers is the number of VMs of a failure domain that read the store: more than one, since
	// some may be gone.
	readers = 3
	// fanOut is the number of VMs that fetch from one VM. A few copies of the state fit through a
	// narrow link in the time of one more level of the tree.
	fanOut = 3
	// hashKey is hashed with the VMs' addresses to rank them.
	hashKey = "bootstrap"
)

// Plan tells a starting VM where to get its state.
type Plan struct {
	// ReadsStore is set if the VM reads the store.
	ReadsStore bool
	// Sources are the addresses of the VMs to ask, in order: the VM's ancestors in the tree, then
	// the other VMs that read the store.
	Sources []string
}

// New returns the plan of the VM at address self. domain are the addresses of the VMs of its failure
// domain, with or without itself, reachable or not.
func New(self string, domain []string) Plan {
	ranked := slices.Clone(domain)
	if !slices.Contains(ranked, self) {
		ranked = append(ranked, self)
	}
	slices.SortFunc(ranked, func(a, b string) int { return rendezvous.Compare(hashKey, a, b) })
	rank := slices.Index(ranked, self)
	if rank < readers {
		return Plan{ReadsStore: true}
	}
	var p Plan
	for rank >= readers {
		rank = parent(rank)
		p.Sources = append(p.Sources, ranked[rank])
	}
	for i := range readers {
		if i != rank {
			p.Sources = append(p.Sources, ranked[i])
		}
	}
	return p
}

// parent returns the rank of the VM from which the VM of a rank fetches. Each VM has fanOut
// children; the first readers have none above them.
func parent(rank int) int { return (rank - readers) / fanOut }
